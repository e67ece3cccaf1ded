package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/core/uplink"
	"github.com/agatekeel/agatekeel/h1"
)

// attempt sends one attempt and relays its response, or reports how it failed.
func (c *call) attempt(f core.Forward) {
	deadline := time.Now().Add(f.Budget)
	ctx, cancel := context.WithDeadline(c.r.Context(), deadline.Add(hopGrace))
	defer cancel()
	c.body.limitUpload(f.Budget + hopGrace)
	responded := context.AfterFunc(c.proxy.ending, cancel)
	resp, err := c.sendAndBuffer(ctx, cancel, f)
	responded()
	if err == nil {
		c.respond(resp, f)
		return
	}
	if c.r.Context().Err() != nil {
		c.abandon(f)
		return
	}
	if err := c.body.failure(); err != nil {
		c.abandon(f)
		c.bodyFailed(err)
		return
	}
	failed := c.cancelUnknown(f, asAttemptError(err), deadline)
	c.proxy.core.Step(core.AttemptEnded{
		ReachedBackend: failed.arrived,
		Call:           f.Call, Attempt: f.Attempt, Outcome: failed.outcome, Failed: !failed.healthy, Queue: c.queueAt(f, failed.header), Said: saidIn(failed.header),
		LinkOpensIn: failed.linkOpensIn, Unreachable: failed.unreachable,
		Status: failed.status, BodyDiscarded: !c.body.repeatable(), Reason: failed.reason,
		ConnectionRefused: failed.outcome == retry.NotRun && !failed.reported && errors.Is(failed.err, syscall.ECONNREFUSED),
	})
	if failed.outcome == retry.Ran {
		c.done = true
		c.proxy.rejectRepeat(c.w, failed.status, failed.Error())
	}
}

