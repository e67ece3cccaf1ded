package h1

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// body is a request body that is read as it comes.
type body struct {
	exchange        *exchange
	src             io.ReadCloser
	expectsContinue bool // the client waits to be asked for it
	complete        atomic.Bool
	ended           chan struct{} // closed at its end

	mu       sync.Mutex  // held while src is read
	released atomic.Bool // the connection is read by the server again
}

// errBodyReleased is what a reader gets that reads on after the answer.
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

// release ends all reading of a body, so that the server may read what comes on
// the connection: whoever sends the body on may outlive the handler.
func (b *body) release() {
	if b.isComplete() {
		return
	}
	b.released.Store(true)
	_ = b.exchange.conn.net.SetReadDeadline(time.Now()) // wakes a read that is under way
	b.mu.Lock()
	defer b.mu.Unlock()
}

// sendContinue tells the client to send the body.
func (b *body) sendContinue() error {
	if err := b.exchange.awaitTurn(); err != nil {
		return err
	}
	c := b.exchange.conn
	_ = c.net.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)) // that of an earlier answer may have passed
	out := c.out
	if _, err := out.Write(continueLine); err != nil {
		return err
	}
	return out.Flush()
}

// Close implements io.Closer. What was not read stays on the connection.
func (b *body) Close() error { return nil }

func (b *body) isComplete() bool { return b == nil || b.complete.Load() }
