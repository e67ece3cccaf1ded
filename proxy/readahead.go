package proxy

import (
	"io"
	"sync"
	"sync/atomic"
)

// readAhead reads large answers of the own backend server into memory as fast as
// they come, so that one that waits for the network holds no slot.
type readAhead struct {
	limit    int64 // bytes held at most
	reserved atomic.Int64
}

// read returns a body that is read ahead of its reader. A short one, one of
// unknown length and one for which there is no room are returned as they are.
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
	buf   []byte // of the declared length

	mu       sync.Mutex // guards all below
	progress sync.Cond
	filled   int
	read     int
	err      error // with which src ended
	closed   bool
}

// fill reads src to its end.
func (b *readAheadBody) fill() {
	for {
		n, err := b.src.Read(b.buf[b.filled:])
		if n == 0 && err == nil && b.filled == len(b.buf) {
			_, err = b.src.Read(make([]byte, 1)) // the end follows the last byte
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

// Close implements io.Closer. It ends fill too.
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
