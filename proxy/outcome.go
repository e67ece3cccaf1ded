package proxy

import (
	"errors"
	"net/http"

	"github.com/agatekeel/agatekeel/core/retry"
)

// attemptError says how an attempt failed and what is certain about it.
type attemptError struct {
	outcome retry.Outcome
	told    bool // the receiving node said so, so there is no need to ask it
	healthy bool // the failure does not count against the endpoint
	err     error
}

func (e *attemptError) Error() string { return e.err.Error() }

func (e *attemptError) Unwrap() error { return e.err }

// refusedBy returns the error of an attempt that a node refused, unrun.
func refusedBy(err error) *attemptError {
	return &attemptError{outcome: retry.NotRun, told: true, healthy: true, err: err}
}

// asAttemptError returns err as an attemptError; any other may have run.
func asAttemptError(err error) *attemptError {
	var a *attemptError
	if errors.As(err, &a) {
		return a
	}
	return &attemptError{outcome: retry.Unknown, err: err}
}

// statusOf returns the status that goes with an outcome.
func statusOf(o retry.Outcome) int {
	if o == retry.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// fail answers with a status, what is known of the request, and why.
func (p *Proxy) fail(w http.ResponseWriter, status int, o retry.Outcome, reason string) {
	p.refused.Inc(1)
	if p.broken.unknownAsNotRun {
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
