package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// attempt sends one attempt and passes its answer on, or says how it failed.
func (c *call) attempt(f core.Forward) {
	ctx, cancel := context.WithTimeout(c.r.Context(), f.Budget+hopGrace)
	defer cancel()
	c.body.limitUpload(f.Budget + hopGrace)
	resp, err := c.send(ctx, cancel, f)
	if err == nil && f.MayRetry {
		err = c.take(resp)
	}
	if err == nil {
		c.answer(resp, f)
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
	failed := c.settle(f, asAttemptError(err))
	c.proxy.core.Step(core.AttemptEnded{
		ReachedBackend: failed.arrived,
		Call:           f.Call, Attempt: f.Attempt, Outcome: failed.outcome, Failed: !failed.healthy, Queue: -1,
		Status: failed.status, BodyDiscarded: !c.body.repeatable(), Reason: failed.reason,
		TargetGone: failed.outcome == retry.NotRun && !failed.told && errors.Is(failed.err, syscall.ECONNREFUSED),
	})
	if failed.outcome == retry.Ran {
		c.over = true
		c.proxy.tellFirst(c.w, failed.status, failed.Error())
	}
}

// answer passes an answer on and ends the call.
func (c *call) answer(resp *http.Response, f core.Forward) {
	defer func() { _ = resp.Body.Close() }()
	ended := core.AttemptEnded{
		Call: f.Call, Attempt: f.Attempt, Outcome: retry.Ran, AnswerStarted: true, Queue: queueOf(resp),
		Status: resp.StatusCode, ReachedBackend: true, Bytes: answerBytes(c.r, resp),
		Failed: resp.StatusCode >= http.StatusInternalServerError,
	}
	if ended.Failed && f.MayRetry && c.hold(resp) {
		ended.AnswerStarted, ended.AnswerHeld = false, true
		c.proxy.core.Step(ended)
		return
	}
	err := c.proxy.passOn(c.w, resp)
	var cut *answerError
	if err != nil {
		cut = err.(*answerError)
		ended.Failed, ended.Reason = !cut.caller && c.r.Context().Err() == nil, cut.Error()
	}
	c.over = true
	c.proxy.core.Step(ended)
	if cut != nil && !c.proxy.broken.cutEndsCleanly {
		cutOff(c.w)
	}
}

// queueOf returns the number of attempts waiting where an answer came from,
// or -1 when it does not tell.
func queueOf(resp *http.Response) int {
	if q, err := strconv.Atoi(resp.Header.Get(headerQueue)); err == nil {
		return q
	}
	return -1
}

// send sends an attempt to the backend server's node, or straight to the own
// backend server. cancel ends ctx.
func (c *call) send(ctx context.Context, cancel context.CancelFunc, f core.Forward) (*http.Response, error) {
	h := hopHeader{
		attempt: f.Attempt, class: f.Class, budget: f.Budget, wanted: f.SoftBudget, depth: c.depth + 1, meant: f.Incarnation, key: f.Key,
	}
	if f.Local {
		h.entry = true
		return c.proxy.runLocal(ctx, c.r, c.body, h)
	}
	return c.sendHop(ctx, cancel, f, h)
}

func (c *call) sendHop(ctx context.Context, cancel context.CancelFunc, f core.Forward, h hopHeader) (*http.Response, error) {
	out := outgoing(c.r, f.Hop, c.body)
	h.set(out.Header)
	set(out.Header, c.proxy.cfg.Names.Service, c.proxy.cfg.Service)
	if c.body.streams() {
		out.Header["Expect"] = []string{"100-continue"} // the body stays here until the attempt runs
	}
	watch := c.proxy.watchSilence(f, cancel)
	resp, err := c.proxy.roundTrip(ctx, c.proxy.hop, out)
	silent := watch.stop()
	switch {
	case err != nil && silent != nil:
		return nil, silent
	case err != nil:
		failed := asAttemptError(err)
		return nil, &attemptError{
			outcome: failed.outcome, reason: failed.Error(), err: fmt.Errorf("node %s: %w", f.Target, failed.err),
		}
	}
	if resp.Header.Get(headerAttempt) != formatAttempt(f.Attempt) && !c.proxy.broken.answersUnchecked {
		_ = resp.Body.Close()
		c.proxy.hop.CloseIdleConnections()
		err := fmt.Errorf("node %s: an answer with status %d is not that of the attempt", f.Target, resp.StatusCode)
		return nil, &attemptError{outcome: retry.Unknown, reason: err.Error(), err: err}
	}
	if told := resp.Header.Get(HeaderOutcome); told != "" {
		defer func() { _ = resp.Body.Close() }()
		return nil, toldError(f, told, resp)
	}
	return resp, nil
}

// toldError returns what the receiving node says about an attempt.
func toldError(f core.Forward, told string, resp *http.Response) *attemptError {
	e := &attemptError{
		outcome: retry.Unknown, told: true, reason: resp.Header.Get(HeaderReason), arrived: resp.Header.Get(headerArrived) != "",
	}
	e.err = fmt.Errorf("node %s: %s", f.Target, e.reason)
	switch told {
	case retry.NotRun.String():
		e.outcome, e.healthy = retry.NotRun, true
	case retry.Ran.String():
		e.outcome, e.healthy = retry.Ran, true
		e.status, _ = strconv.Atoi(resp.Header.Get(HeaderFirstStatus))
	}
	return e
}
