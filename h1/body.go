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
	exchange *exchange
	src      io.ReadCloser
	expects  bool // the client waits to be asked for it
	whole    atomic.Bool
	ended    chan struct{} // closed at its end

	mu   sync.Mutex  // held while src is read
	left atomic.Bool // the connection is read by the server again
}

// errBodyLeft is what a reader gets that reads on after the answer.
var errBodyLeft = fmt.Errorf("request body can't be read after the answer")

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left.Load() {
		return 0, errBodyLeft
	}
	if b.expects {
		b.expects = false
		if err := b.ask(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if err == io.EOF && !b.whole.Swap(true) {
		_ = b.exchange.conn.net.SetReadDeadline(time.Time{})
		close(b.ended)
	}
	return n, err
}

// leave ends all reading of a body, so that the server may read what comes on
// the connection: whoever sends the body on may outlive the handler.
func (b *body) leave() {
	if b.isWhole() {
		return
	}
	b.left.Store(true)
	_ = b.exchange.conn.net.SetReadDeadline(time.Now()) // wakes a read that is under way
	b.mu.Lock()
	defer b.mu.Unlock()
}

// ask tells the client to send the body.
func (b *body) ask() error {
	if err := b.exchange.await(); err != nil {
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

func (b *body) isWhole() bool { return b == nil || b.whole.Load() }
