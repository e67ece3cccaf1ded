package proxy

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// readAheadShare is the divisor of the memory for reading ahead that gives the
// part of it which a single response may take.
const readAheadShare = 2

// memoryBound bounds the memory that responses take together.
type memoryBound struct {
	limit    int64 // bytes
	reserved atomic.Int64
}

// reserve reports whether n bytes fit into a limit, which is that of the memory or a part
// of it, and takes them.
func (m *memoryBound) reserve(n int, limit int64) bool {
	if m.reserved.Add(int64(n)) <= limit {
		return true
	}
	m.release(n)
	return false
}

// release gives back n bytes.
func (m *memoryBound) release(n int) { m.reserved.Add(-int64(n)) }

// readAhead reads large responses of this node's backend server into memory as
// fast as they arrive, so that a response that waits for the network occupies
// no slot.
type readAhead struct{ memoryBound }

// read returns a body that is read into memory ahead of its reader, as far as
// there is memory. A body that is declared to be short is returned unchanged.
func (a *readAhead) read(src io.ReadCloser, declared int64) io.ReadCloser {
	if declared >= 0 && declared <= largeResponseBytes {
		return src
	}
	b := &readAheadBody{owner: a, src: src}
	b.progress.L = &b.mu
	return b
}

// readAheadBody is a body that fill reads into memory from its first Read on. Before
// that the names of the response's trailers can be read, which fill changes.
type readAheadBody struct {
	owner *readAhead
	src   io.ReadCloser
	start sync.Once

	mu       sync.Mutex // guards the fields below
	progress sync.Cond
	pending  bytes.Buffer // read from src and not from this body
	reserved int          // bytes of pending that count against owner's limit
	err      error        // the error with which src ended
	closed   bool
}

// fill reads src to its end, or until the body is closed.
func (b *readAheadBody) fill() {
	buf := copyBufs.Get().(*[copyBufBytes]byte)
	defer copyBufs.Put(buf)
	for {
		n, err := b.src.Read(buf[:])
		if !b.add(buf[:n], err) {
			return
		}
	}
}

// add appends what was read from src, and waits for memory before. While nothing is
// pending, it does not wait. It returns false if nothing more is to be read.
func (b *readAheadBody) add(p []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserved := b.reserve(len(p))
	for !reserved && !b.closed && b.pending.Len() > 0 {
		b.progress.Wait()
		reserved = b.reserve(len(p))
	}
	if b.closed {
		if reserved {
			b.owner.release(len(p))
		}
		return false
	}
	if reserved {
		b.reserved += len(p)
	}
	_, _ = b.pending.Write(p) // never fails
	b.err = err
	b.progress.Broadcast()
	return err == nil
}

// reserve reports whether n more bytes may be read ahead, and takes them.
func (b *readAheadBody) reserve(n int) bool {
	if int64(b.reserved+n) > b.owner.limit/readAheadShare {
		return false
	}
	return b.owner.reserve(n, b.owner.limit)
}

// release gives back the memory of up to n bytes.
func (b *readAheadBody) release(n int) {
	n = min(n, b.reserved)
	b.reserved -= n
	b.owner.release(n)
}

// buffered returns how many bytes are ready to be read.
func (b *readAheadBody) buffered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending.Len()
}

// Read implements io.Reader.
func (b *readAheadBody) Read(p []byte) (int, error) {
	b.start.Do(func() { go b.fill() })
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.pending.Len() == 0 && b.err == nil && !b.closed {
		b.progress.Wait()
	}
	switch {
	case b.closed:
		return 0, errBodyClosed
	case b.pending.Len() == 0:
		return 0, b.err
	}
	n, _ := b.pending.Read(p) // fails only if nothing is pending
	b.release(n)
	b.progress.Broadcast()
	return n, nil
}

// Close implements io.Closer. It also ends fill.
func (b *readAheadBody) Close() error {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.release(b.reserved)
	b.progress.Broadcast()
	b.mu.Unlock()
	if closed {
		return nil
	}
	return b.src.Close()
}
