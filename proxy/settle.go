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

// fateOpen is told of an attempt that waits or runs; else an outcome is told.
const fateOpen = "open"

// settle asks the receiving node to cancel an attempt of unknown outcome. If
// the node confirms that it did not run and never will, that is what is known.
func (c *call) settle(f core.Forward, failed *attemptError) *attemptError {
	if c.proxy.broken.resendsUnknown {
		return &attemptError{outcome: retry.NotRun, err: failed.err}
	}
	if failed.outcome != retry.Unknown || failed.told || f.Local || c.proxy.broken.neverAsks {
		return failed
	}
	fate, err := c.proxy.ask(headerCancel, f)
	if err != nil || fate != retry.NotRun.String() {
		return failed
	}
	return &attemptError{outcome: retry.NotRun, err: failed.err}
}

// abandon lets the receiving node drop an attempt whose caller is gone.
func (c *call) abandon(f core.Forward) {
	if f.Local {
		return
	}
	go func() { _, _ = c.proxy.ask(headerCancel, f) }()
}

// ask asks the node at an attempt's hop what became of it. With headerCancel
// the attempt is cancelled if it does not run; with headerQuery only if it
// never arrived.
func (p *Proxy) ask(header string, f core.Forward) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	req := (&http.Request{
		Method: http.MethodDelete, URL: &url.URL{Scheme: "http", Host: f.Hop, Path: "/"},
		Header: http.Header{header: {formatAttempt(f.Attempt)}, headerFor: {formatLife(f.Incarnation)}},
	}).WithContext(ctx)
	resp, err := p.query.RoundTrip(req)
	if err != nil {
		p.query.CloseIdleConnections() // the next question opens a connection of its own
		return "", fmt.Errorf("ask node %s about an attempt: %w", f.Target, err)
	}
	_ = resp.Body.Close()
	return resp.Header.Get(HeaderOutcome), nil
}

// serveQuery answers ask.
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
	meant, err := parseLife(r.Header.Get(headerFor))
	if err != nil {
		p.fail(w, http.StatusBadRequest, retry.Unknown, err.Error())
		return
	}
	fate := retry.Unknown.String()
	switch {
	case !cancel && p.core.AttemptOpen(id):
		fate = fateOpen
	case p.core.CancelAttempt(core.AttemptCancelled{Attempt: id, ForIncarnation: meant}):
		fate = retry.NotRun.String()
	}
	w.Header().Set(HeaderOutcome, fate)
	w.WriteHeader(http.StatusNoContent)
}

// silenceWatch asks the receiving node about an attempt that stays without an
// answer, on another connection: the one that carries the attempt may have
// gone silent while new ones work.
type silenceWatch struct {
	proxy   *Proxy
	forward core.Forward
	cancel  context.CancelFunc // ends the attempt

	mu      sync.Mutex // guards all below
	timer   *time.Timer
	ended   bool          // the answer is there, or the attempt failed
	found   *attemptError // why it was ended
	unknown int           // questions in a row to which the attempt was neither open nor refused
}

// lostAnswers is the number of such questions after which an answer counts as
// lost; one may cross with the answer.
const lostAnswers = 2

func (p *Proxy) watchSilence(f core.Forward, cancel context.CancelFunc) *silenceWatch {
	s := &silenceWatch{proxy: p, forward: f, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(p.cfg.SilenceAfter, s.check)
	return s
}

// stop ends the watch and returns why it ended the attempt, if it did.
func (s *silenceWatch) stop() *attemptError {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
	return s.found
}

// check asks once, and again later unless the matter is settled.
func (s *silenceWatch) check() {
	fate, err := s.proxy.ask(headerQuery, s.forward)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	switch {
	case err != nil || fate == fateOpen:
		s.unknown = 0
	case fate == retry.NotRun.String():
		s.give(&attemptError{outcome: retry.NotRun, told: true, err: fmt.Errorf(
			"node %s never received the request: the connection is silent", s.forward.Target)})
		return
	default:
		s.unknown++
		if s.unknown >= lostAnswers {
			s.give(&attemptError{outcome: retry.Unknown, told: true, err: fmt.Errorf(
				"node %s has ended the request, its answer did not come: the connection is silent", s.forward.Target)})
			return
		}
	}
	s.timer.Reset(s.proxy.cfg.SilenceAfter)
}

// give ends the attempt. Idle connections may be silent as well, so none of
// them is used again.
func (s *silenceWatch) give(e *attemptError) {
	s.ended, s.found = true, e
	s.cancel()
	s.proxy.hop.CloseIdleConnections()
}
