package proxy

import (
	"context"
	"math"
	"net/http"
	"strconv"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// serveHop forwards an attempt of another node to this node's backend server,
// or handles a query about an attempt or its cancellation.
func (p *Proxy) serveHop(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerCancel) != "" || r.Header.Get(headerQuery) != "" {
		p.serveQuery(w, r)
		return
	}
	h, err := readHop(r.Header)
	if err != nil {
		p.fail(w, http.StatusBadRequest, retry.NotRun, err.Error())
		return
	}
	w.Header()[headerAttempt] = []string{formatAttempt(h.attempt)} // lets the sender verify that the response belongs to its attempt
	// a body that the entry node reads while it sends it may stop: the attempt is known before
	body, err := p.newRequestBody(w, r, bodyReading{limit: math.MaxInt64, streams: r.Header.Get("Expect") != ""})
	if err != nil {
		p.fail(w, statusOfBody(err), retry.NotRun, err.Error())
		return
	}
	defer body.free()
	ctx, cancel := context.WithTimeout(r.Context(), h.budget)
	defer cancel()
	body.limitUpload(h.budget)
	resp, err := p.runLocal(ctx, r, body, h)
	setNotice(w.Header(), p.notices.current())
	w.Header()[headerQueue] = []string{strconv.Itoa(p.core.Waiting())}
	if err != nil {
		failed := asAttemptError(err)
		if failed.outcome == retry.Ran {
			p.rejectRepeat(w, failed.status, failed.reason)
			return
		}
		if failed.arrived {
			w.Header()[headerArrived] = []string{"1"}
		}
		if failed.linkOpensIn > 0 {
			w.Header()[headerLinkOpens] = []string{formatMicros(failed.linkOpensIn)}
		}
		p.failHop(w, statusOf(failed.outcome), failed.outcome, failed.Error())
		if failed.outcome == retry.NotRun {
			p.sent.refusals.Inc(responseBytes(statusOf(failed.outcome), w.Header(), 0))
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if mayBeLarge(resp) {
		p.core.Step(core.RelayBegan{})
		defer p.core.Step(core.RelayEnded{})
	}
	if _, err := p.relayResponse(w, resp, p.sent.own); err != nil && !p.injected.hidesTruncation {
		abortResponse(w)
	}
}
