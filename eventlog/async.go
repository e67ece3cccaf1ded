package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of an asyncWriter.
const (
	maxQueuedLines = 4096
	// maxQueuedBytes bounds the memory of queued lines.
	maxQueuedBytes = 2 << 20
	// syncTimeout bounds the wait for the last lines when the process exits.
	syncTimeout = 200 * time.Millisecond
)

// errQueueFull reports that a line was dropped, or not written before the timeout
// of Sync, because the log's reader is slower than its writers or has stopped.
var errQueueFull = fmt.Errorf("log queue is full")

// asyncWriter writes lines in a separate goroutine. Write never blocks.
type asyncWriter struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex // guards the fields below
	lines   [][]byte
	bytes   int
	writing bool
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer: it queues a copy of the line, or drops the
// line if the queue is full.
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
	default: // a wake-up is already pending
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	var buffer []byte
	for range w.wake {
		buffer = w.take(buffer[:0])
		if len(buffer) > 0 {
			_, _ = w.out.Write(buffer) // a failure of the log output can't be logged
		}
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}

// take removes all queued lines and returns them as one buffer.
func (w *asyncWriter) take(buffer []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.lines {
		buffer = append(buffer, line...)
	}
	w.lines, w.bytes, w.writing = w.lines[:0], 0, true
	return buffer
}

// Sync waits until all lines are written, for at most syncTimeout.
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
