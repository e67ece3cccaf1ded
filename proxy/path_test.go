package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// crashBackend stops the backend server beside a node.
func crashBackend(name string, m *mesh) {
	for _, n := range m.nodes {
		if n.name == name {
			n.backend.Close()
		}
	}
}

// The entry node keeps a body of any length until its request runs, so that it
// can be sent to another backend server after a refusal.
func TestBodyIsRepeatedAfterARefusal(t *testing.T) {
	for _, size := range []int{0, 100, 64 << 10, 1 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.ProbeEvery = time.Hour }, "", "orders", "orders")
			crashBackend("n1", m) // its node still regards it as serving, since it does not probe
			body := bytes.Repeat([]byte("b"), size)
			for range 8 {
				q := &request{id: m.id(), entry: m.nodes[0].callers, method: "POST", path: "/", body: body, once: true}
				m.send(q)
				is.NoErr(q.err)
				is.Equal(q.status, http.StatusOK)
				is.Equal(len(m.runs.ForID(q.id)), 1)
			}
		})
	}
}

func TestLargeBodiesStreamBothWays(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	id := m.id()
	pr, pw := io.Pipe()
	go func() {
		for range 64 {
			_, _ = pw.Write(bytes.Repeat([]byte("u"), 64<<10))
		}
		_ = pw.Close()
	}()
	req, err := http.NewRequest("POST", "http://"+m.nodes[0].callers+"/?chunked=true&answerBytes=4000000", pr)
	is.NoErr(err)
	req.Header.Set(sample.HeaderID, id)
	resp, err := m.client.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.ContentLength, int64(-1))
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(len(data) > 4000000)
	is.True(bytes.Contains(data, []byte(`"bytes":4194304`)))
	is.Equal(len(m.runs.ForID(id)), 1)
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.MaxBodyBytes = 100 << 10 }, "", "orders")
	for _, declared := range []bool{true, false} {
		t.Run(fmt.Sprint("declared ", declared), func(t *testing.T) {
			is := is.New(t)
			id := m.id()
			var body io.Reader = bytes.NewReader(make([]byte, 200<<10))
			if !declared {
				body = io.MultiReader(body)
			}
			req, err := http.NewRequest("POST", "http://"+m.nodes[0].callers+"/", body)
			is.NoErr(err)
			req.Header.Set(sample.HeaderID, id)
			resp, err := m.client.Do(req)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.Equal(len(m.runs.ForID(id)), 0)
		})
	}
}

func TestDeadlineIsCarriedToTheBackendServer(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	id := m.id()
	_, _, err := m.do(0, "GET", "/", "", "Agatekeel-Timeout-Millis", "1500", sample.HeaderID, id)
	is.NoErr(err)
	left, err := strconv.Atoi(m.runs.ForID(id)[0].Header.Get(proxy.HeaderTimeout))
	is.NoErr(err)
	is.True(left > 0 && left <= 1500+100)
}

// A request whose deadline passes while it waits for a slot is reported as
// not-run and does not run.
func TestDeadlineInTheQueueIsNotRun(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.Slots = 1 }, "", "orders")
	m.nodes[1].backend.SetFault(func(r *http.Request) sample.Fault {
		return sample.Fault{HangAfter: r.URL.Path == "/once"}
	})
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		_, _, _ = m.do(0, "POST", "/once", "x")
	}()
	m.eventually("the slot is taken", func() bool { return m.nodes[1].node.Dump().Backend.Running == 1 })
	id := m.id()
	resp, _, err := m.do(0, "POST", "/", "x", "Agatekeel-Timeout-Millis", "50", sample.HeaderID, id)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(proxy.HeaderOutcome), "not-run")
	m.waitIdle()
	<-stop
	is.Equal(len(m.runs.ForID(id)), 0)
}

func TestDisconnectedCallerFreesSlotAndQueue(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.Slots = 1 }, "", "orders")
	m.nodes[1].backend.SetFault(func(*http.Request) sample.Fault { return sample.Fault{HangAfter: true} })
	var wg sync.WaitGroup
	send := func(ctx context.Context) {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.nodes[0].callers+"/once", strings.NewReader("x"))
			m.must(err)
			if resp, err := m.client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	hasLoad := func(running, waiting int) func() bool {
		return func() bool {
			d := m.nodes[1].node.Dump()
			return d.Backend.Running == running && d.Backend.Waiting == waiting
		}
	}
	first, cancelFirst := context.WithCancel(context.Background())
	send(first)
	m.eventually("one request runs", hasLoad(1, 0))
	m.eventually("the request has reached the backend server", func() bool { return m.nodes[1].backend.RunCount() == 1 })
	rest, cancelRest := context.WithCancel(context.Background())
	send(rest)
	send(rest)
	m.eventually("two requests wait", hasLoad(1, 2))
	cancelRest()
	m.eventually("the queue is free", hasLoad(1, 0))
	cancelFirst()
	m.eventually("the slot is free", hasLoad(0, 0))
	wg.Wait()
	is.Equal(m.nodes[1].backend.RunCount(), int64(1)) // the requests cancelled in the queue did not run
}

