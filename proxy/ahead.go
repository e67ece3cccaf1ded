package proxy

import (
	"io"
	"sync"
	"sync/atomic"
)

// ahead reads large answers of the own backend server into memory as fast as
// they come, so that one that waits for the network holds no slot.
type ahead struct {
	limit int64 // bytes held at most
	held  atomic.Int64
}

// read returns a body that is read ahead of its reader. A short one, one of
// unknown length and one for which there is no room are returned as they are.
func (a *ahead) read(src io.ReadCloser, length int64) io.ReadCloser {
	if length <= copyBufBytes {
		return src
	}
	if a.held.Add(length) > a.limit {
		a.held.Add(-length)
		return src
	}
	b := &aheadBody{ahead: a, src: src, buf: make([]byte, length)}
	b.came.L = &b.mu
	go b.fill()
	return b
}

// aheadBody is a body that fill reads into memory.
type aheadBody struct {
	ahead *ahead
	src   io.ReadCloser
	buf   []byte // of the declared length

	mu     sync.Mutex // guards all below
	came   sync.Cond
	filled int
	read   int
	err    error // with which src ended
	closed bool
}

// fill reads src to its end.
func (b *aheadBody) fill() {
	for {
		n, err := b.src.Read(b.buf[b.filled:])
		if n == 0 && err == nil && b.filled == len(b.buf) {
			_, err = b.src.Read(make([]byte, 1)) // the end follows the last byte
		}
		b.mu.Lock()
		b.filled += n
		b.err = err
		b.came.Signal()
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Read implements io.Reader.
func (b *aheadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.read == b.filled && b.err == nil {
		b.came.Wait()
	}
	if b.read == b.filled {
		return 0, b.err
	}
	n := copy(p, b.buf[b.read:b.filled])
	b.read += n
	return n, nil
}

// Close implements io.Closer. It ends fill too.
func (b *aheadBody) Close() error {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if closed {
		return nil
	}
	b.ahead.held.Add(-int64(len(b.buf)))
	return b.src.Close()
}
