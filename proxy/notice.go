package proxy

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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
	e.Leaving = n.saysLeaving(h)
	text := get(h, n.RateLimit)
	if text == "" {
		e.Limited, e.RateLimit = false, 0
		return
	}
	limit, err := parseRate(text)
	if err != nil {
		e.Fault = fmt.Sprintf("header %s: %v", n.RateLimit, err)
		return
	}
	e.Limited, e.RateLimit = true, limit
}

// current returns what this node's backend server said last.
func (n *notices) current() core.BackendNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.last == nil {
		return core.BackendNotice{}
	}
	return n.last.BackendNotice
}

// noLimit stands for a limit that is not named in headerSaid.
const noLimit = "-"

// saidFields is the number of fields of headerSaid.
const saidFields = 4

// setNotice adds headerSaid to a header, if the notice says something: the instance's
// ID and start, its limit, and whether it is leaving.
func setNotice(h http.Header, n core.BackendNotice) {
	if !n.SaysSomething() {
		return
	}
	limit := noLimit
	if n.Limited {
		limit = strconv.FormatFloat(n.RateLimit, 'g', -1, 64)
	}
	h[headerSaid] = []string{strings.Join([]string{
		url.QueryEscape(n.Backend), strconv.FormatInt(n.StartMillis, 10), limit, strconv.FormatBool(n.Leaving),
	}, " ")}
}

// readSaid parses headerSaid. Without it the notice says nothing.
func readSaid(h http.Header) (core.BackendNotice, error) {
	text := get(h, headerSaid)
	if text == "" {
		return core.BackendNotice{}, nil
	}
	fields := strings.Split(text, " ")
	if len(fields) != saidFields {
		return core.BackendNotice{}, fmt.Errorf("header %s: %q has not %d fields", headerSaid, text, saidFields)
	}
	backend, err := url.QueryUnescape(fields[0])
	start, err2 := strconv.ParseInt(fields[1], 10, 64)
	leaving, err3 := strconv.ParseBool(fields[3])
	if err := errors.Join(err, err2, err3); err != nil {
		return core.BackendNotice{}, fmt.Errorf("header %s: %q: %w", headerSaid, text, err)
	}
	n := core.BackendNotice{Backend: backend, StartMillis: start, Leaving: leaving}
	if fields[2] == noLimit {
		return n, nil
	}
	if n.RateLimit, err = parseRate(fields[2]); err != nil {
		return core.BackendNotice{}, fmt.Errorf("header %s: %w", headerSaid, err)
	}
	n.Limited = true
	return n, nil
}

// saidIn returns what the node that sent a response knows of its backend server. What
// can't be read counts as nothing: the response itself is good.
func saidIn(h http.Header) core.BackendNotice {
	n, err := readSaid(h)
	if err != nil {
		return core.BackendNotice{}
	}
	return n
}

func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, fmt.Errorf("%q is not a number of requests per second", text)
	}
	return rate, nil
}
