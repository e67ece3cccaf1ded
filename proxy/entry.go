package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/h1"
)

// call is one caller's request at its entry node.
type call struct {
	proxy  *Proxy
	id     core.CallID
	w      http.ResponseWriter
	r      *http.Request
	body   *requestBody
	depth  int           // number of calls in the mesh that led to this one
	onHost bool          // the caller is on this host: what it gets does not go over the host's network link
	done   bool          // the reducer has ended the call or has been notified of its end
	held   *heldResponse // nil: none is held
}

// origin returns the counter of large responses that are sent to the caller over the
// host's network link, from this node's backend server or from other nodes; nil if they
// don't go over it.
func (c *call) origin(ownBackend bool) metrics.Counter {
	if c.onHost {
		return nil
	}
	return c.proxy.sent.origin(ownBackend)
}

// rejection is the reply to a request that is refused before it reaches the
// reducer.
type rejection struct {
	status int
	reason string
}

// serveCaller handles one caller's request.
func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	defer func() { p.calls.UpdateSince(started) }()
	c := &call{proxy: p, w: w, r: r, onHost: p.sameHost(endsOf(r))}
	arrived, rejected := c.read()
	defer func() { c.body.free() }()
	if rejected != nil {
		p.fail(w, rejected.status, retry.NotRun, rejected.reason)
		return
	}
	if h1.IsPipelined(r) && p.awaitTurn(r) != nil {
		panic(http.ErrAbortHandler) // an earlier response closed the connection; the client repeats the request
	}
	c.run(arrived)
}

// awaitTurn waits until a request behind others of its connection may run: at once if it may run
// twice, unless a response is being sent, with which it would be lost if that were cut.
func (p *Proxy) awaitTurn(r *http.Request) error {
	if p.core.IsIdempotent(r.Method, r.Host, r.URL.Path) {
		return h1.AwaitBegun(r)
	}
	return h1.AwaitTurn(r)
}

// read validates the caller's request and converts it to an event.
func (c *call) read() (core.CallArrived, *rejection) {
	p, r := c.proxy, c.r
	credential := p.cfg.Names.takeCredential(r.Header)
	switch {
	case r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect:
		return core.CallArrived{}, &rejection{http.StatusNotImplemented, "connections can't be upgraded or tunnelled"}
	case !canSendTarget(r):
		return core.CallArrived{}, &rejection{http.StatusBadRequest, "the path holds characters that have to be encoded"}
	case r.ContentLength > p.maxBody.Load():
		return core.CallArrived{}, &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf(
			"request body has %d bytes, at most %d are allowed", r.ContentLength, p.maxBody.Load())}
	}
	budget, err := p.cfg.Names.parseTimeout(r.Header)
	if err != nil {
		return core.CallArrived{}, &rejection{http.StatusBadRequest, err.Error()}
	}
	c.depth = p.cfg.Names.callerDepth(r)
	if c.depth >= p.cfg.MaxDepth {
		return core.CallArrived{}, &rejection{http.StatusLoopDetected, fmt.Sprintf(
			"calls are nested %d deep, at most %d are allowed", c.depth, p.cfg.MaxDepth)}
	}
	how := bodyReading{limit: p.maxBody.Load(), timeout: shortBodyTimeout}
	if budget > 0 {
		how.timeout = min(budget, shortBodyTimeout) // a request whose time is over can't be served
	}
	if c.body, err = p.newRequestBody(c.w, r, how); err != nil {
		return core.CallArrived{}, p.rejectBody(c.w, err)
	}
	c.id = core.CallID(p.lastCall.Add(1))
	return core.CallArrived{
		Call: c.id, Request: get(r.Header, p.cfg.Names.RequestID), Method: r.Method, Host: r.Host, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Budget: budget, Replayable: true, FromMesh: c.depth > 0,
		Credential: credential,
	}, nil
}

// rejectBody returns the rejection of a request whose body was not read. Nothing of it has been passed on.
func (p *Proxy) rejectBody(w http.ResponseWriter, err error) *rejection {
	status := statusOfBody(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", formatSeconds(overloadRetryAfter))
	}
	return &rejection{status, err.Error()}
}

// statusOfBody returns the status of the answer to a request whose body was not read.
func statusOfBody(err error) int {
	switch {
	case errors.Is(err, h1.ErrOverloaded):
		return http.StatusServiceUnavailable
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusRequestTimeout
}

// callerDepth returns the depth that a backend server on this host passed on.
// From other hosts the header is ignored.
func (n Names) callerDepth(r *http.Request) int {
	s := get(r.Header, n.Depth)
	if s == "" || !fromOwnHost(r) {
		return 0
	}
	depth, err := parseDepth(s)
	if err != nil {
		return 0
	}
	return depth
}

func fromOwnHost(r *http.Request) bool { return sameHost(endsOf(r)) }

// endsOf returns the addresses of the connection over which a request came; nil if they
// are unknown.
func endsOf(r *http.Request) (local, remote net.Addr) {
	local, _ = r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return local, nil
	}
	return local, net.TCPAddrFromAddrPort(from)
}

// sameHost reports whether the two ends of a connection are on one host, so that nothing
// that it carries goes over the host's network link.
func sameHost(local, remote net.Addr) bool {
	near, ok := local.(*net.TCPAddr)
	far, ok2 := remote.(*net.TCPAddr)
	return ok2 && (far.IP.IsLoopback() || ok && far.IP.Equal(near.IP))
}

// run handles the effects of the call until it has ended or the caller has
// disconnected. The reducer is notified in either case.
func (c *call) run(arrived core.CallArrived) {
	p := c.proxy
	effects := p.core.OpenCall(arrived)
	defer p.core.CloseCall(c.id)
	defer c.dropHeld()
	defer func() {
		if !c.done {
			p.core.Step(core.CallClosed{Call: c.id})
		}
	}()
	for !c.done {
		select {
		case e := <-effects:
			c.handleEffect(e)
		case <-c.r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (c *call) handleEffect(e core.Effect) {
	switch e := e.(type) {
	case core.ReleaseAnswer:
		c.done = true
		c.relayHeld()
	case core.Finish:
		c.done = true
		if c.held != nil {
			c.relayHeld() // no later attempt gave a better response
			return
		}
		if e.Outcome == retry.Ran {
			c.proxy.rejectRepeat(c.w, e.Status, e.Reason)
			return
		}
		status := statusOf(e.Outcome)
		switch {
		case e.NoRoute:
			status = http.StatusNotFound
		case e.NoAccount:
			status = http.StatusUnauthorized
		case e.OverQuota:
			status = http.StatusTooManyRequests
		}
		if e.RetryAfter > 0 {
			c.w.Header().Set("Retry-After", formatSeconds(e.RetryAfter))
		}
		c.proxy.fail(c.w, status, e.Outcome, e.Reason)
	case core.Forward:
		c.attempt(e)
	}
}

// formatSeconds formats a time for Retry-After.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// bodyFailed ends the call after reading the caller's body failed and ended an
// attempt.
func (c *call) bodyFailed(err error) {
	c.done = true
	c.proxy.core.Step(core.CallClosed{Call: c.id})
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.proxy.fail(c.w, http.StatusRequestEntityTooLarge, retry.Unknown, fmt.Sprintf(
			"request body has more than %d bytes", c.proxy.maxBody.Load()))
	case errors.As(err, &timeout) && timeout.Timeout():
		c.proxy.fail(c.w, statusOf(retry.Unknown), retry.Unknown, "request body did not come in time") // status 408 would say that it has not run
	default:
		panic(http.ErrAbortHandler) // the caller broke off its request
	}
}
