package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// attemptError reports how an attempt failed and what is known for certain
// about it.
type attemptError struct {
	outcome  retry.Outcome
	reported bool // the receiving node reported the outcome, so it need not be asked
	healthy  bool // the failure does not count against the endpoint
	arrived  bool // the backend server may have received the request
	reused   bool // sent over a connection that had carried other requests
	// unreachable says that no connection was opened, for which the endpoint is to blame.
	unreachable bool
	status      int    // status of the first response if outcome is Ran
	reason      string // reason that the receiving node gave
	// linkOpensIn is as in core.Refuse; zero if the receiving node did not give it.
	linkOpensIn time.Duration
	header      http.Header // of the response in which the receiving node reported it; nil: none
	err         error
}

func (e *attemptError) Error() string { return e.err.Error() }

func (e *attemptError) Unwrap() error { return e.err }

// refusal returns the error for an attempt that admission refused.
func refusal(e core.Refuse) *attemptError {
	return &attemptError{
		outcome: e.Outcome, reported: true, healthy: true, status: e.Status, reason: string(e.Reason), linkOpensIn: e.LinkOpensIn,
		err: fmt.Errorf("%s", e.Reason),
	}
}

// asAttemptError returns err as an attemptError. For any other error the
// request may have run.
func asAttemptError(err error) *attemptError {
	var a *attemptError
	if errors.As(err, &a) {
		return a
	}
	return &attemptError{outcome: retry.Unknown, reason: err.Error(), err: err}
}

// statusOf returns the HTTP status for an outcome.
func statusOf(o retry.Outcome) int {
	switch o {
	case retry.NotRun:
		return http.StatusServiceUnavailable
	case retry.Ran:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}

// rejectRepeat responds to the repeat of a request that ran, with the status of
// the first response if it is known.
func (p *Proxy) rejectRepeat(w http.ResponseWriter, status int, reason string) {
	if status != 0 {
		w.Header().Set(HeaderFirstStatus, strconv.Itoa(status))
	}
	p.fail(w, statusOf(retry.Ran), retry.Ran, reason)
}

// fail responds with a status, the outcome of the request and the reason.
func (p *Proxy) fail(w http.ResponseWriter, status int, o retry.Outcome, reason string) {
	p.setFailure(w.Header(), o, reason)
	http.Error(w, reason, status)
}

// failHop responds to another node as fail does, without a body: a node reads the
// reason from the header.
func (p *Proxy) failHop(w http.ResponseWriter, status int, o retry.Outcome, reason string) {
	p.setFailure(w.Header(), o, reason)
	w.WriteHeader(status)
}

// setFailure counts a request that failed, and sets its outcome and the reason.
func (p *Proxy) setFailure(h http.Header, o retry.Outcome, reason string) {
	p.refused.Inc(1)
	if p.injected.reportsUnknownAsNotRun && o == retry.Unknown {
		o = retry.NotRun
	}
	setOutcome(h, o, reason)
}

func setOutcome(h http.Header, o retry.Outcome, reason string) {
	h.Set(HeaderOutcome, o.String())
	h.Set(HeaderReason, headerText(reason))
}

// headerText returns s with the characters that a header can't contain replaced
// by spaces.
func headerText(s string) string {
	out := []byte(s)
	for i, c := range out {
		if c < ' ' || c > '~' {
			out[i] = ' '
		}
	}
	return string(out)
}
