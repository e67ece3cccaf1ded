package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// Decider takes events into the reducer and hands out the effects that belong
// to one call or one attempt.
type Decider interface {
	Step(core.Event)
	// OpenCall returns where the effects of a call arrive until CloseCall.
	OpenCall(core.CallID) <-chan core.Effect
	CloseCall(core.CallID)
	// OpenAttempt does the same for an attempt at the own backend server. It
	// reports false when the attempt is open already.
	OpenAttempt(core.AttemptID) (<-chan core.Effect, bool)
	CloseAttempt(core.AttemptID)
}

// Config holds the settings of a Proxy.
type Config struct {
	Backend     string // address of the own backend server
	Connections int    // to it, at most

	// HopDial opens connections to other nodes; nil: TCP in the clear.
	HopDial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Proxy serves callers and other nodes.
type Proxy struct {
	cfg      Config
	core     Decider
	lastCall atomic.Uint64
	backend  *http.Transport
	hop      *http.Transport
	calls    metrics.Timer
	refused  metrics.Counter
}

// New returns a Proxy that asks d and counts in r.
func New(cfg Config, d Decider, r metrics.Registry) *Proxy {
	hop := newTransport(0)
	if cfg.HopDial != nil {
		hop.DialContext = cfg.HopDial
	}
	return &Proxy{
		cfg: cfg, core: d,
		backend: newTransport(cfg.Connections),
		hop:     hop,
		calls:   metrics.GetOrRegisterTimer("proxy.calls", r),
		refused: metrics.GetOrRegisterCounter("proxy.refused", r),
	}
}

func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:     (&net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}).DialContext,
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: 256, IdleConnTimeout: 60 * time.Second,
		DisableCompression: true,
	}
}

// Close closes idle connections.
func (p *Proxy) Close() {
	p.backend.CloseIdleConnections()
	p.hop.CloseIdleConnections()
}

// Callers serves the listener for callers.
func (p *Proxy) Callers() http.Handler { return engine(p.serveCall) }

// Hops serves the listener for other nodes.
func (p *Proxy) Hops() http.Handler { return engine(p.serveHop) }

// engine lets gin serve every path by one handler.
func engine(h func(http.ResponseWriter, *http.Request)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.NoRoute(func(c *gin.Context) { h(c.Writer, c.Request) })
	return e
}

// serveCall carries one caller's request.
func (p *Proxy) serveCall(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	defer func() { p.calls.UpdateSince(started) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		p.fail(w, http.StatusRequestEntityTooLarge, retry.NotRun, fmt.Sprintf("request body can't be read: %v", err))
		return
	}
	id := core.CallID(p.lastCall.Add(1))
	effects := p.core.OpenCall(id)
	defer p.core.CloseCall(id)
	p.core.Step(core.CallArrived{
		Call: id, Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Repeats: true,
	})
	for {
		select {
		case e := <-effects:
			if p.callEffect(w, r, body, e) {
				return
			}
		case <-r.Context().Done():
			p.core.Step(core.CallLeft{Call: id})
			return
		}
	}
}

// callEffect carries one effect of a call out and reports whether it was the
// last.
func (p *Proxy) callEffect(w http.ResponseWriter, r *http.Request, body []byte, e core.Effect) bool {
	switch e := e.(type) {
	case core.Finish:
		status := http.StatusServiceUnavailable
		switch {
		case e.NoRoute:
			status = http.StatusNotFound
		case e.Outcome == retry.Unknown:
			status = http.StatusBadGateway
		}
		p.fail(w, status, e.Outcome, e.Reason)
		return true
	case core.Forward:
		return p.attempt(w, r, body, e)
	}
	return false
}

func (p *Proxy) fail(w http.ResponseWriter, status int, o retry.Outcome, reason string) {
	p.refused.Inc(1)
	w.Header().Set(HeaderOutcome, o.String())
	w.Header().Set(HeaderReason, reason)
	http.Error(w, reason, status)
}

