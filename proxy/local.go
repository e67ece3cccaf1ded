package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// runLocal waits for admission, then sends the request to the own backend
// server. The attempt counts as running until the answer has been read whole.
func (p *Proxy) runLocal(ctx context.Context, r *http.Request, body io.ReadCloser, length int64, h hopHeader) (*http.Response, error) {
	if p.broken.attemptsUnnamed {
		h.attempt = core.AttemptID{Origin: h.attempt.Origin + 1, Number: p.lastCall.Add(1)}
	}
	effects, fresh := p.core.OpenAttempt(h.attempt)
	if !fresh {
		return nil, refusal(admission.SeenBefore)
	}
	deadline, _ := ctx.Deadline()
	p.core.Step(core.AttemptArrived{Attempt: h.attempt, Class: h.class, Budget: h.budget})
	if err := p.admitted(ctx, effects, h.attempt); err != nil {
		p.core.CloseAttempt(h.attempt)
		return nil, err
	}
	started := time.Now()
	out := outgoing(ctx, r, p.cfg.Backend, body, length)
	out.Header[HeaderDepth] = []string{strconv.Itoa(h.depth)}
	out.Header[HeaderTimeout] = []string{strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)}
	resp, err := p.roundTrip(p.backend, out)
	done := func(refused bool) {
		p.core.Step(core.AttemptDone{Attempt: h.attempt, Took: time.Since(started), Refused: refused})
		p.core.CloseAttempt(h.attempt)
	}
	if err != nil {
		done(errors.Is(err, syscall.ECONNREFUSED))
		failed := asAttemptError(err)
		return nil, &attemptError{outcome: failed.outcome, told: true, err: fmt.Errorf("backend server: %w", failed.err)}
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
				return refusal(e.Reason)
			}
		case <-cancelled:
			cancelled = nil // asked once; Run or Refuse follows
			p.core.Step(core.AttemptCancelled{Attempt: id})
		}
	}
}

// refusal returns the error of an attempt that admission refused. A second
// copy of an attempt proves nothing about the first, which may have run.
func refusal(reason admission.Reason) *attemptError {
	err := fmt.Errorf("%s", reason)
	if reason == admission.SeenBefore {
		return &attemptError{outcome: retry.Unknown, told: true, err: err}
	}
	return refusedBy(err)
}

// countedBody tells once when the answer's body has ended or is closed. It is
// told at the end already, so that a slow receiver holds no slot.
type countedBody struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

func (b *countedBody) end() {
	if b.done != nil {
		b.done()
		b.done = nil
	}
}
