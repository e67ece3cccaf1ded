package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// attemptError says how an attempt failed and what is certain about it.
type attemptError struct {
	outcome  retry.Outcome
	reported bool   // the receiving node said so, so there is no need to ask it
	healthy  bool   // the failure does not count against the endpoint
	arrived  bool   // the backend server may have seen the request
	reused   bool   // it was sent over a connection that had carried others
	status   int    // of the first answer, when outcome is Ran
	reason   string // as the receiving node gave it
	err      error
}

func (e *attemptError) Error() string { return e.err.Error() }

func (e *attemptError) Unwrap() error { return e.err }

// refusal returns the error of an attempt that admission refused.
func refusal(e core.Refuse) *attemptError {
	return &attemptError{
		outcome: e.Outcome, reported: true, healthy: true, status: e.Status, reason: string(e.Reason),
		err: fmt.Errorf("%s", e.Reason),
	}
}

// asAttemptError returns err as an attemptError; any other may have run.
func asAttemptError(err error) *attemptError {
	var a *attemptError
	if errors.As(err, &a) {
		return a
	}
	return &attemptError{outcome: retry.Unknown, reason: err.Error(), err: err}
}

// statusOf returns the status that goes with an outcome.
func statusOf(o retry.Outcome) int {
	switch o {
	case retry.NotRun:
		return http.StatusServiceUnavailable
	case retry.Ran:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}

// rejectRepeat answers a repeat of a request that ran with the status of the
// first answer, if it is known.
func (p *Proxy) rejectRepeat(w http.ResponseWriter, status int, reason string) {
	if status != 0 {
		w.Header().Set(HeaderFirstStatus, strconv.Itoa(status))
	}
	p.fail(w, statusOf(retry.Ran), retry.Ran, reason)
}

// fail answers with a status, what is known of the request, and why.
func (p *Proxy) fail(w http.ResponseWriter, status int, o retry.Outcome, reason string) {
	p.refused.Inc(1)
	if p.injected.reportsUnknownAsNotRun && o == retry.Unknown {
		o = retry.NotRun
	}
	w.Header().Set(HeaderOutcome, o.String())
	w.Header().Set(HeaderReason, headerText(reason))
	http.Error(w, reason, status)
}

// headerText returns s in a form that fits a header.
func headerText(s string) string {
	out := []byte(s)
	for i, c := range out {
		if c < ' ' || c > '~' {
			out[i] = ' '
		}
	}
	return string(out)
}