// attempt sends one attempt and passes its answer on. It reports whether the
// call is over.
func (p *Proxy) attempt(w http.ResponseWriter, r *http.Request, body []byte, f core.Forward) bool {
	ctx, cancel := context.WithTimeout(r.Context(), f.Budget)
	defer cancel()
	ended := core.AttemptEnded{Call: f.Call, Attempt: f.Attempt, Queue: -1}
	resp, err := p.send(ctx, r, body, f)
	if err != nil {
		ended.Outcome, ended.Reason = outcomeOf(err), err.Error()
		ended.Failed = !errors.As(err, new(*refusedError))
		p.core.Step(ended)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if q, err := strconv.Atoi(resp.Header.Get(headerQueue)); err == nil {
		ended.Queue = q
	}
	copyHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	_, err = io.Copy(w, resp.Body)
	ended.Outcome, ended.AnswerStarted = retry.Ran, true
	ended.Failed = err != nil || resp.StatusCode >= http.StatusInternalServerError
	p.core.Step(ended)
	if err != nil {
		panic(http.ErrAbortHandler) // a cut answer is cut for the caller too
	}
	return true
}

// refusedError says that an attempt certainly did not run.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return e.reason }

// outcomeOf returns what an error of an attempt proves.
func outcomeOf(err error) retry.Outcome {
	var refused *refusedError
	var op *net.OpError
	switch {
	case errors.As(err, &refused):
		return retry.NotRun
	case errors.As(err, &op) && op.Op == "dial":
		return retry.NotRun // no connection, so nothing was written
	}
	return retry.Unknown
}

func (p *Proxy) send(ctx context.Context, r *http.Request, body []byte, f core.Forward) (*http.Response, error) {
	h := hopHeader{attempt: f.Attempt, class: f.Class, budget: f.Budget}
	if f.Local {
		return p.runLocal(ctx, r, bytes.NewReader(body), h)
	}
	out, err := outgoing(ctx, r, f.Hop, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	h.write(out.Header)
	resp, err := p.hop.RoundTrip(out)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", f.Target, err)
	}
	switch resp.Header.Get(HeaderOutcome) {
	case retry.NotRun.String():
		_ = resp.Body.Close()
		return nil, &refusedError{reason: resp.Header.Get(HeaderReason)}
	case retry.Unknown.String():
		_ = resp.Body.Close()
		return nil, fmt.Errorf("node %s: %s", f.Target, resp.Header.Get(HeaderReason))
	}
	return resp, nil
}

// outgoing returns the request as it is sent to the next hop.
func outgoing(ctx context.Context, r *http.Request, host string, body io.Reader) (*http.Request, error) {
	u := *r.URL
	u.Scheme, u.Host = "http", host
	out, err := http.NewRequestWithContext(ctx, r.Method, u.String(), body)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", host, err)
	}
	out.GetBody = nil // the reducer decides about retries, not the transport
	out.Host = r.Host
	copyHeader(out.Header, r.Header)
	return out, nil
}

// runLocal waits for admission, then sends the request to the own backend
// server. The attempt counts as running until the answer's body is closed.
func (p *Proxy) runLocal(ctx context.Context, r *http.Request, body io.Reader, h hopHeader) (*http.Response, error) {
	effects, fresh := p.core.OpenAttempt(h.attempt)
	if !fresh {
		return nil, &refusedError{reason: string(admission.SeenBefore)}
	}
	p.core.Step(core.AttemptArrived{Attempt: h.attempt, Class: h.class, Budget: h.budget})
	if err := p.admitted(ctx, effects, h.attempt); err != nil {
		p.core.CloseAttempt(h.attempt)
		return nil, err
	}
	started := time.Now()
	out, err := outgoing(ctx, r, p.cfg.Backend, body)
	var resp *http.Response
	if err == nil {
		resp, err = p.backend.RoundTrip(out)
	}
	done := func(refused bool) {
		p.core.Step(core.AttemptDone{Attempt: h.attempt, Took: time.Since(started), Refused: refused})
		p.core.CloseAttempt(h.attempt)
	}
	if err != nil {
		done(errors.Is(err, syscall.ECONNREFUSED))
		return nil, fmt.Errorf("backend server: %w", err)
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, done: func() { done(false) }}
	return resp, nil
}

// admitted waits until the attempt runs, is refused or is cancelled.
func (p *Proxy) admitted(ctx context.Context, effects <-chan core.Effect, id core.AttemptID) error {
	cancelled := ctx.Done()
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case core.Run:
				return nil
			case core.Refuse:
				return &refusedError{reason: string(e.Reason)}
			}
		case <-cancelled:
			cancelled = nil // asked once; Run or Refuse follows
			p.core.Step(core.AttemptCancelled{Attempt: id})
		}
	}
}

// countedBody tells when the answer's body is closed.
type countedBody struct {
	io.ReadCloser
	done func()
}

func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.done != nil {
		b.done()
		b.done = nil
	}
	return err
}

// serveHop carries an attempt from another node to the own backend server.
func (p *Proxy) serveHop(w http.ResponseWriter, r *http.Request) {
	h, err := readHopHeader(r.Header)
	if err != nil {
		p.fail(w, http.StatusBadRequest, retry.NotRun, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.budget)
	defer cancel()
	resp, err := p.runLocal(ctx, r, r.Body, h)
	if err != nil {
		status := http.StatusBadGateway
		o := outcomeOf(err)
		if o == retry.NotRun {
			status = http.StatusServiceUnavailable
		}
		p.fail(w, status, o, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	copyHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
