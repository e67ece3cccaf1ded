package proxy

import (
	"sync"
	"sync/atomic"
)

// bodyMemory bounds the memory that the buffers of all bodies take together. It counts what
// buffers occupy, not what they hold: bytes come in blocks of one size, which are used again, so
// that neither growth nor garbage takes a multiple of it.
type bodyMemory struct {
	limit    int64 // bytes
	reserved atomic.Int64

	mu   sync.Mutex // guards free
	free [][]byte   // blocks of blockBytes
}

// leastFreeBlocks is the number of unused blocks that are kept in any case.
const leastFreeBlocks = 32

// reserve reports whether n bytes fit into a limit, which is that of the memory or a part
// of it, and takes them.
func (m *bodyMemory) reserve(n int, limit int64) bool {
	if m.reserved.Add(int64(n)) <= limit {
		return true
	}
	m.release(n)
	return false
}

// release gives back n bytes.
func (m *bodyMemory) release(n int) { m.reserved.Add(-int64(n)) }

// get returns a block of a size in bytes, which have to be reserved.
func (m *bodyMemory) get(size int) []byte {
	if size != blockBytes {
		return make([]byte, size)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.free)
	if n == 0 {
		return make([]byte, blockBytes)
	}
	b := m.free[n-1]
	m.free[n-1] = nil
	m.free = m.free[:n-1]
	return b
}

// put takes back a block. Not more blocks are kept unused than are in use, or a few.
func (m *bodyMemory) put(b []byte) {
	if len(b) != blockBytes {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.free) < max(leastFreeBlocks, int(m.reserved.Load()/blockBytes)) {
		m.free = append(m.free, b)
	}
}

// blockQueue is a queue of bytes in blocks. Its owner reserves the memory. A part may be written
// to what space has returned while the queue is read.
type blockQueue struct {
	memory  *bodyMemory
	blocks  [][]byte
	size    int // bytes of all blocks
	pending int // bytes that can be read
	readAt  int // in the first block
	wrote   int // in the last block
}

// space returns the part of the last block that has not been written; empty: grow is needed.
func (q *blockQueue) space() []byte {
	if len(q.blocks) == 0 {
		return nil
	}
	return q.blocks[len(q.blocks)-1][q.wrote:]
}

// grow adds a block of a size in bytes.
func (q *blockQueue) grow(size int) {
	q.blocks = append(q.blocks, q.memory.get(size))
	q.size += size
	q.wrote = 0
}

// written notes that the first n bytes of space were written.
func (q *blockQueue) written(n int) {
	q.wrote += n
	q.pending += n
}

// read reads up to len(p) bytes, and returns the number of bytes read and the size of the
// blocks that are no longer used. One that is being written to stays.
func (q *blockQueue) read(p []byte) (n, freed int) {
	for n < len(p) && q.pending > 0 {
		first := q.blocks[0]
		end := len(first)
		if len(q.blocks) == 1 {
			end = q.wrote
		}
		copied := copy(p[n:], first[q.readAt:end])
		n += copied
		q.pending -= copied
		if q.readAt += copied; q.readAt == len(first) {
			q.memory.put(first)
			q.blocks[0] = nil
			q.blocks = q.blocks[1:]
			q.readAt = 0
			q.size -= len(first)
			freed += len(first)
		}
	}
	return n, freed
}

// drop frees all blocks.
func (q *blockQueue) drop() {
	for _, b := range q.blocks {
		q.memory.put(b)
	}
	*q = blockQueue{memory: q.memory}
}