// sendAndBuffer sends an attempt and returns its response, completely read if the call
// may still be sent again, if it has to wait for its turn, which may come after the attempt has ended, or
// if there are requests behind it: of a response that is cut after it has begun, only the end of the
// connection tells the caller, and they go with it. Those that come later wait for its end.
func (c *call) sendAndBuffer(ctx context.Context, cancel context.CancelFunc, f core.Forward) (*http.Response, error) {
	var relay uplink.Load
	if !f.Local && !c.onHost {
		relay = c.proxy.link.ask(f.AnswerBytes)
		defer c.proxy.link.asked(f.AnswerBytes)
	}
	resp, err := c.send(ctx, cancel, f, relay)
	if err != nil || !f.MayRetry && !h1.IsPipelined(c.r) && h1.BeginUnlessFollowed(c.r) {
		return resp, err
	}
	if err := c.bufferResponse(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// respond relays a response and ends the call, unless the response is held
// because another attempt may follow.
func (c *call) respond(resp *http.Response, f core.Forward) {
	defer func() { _ = resp.Body.Close() }()
	ended := core.AttemptEnded{
		Call: f.Call, Attempt: f.Attempt, Outcome: retry.Ran, AnswerStarted: true, Queue: c.queueAt(f, resp.Header),
		Status: resp.StatusCode, ReachedBackend: true,
		Failed: resp.StatusCode >= http.StatusInternalServerError, Said: saidIn(resp.Header),
	}
	if ended.Failed && f.MayRetry && c.holdResponse(resp, f.Local) {
		ended.AnswerStarted, ended.AnswerHeld = false, true
		c.proxy.core.Step(ended)
		return
	}
	size, err := c.proxy.relayResponse(c.w, resp, c.origin(f.Local))
	ended.Bytes = size
	var failure *responseError
	if err != nil {
		failure = err.(*responseError)
		ended.Failed, ended.Reason = !failure.downstream && c.r.Context().Err() == nil, failure.Error()
	}
	c.done = true
	c.proxy.core.Step(ended)
	if failure != nil && !c.proxy.injected.hidesTruncation {
		abortResponse(c.w)
	}
}

// queueAt returns the length of the queue at the target of an attempt after its end,
// or -1 if the header of the target's response does not say.
func (c *call) queueAt(f core.Forward, h http.Header) int {
	if f.Local {
		return c.proxy.core.Waiting()
	}
	if q, err := strconv.Atoi(get(h, headerQueue)); err == nil {
		return q
	}
	return -1
}

// send sends an attempt to the backend server's node, or directly to this
// node's backend server. cancel cancels ctx. relay is the state of the link over which
// a response of another node goes on.
func (c *call) send(ctx context.Context, cancel context.CancelFunc, f core.Forward, relay uplink.Load) (*http.Response, error) {
	h := hopHeader{
		attempt: f.Attempt, class: f.Class, budget: f.Budget, softBudget: f.SoftBudget, waited: f.Waited, answerBytes: f.AnswerBytes, depth: c.depth + 1, incarnation: f.Incarnation, key: f.Key, said: f.Said, relay: relay, account: f.Account,
	}
	if f.Local {
		h.entry, h.onHost = true, c.onHost
		return c.proxy.runLocal(ctx, c.r, c.body, h)
	}
	return c.sendHop(ctx, cancel, f, h)
}

func (c *call) sendHop(ctx context.Context, cancel context.CancelFunc, f core.Forward, h hopHeader) (*http.Response, error) {
	out := outgoing(c.r, f.Hop, c.body)
	h.set(out.Header)
	set(out.Header, c.proxy.cfg.Names.Service, c.proxy.cfg.Service)
	if c.body.streams() {
		out.Header["Expect"] = []string{"100-continue"} // the body is kept at this node until the attempt runs
	}
	watch := c.proxy.watchSilence(f, cancel)
	resp, err := c.proxy.roundTrip(ctx, c.proxy.hop, out, func(resp *http.Response) error { return c.checkHopResponse(f, resp) })
	silent := watch.stop()
	switch {
	case err != nil && silent != nil:
		return nil, silent
	case err != nil:
		failed := asAttemptError(err)
		return nil, &attemptError{
			outcome: failed.outcome, healthy: failed.healthy, unreachable: failed.unreachable, reason: failed.Error(), err: fmt.Errorf("node %s: %w", f.Target, failed.err),
		}
	}
	if outcome := resp.Header.Get(HeaderOutcome); outcome != "" {
		discardBody(resp)
		return nil, reportedError(f, outcome, resp)
	}
	return resp, nil
}

// checkHopResponse reports whether a response of another node is that to the attempt.
func (c *call) checkHopResponse(f core.Forward, resp *http.Response) error {
	if c.proxy.injected.skipsResponseCheck {
		return nil
	}
	err := checkAttempt(f, resp)
	if err != nil {
		c.proxy.hop.CloseIdleConnections() // another process may have the node's address
	}
	return err
}

// checkAttempt reports whether a response of another node is about the attempt.
func checkAttempt(f core.Forward, resp *http.Response) error {
	if ids := resp.Header[headerAttempt]; len(ids) == 1 && ids[0] == formatAttempt(f.Attempt) {
		return nil
	}
	return &attemptError{outcome: retry.Unknown, err: fmt.Errorf("an answer with status %d is not that of the attempt", resp.StatusCode)}
}

// reportedError converts what the receiving node reports about an attempt into
// an error.
func reportedError(f core.Forward, outcome string, resp *http.Response) *attemptError {
	e := &attemptError{
		outcome: retry.Unknown, reported: true, reason: resp.Header.Get(HeaderReason), arrived: resp.Header.Get(headerArrived) != "",
		header: resp.Header,
	}
	e.err = fmt.Errorf("node %s: %s", f.Target, e.reason)
	switch outcome {
	case retry.NotRun.String():
		e.outcome, e.healthy = retry.NotRun, true
		e.linkOpensIn = linkOpensIn(resp.Header)
	case retry.Ran.String():
		e.outcome, e.healthy = retry.Ran, true
		e.status, _ = strconv.Atoi(resp.Header.Get(HeaderFirstStatus))
	}
	return e
}
