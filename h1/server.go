// Package h1 is an HTTP/1.1 server with pipelining: while one request is being
// handled, those that the client has sent after it are read and handled
// concurrently, and the responses are sent in the order of the requests (RFC
// 9112, section 9.3.2). Since the connection is always being read, a client
// that disconnects is noticed at once, whatever it has sent before.
//
// A handler is an http.Handler. A panic with http.ErrAbortHandler aborts the
// connection, as in net/http.
package h1

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of this package.
var (
	// ErrClosed reports that the server or the connection was closed.
	ErrClosed = fmt.Errorf("closed")
	// ErrHeaderTooLarge reports that a request header exceeds its limit.
	ErrHeaderTooLarge = fmt.Errorf("request header is too large")
	// ErrOverloaded reports that there is no room for another request.
	ErrOverloaded = fmt.Errorf("no room for another request")
	// ErrShortResponse reports that a handler wrote less than the
	// Content-Length.
	ErrShortResponse = fmt.Errorf("answer is shorter than declared")
	// ErrLongResponse reports that a handler wrote more than the
	// Content-Length.
	ErrLongResponse = fmt.Errorf("answer is longer than declared")
)

// Limits are the limits on requests and idle connections.
type Limits struct {
	MaxHeaderBytes int           // maximum size of a request header
	HeaderTimeout  time.Duration // time to receive a request header once its first byte has arrived; also for a short body and a TLS handshake
	IdleTimeout    time.Duration // time after which a connection without a request is closed
}

// Config holds the settings of a Server. Zero fields are filled in by New.
type Config struct {
	Limits
	WriteTimeout time.Duration // time to send one response, unless the handler sets a deadline
	MaxPipelined int           // maximum number of requests of one connection that are handled concurrently
	// OnError is called with errors of handlers, TLS handshakes and accept;
	// nil: they are ignored.
	OnError func(error)
	// OnSent is called with the number of bytes of each write to a client;
	// nil: they are not counted.
	OnSent func(to net.Conn, n int)
	// Reserve reports whether n bytes of memory may be taken for bodies, and Release
	// gives them back; nil: there is no bound.
	Reserve func(n int) bool
	Release func(n int)
	// ReserveRequest reports whether a request that occupies n bytes may be handled, and
	// ReleaseRequest gives them back; nil: there is no bound. ahead says that others of its connection are
	// handled: without room it waits for them. Another request for which there is no room is
	// refused with 503, and its connection is closed.
	ReserveRequest func(n int, ahead bool) bool
	ReleaseRequest func(n int)
	// ReserveHead reports whether n bytes may be taken for a head that has not ended or for what was read
	// ahead, and ReleaseHead gives them back; nil: there is no bound.
	ReserveHead func(n int) bool
	ReleaseHead func(n int)
	// RequestMemory is the number of bytes that ReserveRequest gives in all; zero: unknown. The requests
	// of one connection get a part of it.
	RequestMemory int64
	// RefusalHeader returns the header of the refusal of a request with a head; nil: none.
	RefusalHeader func(head []byte) http.Header
	// MaxConns is the number of connections that are open at a time; zero: no bound. Short of it,
	// connections are closed that have no request at work (chooseEvicted); beyond it, new ones.
	MaxConns int
	// OnEvicted is called with the number of connections that are closed to keep within MaxConns, be they
	// old or new ones; nil: they are not counted.
	OnEvicted func(n int)
}

func (c Config) withDefaults() Config {
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, 64<<10)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, 10*time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 3*time.Minute)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 5*time.Minute)
	c.MaxPipelined = cmp.Or(c.MaxPipelined, 16)
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	if c.OnSent == nil {
		c.OnSent = func(net.Conn, int) {}
	}
	if c.OnEvicted == nil {
		c.OnEvicted = func(int) {}
	}
	if c.Reserve == nil || c.Release == nil {
		c.Reserve, c.Release = func(int) bool { return true }, func(int) {}
	}
	if c.ReserveRequest == nil || c.ReleaseRequest == nil {
		c.ReserveRequest, c.ReleaseRequest = func(int, bool) bool { return true }, func(int) {}
	}
	if c.ReserveHead == nil || c.ReleaseHead == nil {
		c.ReserveHead, c.ReleaseHead = func(int) bool { return true }, func(int) {}
	}
	if c.RefusalHeader == nil {
		c.RefusalHeader = func([]byte) http.Header { return nil }
	}
	return c
}

// Server serves connections.
type Server struct {
	cfg      Config
	limits   atomic.Pointer[Limits]
	handler  http.Handler
	draining atomic.Bool

	mu        sync.Mutex // guards the fields below
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	closing   int // number of conns that were evicted and have not ended
	// nextEviction is when connections are looked through again for ones to close
	nextEviction time.Time
}

// New returns a Server for a handler.
func New(cfg Config, h http.Handler) *Server {
	s := &Server{
		cfg: cfg.withDefaults(), handler: h,
		listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{},
	}
	s.limits.Store(&s.cfg.Limits)
	return s
}

// SetLimits replaces the limits for requests that have not begun yet.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// acceptPause is the delay after an accept error that may be temporary, such as
// a lack of file descriptors.
const acceptPause = 10 * time.Millisecond

// Serve accepts connections until the server or the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if !s.add(l) {
		return ErrClosed
	}
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return ErrClosed
		}
		if err != nil {
			s.cfg.OnError(fmt.Errorf("accept: %w", err))
			time.Sleep(acceptPause)
			continue
		}
		if !s.makeRoom() {
			s.cfg.OnEvicted(1)
			_ = nc.Close()
			continue
		}
		c := newConn(s, nc)
		if !s.track(c) {
			_ = nc.Close()
			return ErrClosed
		}
		go c.serve()
	}
}

func (s *Server) add(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) track(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.closing--
	}
}

// Drain makes the server close each connection after the response to the last
// request received so far. Idle connections stay open for one more request, and
// new connections are accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// drainPoll is the interval at which Shutdown checks whether all requests have
// been answered.
const drainPoll = 5 * time.Millisecond

// Shutdown closes the listeners and the idle connections, and the other
// connections once their requests have been answered. It returns when all are
// closed or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.closeListeners()
	for {
		if s.closeIdle() == 0 {
			return nil
		}
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	clear(s.listeners)
}

// closeIdle closes idle connections and returns the number of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if c.pending.Load() > 0 {
			busy++
			continue
		}
		c.abort()
	}
	return busy
}

// Close closes all listeners and connections at once.
func (s *Server) Close() error {
	s.closeListeners()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
	return nil
}
