package proxy

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatekeel/agatekeel/h1"
)

var (
	errBodyTooLarge = fmt.Errorf("request body is over the limit")
	errBodyGone     = fmt.Errorf("beginning of the request body is not kept any more")
	errBodyClosed   = fmt.Errorf("request body was closed")
)

// requestBody is the body of a request. Its beginning, up to keptBodyBytes, is read before anything
// else, so that a slow caller occupies no slot, and kept in memory so that it can be sent again. The
// rest of a longer one, or all for which there is no memory, is read while it is sent.
type requestBody struct {
	memory   *bodyMemory
	room     *requestRoom
	streamed bool   // room is taken for reading while sending
	length   int64  // declared length, -1: not declared
	buffered []byte // the complete body if src is nil
	limit    int64
	conn     *http.ResponseController
	reserved atomic.Int64 // bytes of memory
	freed    atomic.Bool

	mu         sync.Mutex // guards the fields below
	src        io.Reader
	kept       []byte
	read       int64 // bytes read from src
	overflowed bool  // more was read than can be kept, or is kept any more
	err        error // the error with which src ended
}

// streamBytes is what reading a body while it is sent takes: buffers of the transport and of both
// connections.
const streamBytes = 64 << 10

// bodyReading says how the body of a request is read.
type bodyReading struct {
	limit   int64         // maximum number of bytes
	streams bool          // no part is read before it is sent
	timeout time.Duration // for the part that is read before; zero: shortBodyTimeout
}

// newRequestBody returns the body of r, or nil if it has none. It fails if the beginning of the body, or a
// short one, does not arrive in time, and with h1.ErrOverloaded if there is no room to stream it. free has
// to be called at the end of the request.
func (p *Proxy) newRequestBody(w http.ResponseWriter, r *http.Request, how bodyReading) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	b := &requestBody{memory: &p.bodies, room: &p.room, length: r.ContentLength, limit: how.limit, conn: http.NewResponseController(w), src: r.Body}
	if !how.streams {
		if err := b.prefetch(cmp.Or(how.timeout, shortBodyTimeout)); err != nil {
			b.free()
			return nil, fmt.Errorf("request body did not come whole: %w", err)
		}
	}
	if b.src != nil {
		if !b.room.reserve(streamBytes, false) {
			b.free()
			return nil, h1.ErrOverloaded
		}
		b.streamed = true
	} else if len(r.Trailer) == 0 {
		b.length = int64(len(b.buffered))
	}
	return b, nil
}

// prefetch reads the body to its end, as far as it can be kept. What a caller sends slowly takes memory
// only as it arrives.
func (b *requestBody) prefetch(timeout time.Duration) error {
	_ = b.conn.SetReadDeadline(time.Now().Add(timeout))
	for b.err == nil {
		if len(b.kept) >= keptBodyBytes || !b.makeRoom(1) {
			_ = b.conn.SetReadDeadline(time.Time{})
			return nil
		}
		n, err := b.src.Read(b.kept[len(b.kept):cap(b.kept)])
		b.kept = b.kept[:len(b.kept)+n]
		b.read += int64(n)
		if b.err = err; b.read > b.limit {
			b.err = errBodyTooLarge
		}
	}
	if b.err != io.EOF {
		return b.err
	}
	b.buffered, b.kept, b.src = b.kept, nil, nil
	return nil
}

// limitUpload limits the time for the rest of the body, so that a caller who
// sends slowly or stops sending occupies nothing for longer: the transport and
// the server both wait for a body that is being read. Only the handler sets
// this deadline, because gin reuses its writer once the handler has returned;
// the server (h1) clears it at the end of the body.
func (b *requestBody) limitUpload(d time.Duration) {
	if !b.streams() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_ = b.conn.SetReadDeadline(time.Now().Add(d))
	}
}

// open returns a reader that starts at the beginning of the body, or nil if
// there is none.
func (b *requestBody) open() io.ReadCloser {
	switch {
	case b == nil:
		return nil
	case b.src == nil:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &bodyReader{body: b}
}

// streams reports whether the body is read while it is sent.
func (b *requestBody) streams() bool { return b != nil && b.src != nil }

// declared returns the value for a request's ContentLength.
func (b *requestBody) declared() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// repeatable reports whether the body can be sent again from its beginning.
func (b *requestBody) repeatable() bool {
	if !b.streams() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed && (b.err == nil || b.err == io.EOF)
}

// failure returns the error with which reading from the caller ended, if any.
func (b *requestBody) failure() error {
	if !b.streams() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// readAt reads at an offset: the kept beginning from memory, the rest from the
// caller.
func (b *requestBody) readAt(off int64, p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case off < b.read && b.overflowed:
		return 0, errBodyGone
	case off < b.read:
		return copy(p, b.kept[off:]), nil
	case b.err != nil:
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.keep(p[:n])
	b.err = err
	if b.read > b.limit {
		b.err = errBodyTooLarge
		return 0, b.err
	}
	return n, err
}

func (b *requestBody) keep(p []byte) {
	b.read += int64(len(p))
	if b.overflowed {
		return
	}
	if b.read > keptBodyBytes || !b.makeRoom(len(p)) {
		b.drop()
		return
	}
	b.kept = append(b.kept, p...)
}

// firstKeptBytes is the size of the memory in which the beginning of a body is kept at first. It is a
// part of what the request was charged, so that a body for which there is no memory holds no slot
// either before it begins to come.
const firstKeptBytes = 4 << 10

// firstKept returns the size in bytes of the memory in which the body is kept at first. A byte beyond a
// declared length shows the end without a larger one.
func (b *requestBody) firstKept() int {
	if b.length >= 0 && b.length < firstKeptBytes {
		return int(b.length) + 1
	}
	return firstKeptBytes
}

// makeRoom gets memory to keep n more bytes, and reports whether there was as much.
func (b *requestBody) makeRoom(n int) bool {
	size := max(cap(b.kept), b.firstKept())
	for ; size < len(b.kept)+n; size *= 2 {
	}
	if size == cap(b.kept) {
		return true
	}
	if !b.reserve(max(size-firstKeptBytes, 0) - max(cap(b.kept)-firstKeptBytes, 0)) {
		return false
	}
	b.kept = append(make([]byte, 0, size), b.kept...)
	return true
}

// reserve takes memory for n more bytes, and reports whether there is as much.
func (b *requestBody) reserve(n int) bool {
	if !b.memory.reserve(n, b.memory.limit) {
		return false
	}
	b.reserved.Add(int64(n))
	if b.freed.Load() {
		b.release() // by a reader that has outlived the request
	}
	return true
}

func (b *requestBody) release() { b.memory.release(int(b.reserved.Swap(0))) }

// drop frees the memory. What was kept can't be sent again.
func (b *requestBody) drop() {
	b.overflowed, b.kept = true, nil
	b.release()
}

// free frees the memory at the end of the request. It does not wait for a reader that outlives
// it, so it takes no lock.
func (b *requestBody) free() {
	if b == nil {
		return
	}
	if b.streamed && !b.freed.Load() {
		b.room.release(streamBytes)
	}
	b.freed.Store(true)
	b.release()
}

// bodyReader reads a requestBody for one attempt. The transport may
// continue to read it after the attempt has ended, until it is closed.
type bodyReader struct {
	body *requestBody

	mu     sync.Mutex // guards the fields below
	off    int64
	closed bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	off, closed := r.off, r.closed
	r.mu.Unlock()
	if closed {
		return 0, errBodyClosed
	}
	n, err := r.body.readAt(off, p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.off += int64(n)
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return nil
}
