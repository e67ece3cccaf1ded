package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Sizes of an asyncWriter.
const (
	maxQueuedLines = 4096
	// maxQueuedBytes bounds the memory of the lines that wait for their reader.
	maxQueuedBytes = 2 << 20
	// syncTimeout bounds the wait of the process's end for the last lines.
	syncTimeout = 200 * time.Millisecond
)

// errQueueFull says that a line was dropped since the reader of the log is
// slower than its writers, or has stopped.
var errQueueFull = fmt.Errorf("the log's queue is full")

// asyncWriter writes lines in a goroutine of its own. Write never blocks.
type asyncWriter struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex // guards all below
	lines   [][]byte
	bytes   int
	writing bool
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer: it queues a copy of one line, or drops it.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lines) >= maxQueuedLines || w.bytes+len(line) > maxQueuedBytes {
		return 0, errQueueFull
	}
	w.lines = append(w.lines, append([]byte(nil), line...))
	w.bytes += len(line)
	select {
	case w.wake <- struct{}{}:
	default: // it is awake already
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	var buffer []byte
	for range w.wake {
		buffer = w.take(buffer[:0])
		if len(buffer) > 0 {
			_, _ = w.out.Write(buffer) // there is no other place to tell that it failed
		}
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}

// take returns all queued lines as one piece.
func (w *asyncWriter) take(buffer []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.lines {
		buffer = append(buffer, line...)
	}
	w.lines, w.bytes, w.writing = w.lines[:0], 0, true
	return buffer
}

// Sync waits until all lines are written, for a bounded time.
func (w *asyncWriter) Sync() error {
	for end := time.Now().Add(syncTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		idle := len(w.lines) == 0 && !w.writing
		w.mu.Unlock()
		if idle {
			return nil
		}
	}
	return errQueueFull
}
