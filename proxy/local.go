package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// runLocal waits for admission, then sends the request to the own backend
// server. The attempt counts as running until the answer has been read whole.
func (p *Proxy) runLocal(ctx context.Context, r *http.Request, body *requestBody, h hopHeader) (*http.Response, error) {
	if p.broken.attemptsUnnamed {
		h.attempt = core.AttemptID{Origin: h.attempt.Origin + 1, Number: p.lastCall.Add(1)}
	}
	effects, fresh := p.core.OpenAttempt(core.AttemptArrived{
		Attempt: h.attempt, Request: get(r.Header, p.cfg.Names.RequestID), Class: h.class, Budget: h.budget, Wanted: h.wanted, For: h.meant, Key: h.key,
	})
	if !fresh {
		return nil, refusal(core.Refuse{Reason: admission.DuplicateAttempt, Outcome: retry.Unknown})
	}
	deadline, _ := ctx.Deadline()
	run, err := p.admitted(ctx, effects, h)
	if err != nil {
		p.core.DropAttempt(h.attempt)
		return nil, err
	}
	started := time.Now()
	out := outgoing(r, p.cfg.Backend, body)
	if h.entry {
		set(out.Header, p.cfg.Names.Service, p.cfg.Service)
	}
	p.cfg.Names.tellBackend(out.Header, run.Backend, h.depth, time.Until(deadline))
	p.dropIdle(r)
	resp, err := p.roundTrip(ctx, p.backend, out)
	p.noteLost(ctx, err)
	if err == nil {
		err = p.cfg.Names.checkAnswer(r, resp)
	}
	done := core.AttemptDone{Attempt: h.attempt, Request: get(r.Header, p.cfg.Names.RequestID)}
	end := func() {
		done.Took = time.Since(started)
		p.core.EndAttempt(done)
	}
	if err != nil {
		done.Refused, done.Cut = errors.Is(err, syscall.ECONNREFUSED), true
		end()
		failed := asAttemptError(err)
		return nil, &attemptError{
			outcome: failed.outcome, told: true, healthy: failed.healthy, reason: failed.Error(),
			arrived: failed.arrived || failed.outcome != retry.NotRun,
			err:     fmt.Errorf("backend server: %w", failed.err),
		}
	}
	done.Status, done.Bytes = resp.StatusCode, answerBytes(r, resp)
	resp.Body = &countedBody{ReadCloser: resp.Body, done: func(whole bool) {
		done.Cut = !whole
		end()
	}}
	resp.Body = p.ahead.read(resp.Body, done.Bytes)
	return resp, nil
}

// distrustIdle is how long idle connections carry nothing that may not run
// twice, after one broke without an answer.
const distrustIdle = 30 * time.Second

// dropIdle closes idle connections to the own backend server before a request
// that may not run twice, while the loss of one is recent. A backend server that
// forgets idle connections resets what is sent next, and whether that ran is not
// known here. One that becomes idle after this was in use just now.
func (p *Proxy) dropIdle(r *http.Request) {
	if time.Since(time.Unix(0, p.idleLost.Load())) > distrustIdle || p.core.MayRepeat(r.Method, r.Host, r.URL.Path) {
		return
	}
	p.backend.CloseIdleConnections()
}

// noteLost looks whether a kept connection broke without an answer, other than
// by the end of the request here.
func (p *Proxy) noteLost(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil || p.broken.trustsIdle || !asAttemptError(err).reused {
		return
	}
	p.idleLost.Store(time.Now().UnixNano())
}

// admitted waits until the attempt runs, is refused or is cancelled.
func (p *Proxy) admitted(ctx context.Context, effects <-chan core.Effect, h hopHeader) (core.Run, error) {
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
			cancelled = nil // asked once; Run or Refuse follows
			p.core.Step(core.AttemptCancelled{Attempt: h.attempt, For: h.meant})
		}
	}
}

// countedBody tells once when the answer's body has ended or is closed, and
// whether it came whole. It is told at the end already, so that a slow receiver
// holds no slot.
type countedBody struct {
	io.ReadCloser
	once sync.Once // it may be closed while it is read
	done func(whole bool)
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

func (b *countedBody) end(whole bool) {
	b.once.Do(func() { b.done(whole) })
}
