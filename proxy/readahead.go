package proxy

import (
	"io"
	"sync"
	"sync/atomic"
)

// readAhead reads large responses of this node's backend server into memory as
// fast as they arrive, so that a response that waits for the network occupies
// no slot.
type readAhead struct {
	limit    int64 // maximum total size in bytes of the buffers
	reserved atomic.Int64
}

// read returns a body that is read into memory ahead of its reader. A short
// body, one of unknown length and one that exceeds the memory left are returned
// unchanged.
func (a *readAhead) read(src io.ReadCloser, length int64) io.ReadCloser {
	if length <= copyBufBytes {
		return src
	}
	if a.reserved.Add(length) > a.limit {
		a.reserved.Add(-length)
		return src
	}
	b := &readAheadBody{owner: a, src: src, buf: make([]byte, length)}
	b.progress.L = &b.mu
	go b.fill()
	return b
}

// readAheadBody is a body that fill reads into memory.
type readAheadBody struct {
	owner *readAhead
	src   io.ReadCloser
	buf   []byte // as long as the declared length

	mu       sync.Mutex // guards the fields below
	progress sync.Cond
	filled   int
	read     int
	err      error // the error with which src ended
	closed   bool
}

// fill reads src to its end.
func (b *readAheadBody) fill() {
	for {
		n, err := b.src.Read(b.buf[b.filled:])
		if n == 0 && err == nil && b.filled == len(b.buf) {
			_, err = b.src.Read(make([]byte, 1)) // reads the end of src, which follows the last byte
		}
		b.mu.Lock()
		b.filled += n
		b.err = err
		b.progress.Signal()
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Read implements io.Reader.
func (b *readAheadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.read == b.filled && b.err == nil {
		b.progress.Wait()
	}
	if b.read == b.filled {
		return 0, b.err
	}
	n := copy(p, b.buf[b.read:b.filled])
	b.read += n
	return n, nil
}

// Close implements io.Closer. It also ends fill.
func (b *readAheadBody) Close() error {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if closed {
		return nil
	}
	b.owner.reserved.Add(-int64(len(b.buf)))
	return b.src.Close()
}
