package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// slowPath is a path with requests that may not run twice and take slowDelay, longer than
// the servers of a drained node are given to end.
const (
	slowPath  = "/once/slow"
	lateDrain = 3100 * time.Millisecond // of a node that takes slow requests at first
	slowDelay = 650 * time.Millisecond
)

// TestPlannedStopCutsNoLateRequest stops a node in calm while callers send quick and slow
// requests throughout its drain: over kept connections, over new ones and pipelined. A
// request without a complete answer must not have run.
func TestPlannedStopCutsNoLateRequest(t *testing.T) {
	for name, others := range map[string]int{"entry node": 0, "entry node and another at once": 1} {
		t.Run(name, func(t *testing.T) { stopUnderCallers(t, others) })
	}
}

// stopUnderCallers stops the entry node, and others at the same time.
func stopUnderCallers(t *testing.T, others int) {
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, _ *proxy.Config) {
		c.Slots, c.DrainAtLeast, c.DrainAtMost = 100, lateDrain, lateDrain
	}, "", "orders", "orders")
	for _, n := range m.nodes[1:] {
		n.backend.SetFault(func(r *http.Request) sample.Fault {
			if strings.HasPrefix(r.URL.Path, slowPath) {
				return sample.Fault{Delay: slowDelay}
			}
			return sample.Fault{Delay: 2 * time.Millisecond}
		})
	}
	n := m.nodes[0]
	for range 3 { // the node learns how long requests usually take
		m.send(&request{id: m.id(), entry: n.callers, method: http.MethodPost, path: slowPath, once: true})
		m.send(&request{id: m.id(), entry: n.callers, method: http.MethodGet, path: "/checks"})
	}
	var callers sync.WaitGroup
	var mu sync.Mutex // guards all
	var all []*request
	record := func(sent ...*request) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, sent...)
	}
	stopping := time.Now()
	for _, n := range m.nodes[:1+others] {
		n.node.Step(core.Stop{})
	}
	during := func() bool { return time.Since(stopping) < lateDrain+100*time.Millisecond }
	callers.Go(func() {
		for ; during(); time.Sleep(20 * time.Millisecond) {
			callers.Go(func() {
				q := &request{id: m.id(), entry: n.callers, method: http.MethodPost, path: slowPath, once: true}
				m.send(q)
				record(q)
			})
		}
	})
	for range 6 {
		callers.Go(func() {
			for ; during(); time.Sleep(5 * time.Millisecond) {
				q := &request{id: m.id(), entry: n.callers, method: http.MethodGet, path: "/checks"}
				m.send(q)
				record(q)
			}
		})
	}
	for range 4 {
		callers.Go(func() {
			for ; during(); time.Sleep(5 * time.Millisecond) {
				record(m.pipeline(n.callers, 6)...)
			}
		})
	}
	for _, n := range m.nodes[:1+others] {
		callers.Go(func() {
			<-n.node.Drained()
			n.stop()
		})
	}
	callers.Wait()
	cut, answered, late := []string{}, 0, time.Duration(0)
	for _, q := range all {
		ran := len(m.runs.ForID(q.id))
		switch {
		case q.err == nil && q.status == http.StatusOK:
			answered, late = answered+1, max(late, q.started.Sub(stopping))
		case ran > 0:
			cut = append(cut, fmt.Sprintf("%s %s sent %v after the stop: %d runs, status %d, error %v", q.method, q.path, q.started.Sub(stopping), ran, q.status, q.err))
		}
	}
	t.Logf("%d requests, %d answered, the last one sent after %v", len(all), answered, late)
	is.Equal(cut, []string{})
	is.Equal(violations(all, m.runs), nil)
	is.True(late > lateDrain/2) // quick requests are served until shortly before the end
}

// TestUploadAtTheEndOfAStopIsCut guards against a request whose body is still coming when its
// entry node ends, and which gets no answer or one that says that it has not run.
func TestUploadAtTheEndOfAStopIsCut(t *testing.T) {
	const drain = 1500 * time.Millisecond
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.DrainAtLeast, c.DrainAtMost = drain, drain }, "", "orders")
	n := m.nodes[0]
	for range 3 { // the node learns how long requests usually take
		m.send(&request{id: m.id(), entry: n.callers, method: http.MethodPost, path: "/once", once: true})
	}
	before := m.nodes[1].arrivals.count.Load()
	n.node.Step(core.Stop{})
	var ended sync.WaitGroup
	ended.Go(func() {
		<-n.node.Drained()
		n.stop()
	})
	defer ended.Wait()
	time.Sleep(drain / 2)
	conn := m.dialRaw(0, "POST /once HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+streamedChunk())
	_ = conn.SetDeadline(time.Now().Add(testDeadline))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(m.nodes[1].arrivals.count.Load()-before, int64(1)) // it was taken
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(resp.Header.Get(proxy.HeaderOutcome), "unknown")
}

// pipeline sends n requests over one connection, the later ones one by one while earlier
// ones are answered, and reads the answers.
func (m *mesh) pipeline(entry string, n int) (sent []*request) {
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testDeadline))
	for range n {
		sent = append(sent, &request{id: m.id(), entry: entry, method: http.MethodGet, path: "/checks", started: time.Now(), err: io.EOF})
	}
	defer func() {
		for _, q := range sent {
			q.ended = time.Now()
		}
	}()
	go func() {
		for _, q := range sent {
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", q.path, sample.HeaderID, q.id)
			time.Sleep(500 * time.Microsecond)
		}
	}()
	in := bufio.NewReader(conn)
	for _, q := range sent {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return sent
		}
		q.status, q.outcome = resp.StatusCode, resp.Header.Get(proxy.HeaderOutcome)
		q.responseID, q.checksum = resp.Header.Get(sample.HeaderID), resp.Header.Get(sample.HeaderChecksum)
		q.responseBody, q.err = io.ReadAll(resp.Body)
	}
	return sent
}