// If the limit of connections to a backend server is reached, requests wait for
// a free connection. They are reported as not-run if none becomes free in time.
func TestConnectionsToTheBackendServerAreLimited(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, p *proxy.Config) { c.Slots, p.Connections = 100, 2 }, "", "orders")
	m.nodes[1].backend.SetFault(func(r *http.Request) sample.Fault {
		return sample.Fault{HangAfter: r.URL.Path == "/once"}
	})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _, _ = m.do(0, "POST", "/once", "x") })
	}
	m.eventually("both connections are taken", func() bool { return m.nodes[1].backend.RunCount() == 2 })
	id := m.id()
	resp, _, err := m.do(0, "POST", "/", "x", "Agatekeel-Timeout-Millis", "50", sample.HeaderID, id)
	is.NoErr(err)
	is.Equal(resp.Header.Get(proxy.HeaderOutcome), "not-run")
	m.nodes[1].backend.Release()
	wg.Wait()
	resp, _, err = m.do(0, "POST", "/", "x", sample.HeaderID, id)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(m.runs.ForID(id)), 1)
}

// A call with a depth header counts as a call by a backend server, and the
// depth increases by one with each call. An invalid depth is ignored.
func TestDepthOfCallsIsCarried(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	for depth, want := range map[string]string{"": "1", "3": "4", "junk": "1"} {
		id := m.id()
		_, _, err := m.do(0, "GET", "/", "", proxy.HeaderDepth, depth, sample.HeaderID, id)
		is.NoErr(err)
		is.Equal(m.runs.ForID(id)[0].Header.Get(proxy.HeaderDepth), want)
	}
}

// If the connection of a queued attempt breaks, the attempt is confirmed as
// not-run, so that a request that may run once is sent again. Without the query
// to the receiving node it fails.
func TestQueuedAttemptIsResentAfterConnectionLoss(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprint("fault injected ", faulty), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.Slots = 1 }, "", "orders")
			n := m.nodes[1]
			m.nodes[0].proxy.InjectFaults(proxy.Faults{NeverQueries: faulty})
			n.backend.SetFault(func(r *http.Request) sample.Fault {
				return sample.Fault{HangAfter: r.Header.Get(sample.HeaderID) == "first"}
			})
			var wg sync.WaitGroup
			send := func(id string) *request {
				q := &request{id: id, entry: m.nodes[0].callers, method: "POST", path: "/once", body: []byte("x"), once: true}
				wg.Go(func() { m.send(q) })
				return q
			}
			first := send("first")
			m.eventually("the slot is taken", func() bool { return n.backend.RunCount() == 1 })
			second := send("second")
			m.eventually("the second request waits", func() bool { return n.node.Dump().Backend.Waiting == 1 })
			n.hopListener.closeLast()
			m.eventually("the second request has left the queue or was sent again", func() bool {
				return faulty && n.node.Dump().Backend.Waiting == 0 || n.arrivals.count.Load() == 3
			})
			n.backend.Release()
			wg.Wait()
			is.Equal(second.status == http.StatusOK, !faulty)
			is.Equal(violations([]*request{first, second}, m.runs), nil)
		})
	}
}

// TestLostAnswerIsReportedWithItsReason loses the answer of a request on a connection
// that goes silent. The caller and the log must be told why the request failed.
func TestLostAnswerIsReportedWithItsReason(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	n := m.nodes[1]
	n.backend.SetFault(func(*http.Request) sample.Fault { return sample.Fault{HangAfter: true} })
	answered := make(chan *http.Response, 1)
	go func() {
		resp, _, _ := m.do(0, "POST", "/once", "x")
		answered <- resp
	}()
	m.eventually("the request runs", func() bool { return n.backend.RunCount() == 1 })
	n.hopListener.silence()
	n.backend.Release()
	resp := <-answered
	is.True(resp != nil)
	is.Equal(resp.Header.Get(proxy.HeaderOutcome), "unknown")
	is.True(strings.Contains(resp.Header.Get(proxy.HeaderReason), "silent"))
}
