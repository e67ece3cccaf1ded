package h1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// exchange is one request and its response.
type exchange struct {
	conn     *conn
	request  *http.Request
	previous atomic.Pointer[exchange] // the exchange whose response is sent before this one; nil: none is pending
	done     chan struct{}            // closed once the response has been sent
	followed atomic.Bool              // another request of the connection was read behind this one
	body     *body                    // nil: no body, or one read completely before the handler runs
	cancel   context.CancelFunc
	reserved int // bytes of memory, by the reader of the connection and then by the handler
	cost     int // bytes that the request occupies

	head  sync.Mutex // held while 100 Continue is sent; guards the field below
	begun bool       // the response is being sent, or is about to be
}

func newExchange(c *conn, r *http.Request) *exchange {
	e := &exchange{conn: c, done: make(chan struct{})}
	e.previous.Store(c.last)
	if c.last != nil {
		c.last.followed.Store(true)
	}
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, exchangeKey{}, e))
	e.cancel = cancel
	e.request = r.WithContext(ctx)
	return e
}

// reserve takes memory for n more bytes, and reports whether there is as much.
func (e *exchange) reserve(n int) bool {
	if !e.conn.server.cfg.Reserve(n) {
		return false
	}
	e.reserved += n
	return true
}

// release gives back up to n bytes of memory.
func (e *exchange) release(n int) {
	n = min(n, e.reserved)
	e.reserved -= n
	e.conn.server.cfg.Release(n)
}

// prepareBody reads a short body completely, if there is memory, and sets up the
// reading of another one.
func (e *exchange) prepareBody() error {
	r := e.request
	if r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	expects := r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != ""
	if r.ContentLength > 0 && r.ContentLength <= bufferedBodyBytes && !expects {
		data, err := e.readShortBody()
		if err != nil {
			e.release(e.reserved)
			return fmt.Errorf("read request body: %w", err)
		}
		if int64(len(data)) == r.ContentLength {
			r.Body = io.NopCloser(bytes.NewReader(data))
			return nil
		}
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(data), r.Body))
	}
	e.body = &body{exchange: e, src: r.Body, expectsContinue: expects, ended: make(chan struct{})}
	r.Body = e.body
	return nil
}

// leastBodyBytes is the size of the first buffer of a body that is read before the handler runs.
const leastBodyBytes = 4 << 10

