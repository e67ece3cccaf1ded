package proxy

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"

	"github.com/agatekeel/agatekeel/core"
)

// notices holds what this node's backend server said of itself last, so that the
// reducer gets only what has changed.
type notices struct {
	mu   sync.Mutex // held while the reducer gets a change, so that it gets them in order
	last *core.BackendAnswered
}

// noteAnswer passes to the reducer what a response of this node's backend server
// says of it. A response to another request, or of another backend server at the
// same address, says nothing.
func (p *Proxy) noteAnswer(r *http.Request, resp *http.Response, run core.Run) {
	if !p.cfg.Names.belongsTo(r, resp) || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	n := &p.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	e := core.BackendAnswered{BackendNotice: core.BackendNotice{Backend: run.Backend, StartMillis: run.StartMillis}}
	if n.last != nil && e.IsOf(n.last.BackendNotice) {
		e.BackendNotice = n.last.BackendNotice
	}
	p.cfg.Names.readNotice(resp.Header, &e)
	if n.last != nil && *n.last == e {
		return
	}
	n.last = &e
	p.core.Step(e)
}

// readNotice reads what the header of a response says of the backend server. A part
// that can't be read stays as it is in e.
func (n Names) readNotice(h http.Header, e *core.BackendAnswered) {
	leaving := get(h, n.Leaving)
	e.Leaving = leaving != "" && leaving != "0"
	text := get(h, n.RateLimit)
	if text == "" {
		e.Limited, e.RateLimit = false, 0
		return
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		e.Fault = fmt.Sprintf("header %s: %q is not a number of requests per second", n.RateLimit, text)
		return
	}
	e.Limited, e.RateLimit = true, limit
}
