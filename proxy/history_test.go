package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// request is one call of a history and its result as the caller saw it.
type request struct {
	id, method, path string
	entry            string // address of the entry node
	body             []byte
	once             bool // it may run at most once
	disconnects      bool // the caller disconnects once the backend server has the request

	started, ended time.Time
	status         int
	outcome        string // value of the Agatekeel-Outcome header
	responseID     string
	checksum       string
	responseBody   []byte
	err            error // error of the exchange or while reading the response
}

// randomRequest returns the next request of a seeded history.
func randomRequest(rng *rand.Rand, entries []string, id string) *request {
	q := &request{id: id, entry: entries[rng.IntN(len(entries))], method: "GET", path: "/"}
	if rng.IntN(2) == 0 {
		q.method = "POST"
		q.body = bytes.Repeat([]byte{byte('a' + rng.IntN(26))}, []int{0, 10, 1000, 100 << 10}[rng.IntN(4)])
	}
	q.path = []string{"/", "/once", "/brief", "/checks"}[rng.IntN(4)]
	q.once = q.method == "POST" || q.path == "/once"
	q.path += fmt.Sprintf("?answerBytes=%d", []int{0, 3000, 100 << 10}[rng.IntN(3)])
	if rng.IntN(2) == 0 {
		q.path += "&chunked=true"
	}
	q.disconnects = rng.IntN(10) == 0
	return q
}

// seededFault returns a fault for each request, derived from the seed and the
// request ID. Requests hang only on paths with a short timeout.
func seededFault(seed uint64) func(*http.Request) sample.Fault {
	return func(r *http.Request) sample.Fault {
		id := crc32.ChecksumIEEE([]byte(r.Header.Get(sample.HeaderID)))
		rng := rand.New(rand.NewPCG(seed, uint64(id)))
		switch rng.IntN(12) {
		case 0:
			return sample.Fault{Shed: true}
		case 1:
			return sample.Fault{Drop: true}
		case 2:
			return sample.Fault{Cut: true}
		case 3:
			return sample.Fault{HangBefore: strings.HasPrefix(r.URL.Path, "/brief")}
		case 4:
			return sample.Fault{HangAfter: strings.HasPrefix(r.URL.Path, "/brief")}
		case 5:
			return sample.Fault{Delay: 5 * time.Millisecond}
		}
		return sample.Fault{}
	}
}

// send sends a request and records its result.
func (m *mesh) send(q *request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The client can't rewind a body of this type, so it does not send a
	// request again by itself.
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.entry+q.path,
		io.MultiReader(bytes.NewReader(q.body)))
	m.must(err)
	req.ContentLength, req.TransferEncoding = int64(len(q.body)), []string{"identity"}
	req.Header.Set(sample.HeaderID, q.id)
	if q.disconnects {
		go func() {
			for ctx.Err() == nil && len(m.runs.ForID(q.id)) == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
	}
	q.started = time.Now()
	defer func() { q.ended = time.Now() }()
	resp, err := m.client.Do(req)
	if err != nil {
		q.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	q.status, q.outcome = resp.StatusCode, resp.Header.Get(proxy.HeaderOutcome)
	q.responseID, q.checksum = resp.Header.Get(sample.HeaderID), resp.Header.Get(sample.HeaderChecksum)
	q.responseBody, q.err = io.ReadAll(resp.Body)
}

// runHistory runs a number of concurrent callers that send count requests each.
// disturb is called before each step of the first caller.
func (m *mesh) runHistory(seed uint64, callers, count int, disturb func(step int)) []*request {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*request
	entries := m.entries()
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for step := range count {
				if i == 0 && disturb != nil {
					disturb(step)
				}
				mu.Lock()
				q := randomRequest(rng, entries, fmt.Sprintf("c%d-%d", i, step))
				all = append(all, q)
				mu.Unlock()
				m.send(q)
			}
		})
	}
	wg.Wait()
	m.waitIdle()
	return all
}

// entries returns the addresses of all nodes for callers.
func (m *mesh) entries() []string {
	var out []string
	for _, n := range m.nodes {
		out = append(out, n.callers)
	}
	return out
}

// waitIdle waits until no request is in progress, so that every request that
// could still run has run.
func (m *mesh) waitIdle() {
	for _, n := range m.nodes {
		if n.backend != nil && !n.stopped {
			n.backend.Release()
		}
	}
	var busy string
	m.t.Cleanup(func() {
		if m.t.Failed() {
			m.t.Log(busy)
		}
	})
	m.eventually("no request is in progress", func() bool {
		for _, n := range m.nodes {
			if d := n.node.Dump(); !n.stopped && (d.Calls > 0 || d.Backend.Running > 0 || d.Backend.Waiting > 0) {
				busy = fmt.Sprintf("%s: %d calls, %d running, %d waiting", n.name, d.Calls, d.Backend.Running, d.Backend.Waiting)
				return false
			}
		}
		return true
	})
}

