package h1

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Buffer sizes and limits of a connection.
const (
	writeBufferBytes = 4 << 10
	// bufferedBodyBytes is the size up to which a body is read completely
	// before the handler runs.
	bufferedBodyBytes = 64 << 10
)

// conn is one connection. One goroutine reads the requests; each request is
// handled in a separate goroutine.
type conn struct {
	server   *Server
	net      net.Conn
	in       *input
	out      *bufio.Writer // of the response that is being sent; nil: none is (writer)
	ctx      context.Context
	cancel   context.CancelFunc
	inFlight chan struct{} // semaphore: one element per request that is being handled
	freed    chan struct{} // gets an element when a request has ended
	pending  atomic.Int32  // number of requests read whose responses are not complete
	last     *exchange     // the most recent exchange; nil: none
	closing  atomic.Bool   // a response announced that the connection closes
	endsBody atomic.Bool   // the end of the connection would end the body of the response that is being sent

	occupied     atomic.Int64 // bytes that are charged for the connection
	progressAt   atomic.Int64 // Unix time in nanoseconds of the last progress
	writingSince atomic.Int64 // Unix time in nanoseconds at which the write in progress began; zero: none is
	served       atomic.Bool  // a request has been handled
	evicted      bool         // guarded by Server.mu

	slots   sync.Mutex // guards waiting, and the read deadline while it is set
	waiting bool       // awaitFree reads the connection

	// accepting is held while a request is added to pending, and while a response
	// decides whether it is the last one.
	accepting sync.Mutex
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx := context.WithValue(context.Background(), http.LocalAddrContextKey, nc.LocalAddr())
	c := &conn{server: s, net: nc, inFlight: make(chan struct{}, s.cfg.MaxPipelined), freed: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.in = newInput(nc, c.reserveInput, c.releaseInput)
	c.progress()
	return c
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writer returns the writer for the response whose turn it is.
func (c *conn) writer() *bufio.Writer {
	if c.out == nil {
		c.out = writers.Get().(*bufio.Writer)
		c.out.Reset(c)
	}
	return c.out
}

// freeWriter gives the writer back after a response was sent whole.
func (c *conn) freeWriter() {
	if c.out != nil {
		c.out.Reset(nil)
		writers.Put(c.out)
		c.out = nil
	}
}

// Write implements io.Writer for the buffered writer out.
func (c *conn) Write(p []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	n, err := c.net.Write(p)
	c.writingSince.Store(0)
	c.progress()
	c.server.cfg.OnSent(c.net, n)
	return n, err
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.untrack(c)
	defer c.in.giveBack()
	if err := c.handshake(); err != nil {
		c.server.cfg.OnError(err)
		c.abort()
		return
	}
	for c.serveNext() {
	}
	if last := c.last; last != nil && c.closing.Load() {
		<-last.done // wait until the responses to all requests read are sent
		c.linger()
	}
	c.abort()
}

// plaintextResponse is sent to a client that speaks HTTP without TLS to a TLS
// listener.
const plaintextResponse = "HTTP/1.0 400 Bad Request\r\nConnection: close\r\n\r\nthis address takes TLS only\n"

// handshake performs the TLS handshake if the connection uses TLS.
func (c *conn) handshake() error {
	secured, ok := c.net.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.server.limits.Load().HeaderTimeout)
	defer cancel()
	err := secured.HandshakeContext(ctx)
	var plain tls.RecordHeaderError
	if errors.As(err, &plain) && plain.Conn != nil {
		_, _ = io.WriteString(plain.Conn, plaintextResponse)
	}
	if err != nil {
		return fmt.Errorf("TLS handshake with %s: %w", c.net.RemoteAddr(), err)
	}
	return nil
}

// serveNext reads one request and starts its handler. It returns false if no
// further request is to be read.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	r, cost, err := c.readRequest()
	if err != nil {
		c.reject(err)
		return false
	}
	e := newExchange(c, r)
	e.cost = cost
	if err := e.prepareBody(); err != nil {
		c.releaseHead(cost)
		c.reject(err)
		return false
	}
	if !c.awaitSlot() || !c.accept() {
		e.release(e.reserved) // it is not handled
		c.releaseHead(cost)
		return false
	}
	c.last = e
	go e.run()
	return e.awaitBodyRead()
}

// accept counts a request that was read as pending. It returns false if a response has
// announced that the connection closes: the request must not be handled then, as its
// response could not be sent and the client repeats it.
func (c *conn) accept() bool {
	c.accepting.Lock()
	defer c.accepting.Unlock()
	if c.closing.Load() {
		return false
	}
	c.pending.Add(1)
	return true
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	c.in.endRequest()
	_ = c.net.SetReadDeadline(time.Now().Add(c.server.limits.Load().IdleTimeout))
	for {
		if c.closing.Load() {
			return false // either seen here, or the read deadline set by the last exchange ends the wait
		}
		err := c.in.awaitByte()
		if err == nil {
			return true
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.pending.Load() > 0 {
			_ = c.net.SetReadDeadline(time.Now().Add(c.server.limits.Load().IdleTimeout))
			continue // not idle: a response is pending
		}
		return false
	}
}

// readRequest reads a request and reserves what it occupies.
func (c *conn) readRequest() (*http.Request, int, error) {
	_ = c.net.SetReadDeadline(time.Now().Add(c.server.limits.Load().HeaderTimeout))
	head, cost, err := c.reserveHead()
	if err != nil {
		return nil, 0, fmt.Errorf("read request: %w", err)
	}
	r, err := c.readHeader(head)
	if err != nil {
		c.releaseHead(cost)
		return nil, 0, err
	}
	c.progress()
	return r, cost, nil
}

// readHeader parses the header of a request.
func (c *conn) readHeader(head []byte) (*http.Request, error) {
	r, err := c.parseRequest(head)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	_ = c.net.SetReadDeadline(time.Time{})
	r.RemoteAddr = c.net.RemoteAddr().String()
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return nil, fmt.Errorf("read request: Host is missing")
	}
	if err := checkFieldNames(r.Header); err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	return r, nil
}

// checkFieldNames reports a field with a space in its name or before its colon, which
// http.ReadRequest accepts as a field of its own. If it meant the length of the body, the
// body would be read as the next request.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("name of field %q holds a space", name)
		}
	}
	return nil
}

// reject responds to a request that can't be read, after the responses to
// earlier requests, and closes the connection.
func (c *conn) reject(reason error) {
	status := http.StatusBadRequest
	var network net.Error
	var target *url.Error // is a net.Error too
	switch {
	case errors.As(reason, &target):
	case errors.Is(reason, ErrOverloaded):
		status = http.StatusServiceUnavailable
	case errors.Is(reason, ErrHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(reason, &network) && network.Timeout():
		status = http.StatusRequestTimeout
	case errors.As(reason, &network), errors.Is(reason, io.EOF), errors.Is(reason, io.ErrUnexpectedEOF):
		return // the client has disconnected
	}
	if c.last != nil {
		<-c.last.done
	}
	if c.ctx.Err() != nil || c.closing.Load() {
		return
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(c.server.limits.Load().HeaderTimeout))
	text := reason.Error() + "\n"
	out := c.writer()
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), c.refusalFields(reason), len(text), text)
	_ = out.Flush()
	c.linger()
}
