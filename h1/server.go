// Package h1 serves HTTP/1.1 with requests read ahead: while one is answered,
// those that the client has sent behind it are read and handled already, and
// their answers are sent in the order of the requests (RFC 9112, section
// 9.3.2). Since the connection is always being read, a client that leaves is
// noticed at once, whatever it has sent before.
//
// A handler is an http.Handler. A panic with http.ErrAbortHandler cuts the
// connection, as in net/http.
package h1

import (
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
	// ErrClosed says that the server or the connection was closed.
	ErrClosed = fmt.Errorf("closed")
	// ErrHeaderTooLarge says that a request's header is over its limit.
	ErrHeaderTooLarge = fmt.Errorf("request header is too large")
	// ErrShortResponse says that a handler wrote less than it had declared.
	ErrShortResponse = fmt.Errorf("answer is shorter than declared")
	// ErrLongResponse says that a handler wrote more than it had declared.
	ErrLongResponse = fmt.Errorf("answer is longer than declared")
)

// Limits bound what clients may send, and how long they may take.
type Limits struct {
	MaxHeaderBytes int           // of one request
	HeaderTimeout  time.Duration // in which a request's header comes, once it has begun
	IdleTimeout    time.Duration // after which a connection without a request is closed
}

// Config holds the settings of a Server. Zero fields are filled in by New.
type Config struct {
	Limits
	WriteTimeout time.Duration // of one answer, unless the handler sets another
	MaxPipelined int           // requests of one connection that are handled at once
	// OnError is told of a handler that failed; nil: nobody is.
	OnError func(error)
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, 64<<10)
	setDefault(&c.HeaderTimeout, 10*time.Second)
	setDefault(&c.IdleTimeout, 3*time.Minute)
	setDefault(&c.WriteTimeout, 5*time.Minute)
	setDefault(&c.MaxPipelined, 16)
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server serves connections.
type Server struct {
	cfg      Config
	limits   atomic.Pointer[Limits]
	handler  http.Handler
	draining atomic.Bool

	mu        sync.Mutex // guards all below
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
}

// New returns a Server.
func New(cfg Config, h http.Handler) *Server {
	s := &Server{
		cfg: cfg.withDefaults(), handler: h,
		listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{},
	}
	s.limits.Store(&s.cfg.Limits)
	return s
}

// SetLimits replaces the limits for all requests that have not begun yet.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// acceptPause is the wait after an error that may pass, such as too few
// descriptors.
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
}

// Drain closes each connection after the last request that it has sent so far
// is answered. Idle ones stay open for a last request, and new ones are
// accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// drainPoll is the time between two looks at whether all is answered.
const drainPoll = 5 * time.Millisecond

// Shutdown closes the listeners and the idle connections, and the others once
// they are answered. It returns when all are closed or ctx ends.
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

// Close ends everything at once.
func (s *Server) Close() error {
	s.closeListeners()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
	return nil
}
