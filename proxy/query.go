package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// outcomeOpen is the reply to a query about an attempt that waits or runs. For
// other attempts the reply is an outcome.
const outcomeOpen = "open"

// cancelUnknown asks the receiving node to cancel an attempt of unknown
// outcome. If the node confirms that the attempt did not run and never will,
// the outcome becomes NotRun. The answer is awaited for lastQueryGrace after the
// call's deadline, and in any case for leastQueryTimeout.
func (c *call) cancelUnknown(f core.Forward, failed *attemptError, deadline time.Time) *attemptError {
	if c.proxy.injected.resendsUnknown {
		return &attemptError{outcome: retry.NotRun, err: failed.err}
	}
	if failed.outcome != retry.Unknown || failed.reported || f.Local || c.proxy.injected.neverQueries {
		return failed
	}
	limit := max(time.Until(deadline.Add(lastQueryGrace)), leastQueryTimeout)
	outcome, err := c.proxy.queryAttempt(headerCancel, f, min(limit, queryTimeout))
	if err != nil || outcome != retry.NotRun.String() {
		return failed
	}
	return &attemptError{outcome: retry.NotRun, err: failed.err}
}

// abandonBytes is what a query in the background takes.
const abandonBytes = 32 << 10

// abandon asks the receiving node, in the background, to cancel an attempt
// whose caller has disconnected or failed to send its body. Without room for that, the end of the
// attempt's connection tells the node.
func (c *call) abandon(f core.Forward) {
	p := c.proxy
	if f.Local || !p.room.reserve(abandonBytes, false) {
		return
	}
	go func() {
		defer p.room.release(abandonBytes)
		_, _ = p.queryAttempt(headerCancel, f, queryTimeout)
	}()
}

// queryAttempt asks the node at an attempt's hop for the outcome of the
// attempt. With headerCancel the node cancels the attempt unless it is running
// already; with headerQuery only if it never arrived.
func (p *Proxy) queryAttempt(header string, f core.Forward, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req := (&http.Request{
		Method: http.MethodDelete, URL: &url.URL{Scheme: "http", Host: f.Hop, Path: "/"},
		Header: http.Header{header: {formatAttempt(f.Attempt)}, headerIncarnation: {formatIncarnation(f.Incarnation)}},
	}).WithContext(ctx)
	resp, err := p.roundTrip(ctx, p.query, req, func(resp *http.Response) error { return checkAttempt(f, resp) })
	if err != nil {
		p.query.CloseIdleConnections() // the next query opens a new connection
		return "", fmt.Errorf("ask node %s about an attempt: %w", f.Target, err)
	}
	_ = resp.Body.Close()
	return resp.Header.Get(HeaderOutcome), nil
}

// serveQuery handles the requests that queryAttempt sends.
func (p *Proxy) serveQuery(w http.ResponseWriter, r *http.Request) {
	value, cancel := r.Header.Get(headerCancel), true
	if value == "" {
		value, cancel = r.Header.Get(headerQuery), false
	}
	id, err := parseAttempt(value)
	if err != nil {
		p.fail(w, http.StatusBadRequest, retry.Unknown, err.Error())
		return
	}
	incarnation, err := parseIncarnation(r.Header.Get(headerIncarnation))
	if err != nil {
		p.fail(w, http.StatusBadRequest, retry.Unknown, err.Error())
		return
	}
	outcome := retry.Unknown.String()
	switch {
	case !cancel && p.core.AttemptOpen(id):
		outcome = outcomeOpen
	case p.core.CancelAttempt(core.AttemptCancelled{Attempt: id, ForIncarnation: incarnation}):
		outcome = retry.NotRun.String()
	}
	w.Header()[headerAttempt] = []string{formatAttempt(id)}
	w.Header().Set(HeaderOutcome, outcome)
	w.WriteHeader(http.StatusNoContent)
}

// silenceWatch asks the receiving node about an attempt that has had no
// response for a while. It does so over another connection, because the one
// that carries the attempt may have gone silent while new ones work.
type silenceWatch struct {
	proxy   *Proxy
	forward core.Forward
	cancel  context.CancelFunc // cancels the attempt

	mu             sync.Mutex // guards the fields below
	timer          *time.Timer
	stopped        bool          // a response has arrived or the attempt has failed
	failure        *attemptError // why the watch cancelled the attempt; nil: it did not
	unknownReplies int           // consecutive queries to which the attempt was neither open nor refused
}

// maxUnknownReplies is the value of silenceWatch.unknownReplies at which the
// response counts as lost. One such reply is not enough, because the response
// may still be on its way when the query is answered.
const maxUnknownReplies = 2

func (p *Proxy) watchSilence(f core.Forward, cancel context.CancelFunc) *silenceWatch {
	s := &silenceWatch{proxy: p, forward: f, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(p.cfg.SilenceAfter, s.check)
	return s
}

// stop ends the watch and returns the reason if the watch cancelled the
// attempt.
func (s *silenceWatch) stop() *attemptError {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	return s.failure
}

// check queries the receiving node once and schedules the next check unless the
// outcome is decided.
func (s *silenceWatch) check() {
	outcome, err := s.proxy.queryAttempt(headerQuery, s.forward, queryTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	switch {
	case err != nil || outcome == outcomeOpen:
		s.unknownReplies = 0
	case outcome == retry.NotRun.String():
		s.failAttempt(retry.NotRun, fmt.Errorf("node %s never received the request: the connection is silent", s.forward.Target))
		return
	default:
		s.unknownReplies++
		if s.unknownReplies >= maxUnknownReplies {
			s.failAttempt(retry.Unknown, fmt.Errorf("node %s has ended the request, its answer did not come: the connection is silent", s.forward.Target))
			return
		}
	}
	s.timer.Reset(s.proxy.cfg.SilenceAfter)
}

// failAttempt cancels the attempt. Idle connections may be silent as well, so
// all of them are closed.
func (s *silenceWatch) failAttempt(outcome retry.Outcome, err error) {
	s.stopped, s.failure = true, &attemptError{outcome: outcome, reported: true, reason: err.Error(), err: err}
	s.cancel()
	s.proxy.hop.CloseIdleConnections()
}
