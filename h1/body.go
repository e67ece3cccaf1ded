package h1

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// body is a request body that is read as it arrives.
type body struct {
	exchange        *exchange
	src             io.ReadCloser
	expectsContinue bool          // the client sends the body only after a 100 Continue response
	complete        atomic.Bool   // the body has been read to its end
	ended           chan struct{} // closed at the end of the body

	mu       sync.Mutex  // held while src is read
	released atomic.Bool // the handler has returned, so the body must not be read any more
}

// errBodyReleased is returned to a reader that reads after the handler has
// returned.
var errBodyReleased = fmt.Errorf("request body can't be read after the answer")

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released.Load() {
		return 0, errBodyReleased
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if err == io.EOF && !b.complete.Swap(true) {
		_ = b.exchange.conn.net.SetReadDeadline(time.Time{})
		close(b.ended)
	}
	return n, err
}

// release ends all reading of the body, so that the server can read the
// connection again: a goroutine that forwards the body may outlive the handler.
func (b *body) release() {
	if b.isComplete() {
		return
	}
	b.released.Store(true)
	_ = b.exchange.conn.net.SetReadDeadline(time.Now()) // interrupts a read in progress
	b.mu.Lock()
	defer b.mu.Unlock()
}

// sendContinue asks the client to send the body, unless the response has begun: the
// client can't expect it any more.
func (b *body) sendContinue() error {
	if err := b.exchange.awaitTurn(); err != nil {
		return err
	}
	b.exchange.head.Lock()
	defer b.exchange.head.Unlock()
	if b.exchange.begun {
		return nil
	}
	c := b.exchange.conn
	_ = c.net.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)) // the deadline of an earlier response may have passed
	out := c.writer()
	if _, err := out.Write(continueLine); err != nil {
		return err
	}
	return out.Flush()
}

// Close implements io.Closer. Unread data stays on the connection.
func (b *body) Close() error { return nil }

func (b *body) isComplete() bool { return b == nil || b.complete.Load() }
