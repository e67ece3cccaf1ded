package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// runLocal waits for admission, then sends the request to this node's backend
// server. The attempt counts as running until its response has been read
// completely.
func (p *Proxy) runLocal(ctx context.Context, r *http.Request, body *requestBody, h hopHeader) (*http.Response, error) {
	if p.injected.ignoresAttemptIDs {
		h.attempt = core.AttemptID{Origin: h.attempt.Origin + 1, Number: p.lastCall.Add(1)}
	}
	run, err := p.admit(ctx, r, h)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	resp, err := p.sendToBackend(ctx, r, body, h, run)
	done := core.AttemptDone{Attempt: h.attempt, Request: get(r.Header, p.cfg.Names.RequestID)}
	end := func() {
		done.Took = time.Since(started)
		p.core.EndAttempt(done)
	}
	if err != nil {
		done.Refused, done.Truncated = errors.Is(err, syscall.ECONNREFUSED), true
		end()
		return nil, backendError(err)
	}
	done.Status = resp.StatusCode
	resp.Body = &observedBody{ReadCloser: &trailedBody{ReadCloser: resp.Body, resp: resp}, onEnd: func(complete bool, size int64) {
		done.Truncated, done.Bytes = !complete, size
		end()
	}}
	if resp.Request.Method != http.MethodHead {
		resp.Body = p.readAhead.read(resp.Body, resp.ContentLength)
	}
	return resp, nil
}

// admit waits until this node lets an attempt run.
func (p *Proxy) admit(ctx context.Context, r *http.Request, h hopHeader) (core.Run, error) {
	effects, opened := p.core.OpenAttempt(core.AttemptArrived{
		Attempt: h.attempt, Request: get(r.Header, p.cfg.Names.RequestID), Class: h.class,
		Budget: h.budget, SoftBudget: h.softBudget, Waited: h.waited, AnswerBytes: h.answerBytes, ForIncarnation: h.incarnation, Key: h.key,
		Link: p.link.load(), OnHost: h.onHost, Relay: h.relay, Said: h.said,
	})
	if !opened {
		return core.Run{}, refusal(core.Refuse{Reason: admission.DuplicateAttempt, Outcome: retry.Unknown})
	}
	run, err := p.awaitAdmission(ctx, effects, h)
	if err != nil {
		p.core.DropAttempt(h.attempt)
	}
	return run, err
}

// sendToBackend sends an attempt that may run to this node's backend server, and
// returns the response once its head has been read and checked.
func (p *Proxy) sendToBackend(ctx context.Context, r *http.Request, body *requestBody, h hopHeader, run core.Run) (*http.Response, error) {
	out := outgoing(r, p.cfg.Backend, body)
	if h.entry {
		set(out.Header, p.cfg.Names.Service, p.cfg.Service)
	}
	if h.account != "" {
		set(out.Header, p.cfg.Names.Account, h.account)
	}
	deadline, _ := ctx.Deadline()
	p.cfg.Names.setBackendHeaders(out.Header, run.Backend, h.depth, time.Until(deadline))
	p.closeSuspectIdle(r)
	resp, err := p.roundTrip(ctx, p.transportFor(r), out, func(resp *http.Response) error {
		p.noteAnswer(r, resp, run)
		err := p.cfg.Names.checkResponse(r, resp)
		p.recordRefusal(r, err)
		return err
	})
	p.recordIdleLoss(ctx, err)
	return resp, err
}

// transportFor returns the transport for a request to this node's backend server. A request
// whose ID it has refused before gets a connection that has carried no other.
func (p *Proxy) transportFor(r *http.Request) *http.Transport {
	if p.refusedIDs.has(get(r.Header, p.cfg.Names.RequestID)) {
		return p.unshared
	}
	return p.backend
}

// recordRefusal records the ID of a request that this node's backend server refused, if it
// may not run twice. It has to be called before the connection can be used again.
func (p *Proxy) recordRefusal(r *http.Request, err error) {
	if err == nil || asAttemptError(err).outcome != retry.NotRun || p.core.IsIdempotent(r.Method, r.Host, r.URL.Path) {
		return
	}
	p.refusedIDs.add(get(r.Header, p.cfg.Names.RequestID))
}

// backendError returns the error for an attempt that this node's backend server did
// not answer.
func backendError(err error) *attemptError {
	failed := asAttemptError(err)
	return &attemptError{
		outcome: failed.outcome, reported: true, healthy: failed.healthy, unreachable: failed.unreachable, reason: failed.Error(),
		arrived: failed.arrived || failed.outcome != retry.NotRun,
		err:     fmt.Errorf("backend server: %w", failed.err),
	}
}

// idleDistrustPeriod is the time after an idle connection broke without a
// response in which requests that may not run twice are sent over new
// connections only.
const idleDistrustPeriod = 30 * time.Second

// closeSuspectIdle closes idle connections to this node's backend server before
// a request that may not run twice, if an idle connection broke recently. A
// backend server that has dropped its idle connections resets them on the next
// request, and whether that request ran is unknown here. A connection that
// becomes idle after this call can be used, because it carried a request a
// moment ago.
func (p *Proxy) closeSuspectIdle(r *http.Request) {
	if time.Since(time.Unix(0, p.idleLostAt.Load())) > idleDistrustPeriod || p.core.IsIdempotent(r.Method, r.Host, r.URL.Path) {
		return
	}
	p.backend.CloseIdleConnections()
}

// recordIdleLoss records that a reused connection broke without a response,
// unless the request was ended at this node.
func (p *Proxy) recordIdleLoss(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil || p.injected.trustsIdleConns || !asAttemptError(err).reused {
		return
	}
	p.idleLostAt.Store(time.Now().UnixNano())
}

// awaitAdmission waits until the attempt runs, is refused or is cancelled.
func (p *Proxy) awaitAdmission(ctx context.Context, effects <-chan core.Effect, h hopHeader) (core.Run, error) {
	cancelled := ctx.Done()
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case core.Run:
				return e, nil
			case core.Refuse:
				return core.Run{}, refusal(e)
			}
		case <-cancelled:
			cancelled = nil // cancel once; Run or Refuse follows
			p.core.Step(core.AttemptCancelled{Attempt: h.attempt, ForIncarnation: h.incarnation})
		}
	}
}

var errBrokenTrailer = fmt.Errorf("answer has a broken trailer")

// trailedBody is the body of a response. It does not end well if its trailer is broken.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && (holdsStatusLine(b.resp.Trailer) || holdsBrokenName(b.resp.Trailer)) {
		err = errBrokenTrailer
	}
	return n, err
}

// observedBody calls onEnd once when the response's body has ended or is
// closed, and reports whether it was complete and how many bytes of it were read.
// It does so when the end is read, before Close, so that a slow receiver occupies
// no slot.
type observedBody struct {
	io.ReadCloser
	once  sync.Once // the body may be closed while it is read
	size  atomic.Int64
	onEnd func(complete bool, size int64)
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size.Add(int64(n))
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

func (b *observedBody) end(complete bool) {
	b.once.Do(func() { b.onEnd(complete, b.size.Load()) })
}
