package proxy_test

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// faultyListener is a listener whose connections a test can make silent, block
// or close.
type faultyListener struct {
	net.Listener
	mu      sync.Mutex
	conns   []*silentConn
	blocked atomic.Pointer[chan struct{}]
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, closed: make(chan struct{}), blocked: &l.blocked}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, s)
	return s, nil
}

// blockWrites blocks all writes until the returned function is called.
func (l *faultyListener) blockWrites() (release func()) {
	ch := make(chan struct{})
	l.blocked.Store(&ch)
	return func() { close(ch) }
}

// closeLast closes the connection accepted last.
func (l *faultyListener) closeLast() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.conns[len(l.conns)-1].Conn.Close()
}

// silence makes all connections accepted so far silent: received data is not
// seen, written data is lost, and neither end gets an error.
func (l *faultyListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
	l.conns = nil
}

// silentConn is a connection that can go silent. Its read deadlines still
// apply.
type silentConn struct {
	net.Conn
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
	blocked  *atomic.Pointer[chan struct{}]
	deadline atomic.Pointer[time.Time]
}

// Read implements net.Conn. On a silent connection it returns neither data nor
// the end of the stream.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err != nil {
			return 0, c.wait()
		}
	}
}

// wait waits for the read deadline or until this end is closed.
func (c *silentConn) wait() error {
	for {
		if d := c.deadline.Load(); d != nil && !d.IsZero() && !time.Now().Before(*d) {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(time.Millisecond):
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if ch := c.blocked.Load(); ch != nil {
		select {
		case <-*ch:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *silentConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetReadDeadline(t)
}