// disturb injects a disturbance at some steps of a history: silent connections,
// then a backend server that stops and restarts.
func (m *mesh) disturb(step int) {
	switch step % 12 {
	case 3:
		for _, n := range m.nodes {
			n.hopListener.silence()
		}
	case 6:
		m.nodes[1].backend.Close()
	case 9:
		m.must(m.nodes[1].backend.Restart())
	}
}

func TestHistoriesKeepGuarantees(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, nil, "", "orders", "orders")
			for _, n := range m.nodes[1:] {
				n.backend.SetFault(seededFault(seed))
			}
			all := m.runHistory(seed, 12, 24, m.disturb)
			is.Equal(violations(all, m.runs), nil)
			succeeded := 0
			for _, q := range all {
				if q.status == http.StatusOK && q.err == nil {
					succeeded++
				}
			}
			is.True(succeeded > len(all)/3) // enough requests of the history succeeded
		})
	}
}

func TestHistoryChecksDetectInjectedFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults proxy.Faults
		want   violation
	}{
		{"unknown reported as not-run", proxy.Faults{ReportsUnknownAsNotRun: true}, falseNotRun},
		{"unknown reported as not-run, by the model", proxy.Faults{ReportsUnknownAsNotRun: true}, notLinearizable},
		{"sent again after unknown", proxy.Faults{ResendsUnknown: true}, ranTwice},
		{"truncated response ended without an error", proxy.Faults{HidesTruncation: true}, truncated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []violation
			for seed := range uint64(faultyHistories) {
				got = faultyHistory(t, seed+1, tc.faults)
				if slices.Contains(got, tc.want) {
					return
				}
			}
			t.Fatalf("injected fault not detected: want violation %q, got %q", tc.want, got)
		})
	}
}

// TestReplayByTheTransportIsDetected drops the answer to a request that was sent over
// a reused connection, which is when a transport would send it again by itself.
func TestReplayByTheTransportIsDetected(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprint("fault injected ", faulty), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, nil, "orders")
			node := m.nodes[0]
			node.proxy.InjectFaults(proxy.Faults{TransportReplays: faulty})
			first := &request{id: m.id(), method: "GET", path: "/once", entry: node.callers, once: true}
			second := &request{id: m.id(), method: "GET", path: "/once", entry: node.callers, once: true}
			m.send(first)
			node.backend.SetFault(func(r *http.Request) sample.Fault {
				return sample.Fault{Drop: r.Header.Get(sample.HeaderID) == second.id}
			})
			m.send(second)
			m.waitIdle()
			is.Equal(slices.Contains(violations([]*request{first, second}, m.runs), ranTwice), faulty)
			is.Equal(len(m.runs.ForID(first.id)), 1)
		})
	}
}

// faultyHistories is the number of histories in which an injected fault is
// looked for. Some faults show only if a fault of a backend server coincides
// with a reused connection, which happens at most twice in a history.
const faultyHistories = 6

// faultyHistory returns the violations in a history of a mesh with injected
// faults.
func faultyHistory(t *testing.T, seed uint64, faults proxy.Faults) []violation {
	m := newMesh(t, nil, "", "orders", "orders")
	for _, n := range m.nodes {
		n.proxy.InjectFaults(faults)
	}
	for _, n := range m.nodes[1:] {
		n.backend.SetFault(seededFault(seed))
	}
	return violations(m.runHistory(seed, 12, 24, nil), m.runs)
}

func TestSameAttemptRunsOnce(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprint("fault injected ", faulty), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, nil, "orders")
			m.nodes[0].proxy.InjectFaults(proxy.Faults{IgnoresAttemptIDs: faulty})
			id := m.id()
			for i := range 2 {
				req, err := http.NewRequest("POST", "http://"+m.nodes[0].hop+"/", strings.NewReader("x"))
				is.NoErr(err)
				for k, v := range map[string]string{
					"Agatekeel-Hop": "7-1 1 5000000 1 0-0", sample.HeaderID: id,
				} {
					req.Header.Set(k, v)
				}
				resp, err := m.client.Do(req)
				is.NoErr(err)
				_ = resp.Body.Close()
				if i == 1 && !faulty {
					is.Equal(resp.Header.Get(proxy.HeaderOutcome), "unknown") // the first copy may have run
				}
			}
			want := 1
			if faulty {
				want = 2
			}
			is.Equal(len(m.runs.ForID(id)), want)
		})
	}
}
