package proxy

import (
	"io"
	"sync"
)

// readAheadShare is the divisor of the memory for reading ahead that gives the
// part of it which a single response may take.
const readAheadShare = 2

// leftShare is the divisor of the memory that gives the part which is left to others by bodies
// that are read ahead: to short answers that are held, and to bodies of requests.
const leftShare = 4

// readAhead reads large responses of this node's backend server into memory as
// fast as they arrive, so that a response that waits for the network occupies
// no slot.
type readAhead struct{ memory *bodyMemory }

// read returns a body that is read into memory ahead of its reader, as far as
// there is memory. A body that is declared to be short is returned unchanged.
func (a readAhead) read(src io.ReadCloser, declared int64) io.ReadCloser {
	if declared >= 0 && declared <= largeResponseBytes {
		return src
	}
	b := &readAheadBody{memory: a.memory, src: src, queue: blockQueue{memory: a.memory}}
	b.progress.L = &b.mu
	return b
}

// readAheadBody is a body that fill reads into memory from its first Read on. Before
// that the names of the response's trailers can be read, which fill changes.
type readAheadBody struct {
	memory *bodyMemory
	src    io.ReadCloser
	start  sync.Once

	mu       sync.Mutex // guards the fields below
	progress sync.Cond
	queue    blockQueue // read from src and not from this body
	filling  bool       // a part is being read into the last block
	err      error      // the error with which src ended
	closed   bool
}

// fill reads src to its end, or until the body is closed.
func (b *readAheadBody) fill() {
	for {
		space := b.space()
		if space == nil {
			return
		}
		n, err := b.src.Read(space)
		if !b.filled(n, err) {
			return
		}
	}
}

// space returns where the next part is to be read, and waits for memory before. The first
// block is given in any case, so a body whose memory others take is read as its reader
// takes it. It returns nil if nothing more is to be read.
func (b *readAheadBody) space() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && len(b.queue.space()) == 0 && !b.grow() {
		b.progress.Wait()
	}
	if b.closed {
		b.drop()
		return nil
	}
	b.filling = true
	return b.queue.space()
}

// grow adds a block, and reports whether there was memory for it.
func (b *readAheadBody) grow() bool {
	switch size := b.queue.size; {
	case size == 0:
		b.memory.reserved.Add(blockBytes)
	case int64(size+blockBytes) > b.memory.limit/readAheadShare || !b.memory.reserve(blockBytes, b.memory.limit-b.memory.limit/leftShare):
		return false
	}
	b.queue.grow(blockBytes)
	return true
}

// filled notes what was read into space. It returns false if nothing more is to be read.
func (b *readAheadBody) filled(n int, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.filling = false
	b.queue.written(n)
	b.err = err
	if b.closed {
		b.drop()
		return false
	}
	b.progress.Broadcast()
	return err == nil
}

// drop frees the memory, unless a part is being read into it.
func (b *readAheadBody) drop() {
	if b.filling {
		return
	}
	b.memory.release(b.queue.size)
	b.queue.drop()
}

// buffered returns how many bytes are ready to be read.
func (b *readAheadBody) buffered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.pending
}

// Read implements io.Reader.
func (b *readAheadBody) Read(p []byte) (int, error) {
	b.start.Do(func() { go b.fill() })
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.queue.pending == 0 && b.err == nil && !b.closed {
		b.progress.Wait()
	}
	switch {
	case b.closed:
		return 0, errBodyClosed
	case b.queue.pending == 0:
		b.drop()
		return 0, b.err
	}
	n, freed := b.queue.read(p)
	b.memory.release(freed)
	b.progress.Broadcast()
	return n, nil
}

// Close implements io.Closer. It also ends fill.
func (b *readAheadBody) Close() error {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.drop()
	b.progress.Broadcast()
	b.mu.Unlock()
	if closed {
		return nil
	}
	return b.src.Close()
}
