package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	id, caller, path string
	at               time.Time
}

// upstream is a stand-in for an application server beside a node.
type upstream struct {
	id, service string
	node        *node
	born        int64
	slots       int
	work        time.Duration
	server      *http.Server
	special     func(w http.ResponseWriter, r *http.Request) bool // answers in place of the usual answer if it returns true

	mu       sync.Mutex // guards the fields below
	sequence int
	state    string
	leaving  bool // says so in its answers
	silent   bool // sends no heartbeats of its own
	running  int
	runs     []run

	ended atomic.Bool
	rec   *record
}

// startUpstream starts an upstream at a node's app_addr. Its heartbeats begin at once.
func startUpstream(n *node, rec *record, work time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", n.appAddr)
	if err != nil {
		return nil, fmt.Errorf("upstream: %w", err)
	}
	u := &upstream{
		id: "i-" + n.name, service: n.service, node: n, born: time.Now().UnixMilli(), slots: 6, work: work, state: "ready",
		rec: rec,
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	go u.beats()
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	u.mu.Lock()
	leaving, full := u.leaving, u.running >= u.slots
	expected := r.Header.Get("X-Expect-Instance")
	runs := (expected == "" || expected == u.id) && !full
	if runs {
		u.running++
		u.runs = append(u.runs, run{id: id, caller: r.Header.Get("X-Caller-Service"), path: r.URL.RequestURI(), at: time.Now()})
	}
	u.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	switch {
	case expected != "" && expected != u.id:
		h.Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.rec.note("run %s at %s", id, u.id)
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if u.special != nil && u.special(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done(): // the connection was closed
		u.rec.note("%s drops %s: its connection is closed", u.id, id)
		return
	}
	h.Set("X-Response-Stamp", "s."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", u.id, id)
}

// beatBody returns the body of the next heartbeat.
func (u *upstream) beatBody() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.node.appAddr, "zone": u.node.zone, "version": "v1", "slots": u.slots, "state": u.state,
		"cold_remaining_ms": 0, "sequence": u.sequence, "born": u.born,
	}
}

// beats sends heartbeats until the upstream has ended.
func (u *upstream) beats() {
	for !u.ended.Load() {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if !silent {
			_ = u.say("heartbeat", u.beatBody())
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

// say sends a heartbeat or a deregistration, and reports whether it was acknowledged
// within a second.
func (u *upstream) say(call string, body map[string]any) bool {
	data, _ := json.Marshal(body) // plain values: never fails
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+u.node.control+"/api/instances/"+u.id+"/"+call, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	u.rec.note("%s of %s %s: answer %d", call, u.id, data, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// setState sets the state that heartbeats tell.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// leaves makes the upstream say in its answers that it leaves.
func (u *upstream) leaves() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// silence ends the upstream's own heartbeats.
func (u *upstream) silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
}

// runsAfter returns the runs that began after a time.
func (u *upstream) runsAfter(t time.Time) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []run
	for _, r := range u.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// exit ends the upstream: its connections are closed.
func (u *upstream) exit() {
	u.ended.Store(true)
	_ = u.server.Close()
}

// millis returns a duration in whole milliseconds as text.
func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + " ms" }