// readShortBody reads the body as far as there is memory, which is taken as the body arrives.
func (e *exchange) readShortBody() ([]byte, error) {
	r := e.request
	_ = e.conn.net.SetReadDeadline(time.Now().Add(e.conn.server.limits.Load().HeaderTimeout))
	defer func() { _ = e.conn.net.SetReadDeadline(time.Time{}) }()
	length := int(r.ContentLength)
	var data []byte
	for len(data) < length {
		if len(data) == cap(data) {
			size := min(max(2*cap(data), leastBodyBytes), length)
			if !e.reserve(size - cap(data)) {
				break
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil && len(data) < length {
			return nil, fmt.Errorf("%d of %d bytes: %w", len(data), length, io.ErrUnexpectedEOF)
		}
	}
	return data, nil
}

// awaitBodyRead waits until the body has been read. It returns false if nothing
// more is to be read from the connection.
func (e *exchange) awaitBodyRead() bool {
	if e.body == nil {
		return !e.conn.closing.Load()
	}
	select {
	case <-e.body.ended:
		return true
	case <-e.done:
		return e.body.isComplete()
	case <-e.conn.ctx.Done():
		return false
	}
}

// run runs the handler and sends the response when it is its turn.
func (e *exchange) run() {
	c := e.conn
	w := newWriter(e)
	defer func() {
		if v := recover(); v != nil {
			w.failed = true
			if v != http.ErrAbortHandler {
				c.server.cfg.OnError(fmt.Errorf("handler: %v\n%s", v, debug.Stack()))
			}
		}
		e.body.release() // before the client sees the end of the response
		err := w.finish()
		if err != nil || w.failed {
			e.fail(w.active)
		}
		e.cancel()
		e.release(e.reserved)
		c.releaseHead(e.cost)
		c.served.Store(true)
		c.pending.Add(-1)
		c.freeSlot()
		if w.closesConn {
			_ = c.net.SetReadDeadline(time.Unix(1, 0)) // interrupts the reader, which then closes the connection
		}
		close(e.done) // after the deadline: the reader sets another one to read on while it closes the connection
	}()
	c.server.handler.ServeHTTP(w, e.request)
}

// fail aborts the connection for a response that can't be sent whole. The responses in
// front of it are sent first. If one of them was the last one, the reader closes the
// connection.
func (e *exchange) fail(begun bool) {
	_ = e.awaitTurn() // an error says that the connection is closing
	if begun || !e.conn.closing.Load() {
		e.conn.abort()
	}
}

// hasBegun reports whether the response is being sent.
func (e *exchange) hasBegun() bool {
	e.head.Lock()
	defer e.head.Unlock()
	return e.begun
}

// begin marks the response as begun. 100 Continue is not sent from then on.
func (e *exchange) begin() {
	e.head.Lock()
	defer e.head.Unlock()
	e.begun = true
}

// awaitTurn waits until all earlier responses have been sent.
func (e *exchange) awaitTurn() error {
	previous := e.previous.Load()
	if previous == nil {
		return nil
	}
	select {
	case <-previous.done:
		e.previous.Store(nil) // lets the garbage collector free the chain
	case <-e.conn.ctx.Done():
		return ErrClosed
	}
	if e.conn.closing.Load() {
		return ErrClosed // an earlier response was the last one
	}
	if e.conn.ctx.Err() != nil {
		return ErrClosed // the one in front may have given up for that, while another is still being sent
	}
	return nil
}

type exchangeKey struct{}

// IsPipelined reports whether earlier requests of the same connection have not
// been answered yet. A client sends such a request again if the connection
// closes before its response, so a request that may not run twice has to call
// AwaitTurn first.
func IsPipelined(r *http.Request) bool {
	e, ok := r.Context().Value(exchangeKey{}).(*exchange)
	return ok && e.isPipelined()
}

func (e *exchange) isPipelined() bool {
	previous := e.previous.Load()
	if previous == nil {
		return false
	}
	select {
	case <-previous.done:
		return false
	default:
		return true
	}
}

// AwaitTurn waits until all earlier requests of the same connection have been
// answered.
func AwaitTurn(r *http.Request) error {
	if e, ok := r.Context().Value(exchangeKey{}).(*exchange); ok {
		return e.awaitTurn()
	}
	return nil
}

// IsFollowed reports whether further requests of the same connection have been read behind r.
func IsFollowed(r *http.Request) bool {
	e, ok := r.Context().Value(exchangeKey{}).(*exchange)
	return ok && e.followed.Load()
}

// BeginUnlessFollowed marks the response to r as begun, and reports true, unless further
// requests of the same connection have been read behind this one. One that is read later meets the
// mark in AwaitBegun.
func BeginUnlessFollowed(r *http.Request) bool {
	e, ok := r.Context().Value(exchangeKey{}).(*exchange)
	if !ok {
		return true
	}
	e.head.Lock()
	defer e.head.Unlock()
	if e.followed.Load() {
		return false
	}
	e.begun = true
	return true
}

// AwaitBegun waits until no response in front of that to r is being sent. If such a response
// is cut, the connection ends, and a client sends again what was not read.
func AwaitBegun(r *http.Request) error {
	e, ok := r.Context().Value(exchangeKey{}).(*exchange)
	if !ok {
		return nil
	}
	for p := e.previous.Load(); p != nil; p = p.previous.Load() {
		if !p.hasBegun() {
			continue
		}
		select {
		case <-p.done:
		case <-e.conn.ctx.Done():
			return ErrClosed
		}
		if e.conn.closing.Load() {
			return ErrClosed // that response was the last one
		}
	}
	return nil
}
