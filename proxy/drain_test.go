package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/uplink"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/load"
	"github.com/agatekeel/agatekeel/node"
)

// arrivals is a node that counts the attempts that reach it and records the
// time of the last one.
type arrivals struct {
	*node.Node
	last  atomic.Int64 // Unix time in nanoseconds
	count atomic.Int64
	done  atomic.Pointer[core.AttemptDone]
	relay atomic.Pointer[uplink.Load] // that came with the most recent attempt
}

// OpenAttempt implements proxy.Dispatcher.
func (a *arrivals) OpenAttempt(e core.AttemptArrived) (<-chan core.Effect, bool) {
	a.last.Store(time.Now().UnixNano())
	a.count.Add(1)
	a.relay.Store(&e.Relay)
	return a.Node.OpenAttempt(e)
}

// EndAttempt implements proxy.Dispatcher.
func (a *arrivals) EndAttempt(e core.AttemptDone) {
	a.done.Store(&e)
	a.Node.EndAttempt(e)
}

// lastDone returns the most recent end of a run, nil for none.
func (a *arrivals) lastDone() *core.AttemptDone { return a.done.Load() }

// minRequests is the number of requests below which a run proves little.
const minRequests = 100

// startCallers starts n callers that send requests to node 0. The returned
// function stops them after at least minRequests requests and returns all
// requests. No request has a timeout short enough to expire by itself.
func (m *mesh) startCallers(n int) func() []*request {
	var wg sync.WaitGroup
	var stop atomic.Bool
	var sent atomic.Int64
	all := make([][]*request, n)
	entry := m.entries()[:1]
	for i := range n {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		wg.Go(func() {
			for step := 0; !stop.Load(); step++ {
				q := randomRequest(rng, entry, fmt.Sprintf("c%d-%d", i, step))
				q.disconnects = false
				q.path = strings.Replace(q.path, "/brief", "/checks", 1) // a stall of the machine can exceed the 200 ms of /brief
				all[i] = append(all[i], q)
				m.send(q)
				sent.Add(1)
			}
		})
	}
	return func() []*request {
		m.eventually("enough requests are sent", func() bool { return sent.Load() > minRequests })
		stop.Store(true)
		wg.Wait()
		m.waitIdle()
		var out []*request
		for _, qs := range all {
			out = append(out, qs...)
		}
		return out
	}
}

func shortDelay(*http.Request) sample.Fault { return sample.Fault{Delay: 2 * time.Millisecond} }

func failures(all []*request) []string {
	var out []string
	for _, q := range all {
		if q.err != nil || q.status != http.StatusOK {
			out = append(out, fmt.Sprintf("%s %s %s: status %d, outcome %q, error %v: %s",
				q.id, q.method, q.path, q.status, q.outcome, q.err, q.responseBody))
		}
	}
	return out
}

func TestRollingRestartFailsNoRequest(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders", "orders", "orders")
	for _, n := range m.nodes[1:] {
		n.backend.SetFault(shortDelay)
	}
	stop := m.startCallers(8)
	for i, n := range m.nodes[1:] {
		n.node.Step(core.Stop{})
		<-n.node.Drained()
		n.stop()
		m.start(n.name, "orders", uint64(100+i)).backend.SetFault(shortDelay)
		m.waitEndpointsReady()
	}
	all := stop()
	is.Equal(failures(all), nil)
	is.Equal(violations(all, m.runs), nil)
	is.True(len(all) > minRequests)
}

// After a node has drained, the last bytes of a response may still have to be
// written. Stopping the node must not cut them off.
func TestStopAfterDrainFlushesResponses(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprint("fault injected ", faulty), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, nil, "", "orders")
			n := m.nodes[1]
			n.abortsResponses = faulty
			release := n.hopListener.blockWrites()
			q := &request{id: m.id(), entry: m.nodes[0].callers, method: "POST", path: "/once", body: []byte("x"), once: true}
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				m.send(q)
			}()
			m.eventually("the request has run and its slot is free", func() bool {
				return len(m.runs.ForID(q.id)) == 1 && n.node.Dump().Backend.Running == 0
			})
			n.node.Step(core.Stop{})
			<-n.node.Drained()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				n.stop()
			}()
			if faulty {
				<-ended
			}
			release()
			<-ended
			<-sent
			is.Equal(q.status == http.StatusOK && q.err == nil, !faulty)
		})
	}
}

// Stopping nodes without draining must make requests fail in the same check,
// and the outcomes reported for those requests must be true.
func TestCrashedNodesReportTrueOutcomes(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders", "orders", "orders")
	for _, n := range m.nodes[1:3] {
		n.backend.SetFault(func(*http.Request) sample.Fault { return sample.Fault{HangAfter: true} })
	}
	stop := m.startCallers(8)
	m.eventually("both backend servers run requests", func() bool {
		return m.nodes[1].node.Dump().Backend.Running > 0 && m.nodes[2].node.Dump().Backend.Running > 0
	})
	m.nodes[1].stop()
	m.nodes[2].stop()
	all := stop()
	is.True(len(failures(all)) > 0) // nodes stopped while requests were in progress
	is.Equal(violations(all, m.runs), nil)
}

// BenchmarkBackendShutdown measures for how long new requests still reach a node
// after its backend server begins to drain or crashes. Run it with -benchtime 1x.
func BenchmarkBackendShutdown(b *testing.B) {
	for _, how := range []string{"drain", "crash"} {
		b.Run(how, func(b *testing.B) {
			for range b.N {
				measureBackendShutdown(b, how == "crash")
			}
		})
	}
}

func measureBackendShutdown(b *testing.B, crash bool) {
	m := newMesh(b, manySlots, "", "orders", "orders", "orders")
	reports := make(chan *load.Report, 1)
	go func() {
		report, err := load.Run(context.Background(), load.Config{
			Targets: []string{"http://" + m.nodes[0].callers}, Rate: 2000, Duration: 3 * time.Second,
			Timeout: 10 * time.Second, InFlight: 256,
			Requests: []load.Request{{Class: "get", Method: "GET", Path: "/x"}, {Class: "post", Method: "POST", Path: "/x", Body: []byte("x")}},
		})
		if err != nil {
			b.Error(err)
		}
		reports <- report
	}()
	time.Sleep(time.Second)
	n := m.nodes[1]
	began, before := time.Now(), n.arrivals.count.Load()
	if crash {
		n.backend.Close()
	} else {
		n.node.Step(core.Stop{})
	}
	report := <-reports
	last := time.Duration(max(n.arrivals.last.Load()-began.UnixNano(), 0))
	b.ReportMetric(float64(last.Microseconds())/1000, "last-ms")
	b.ReportMetric(float64(n.arrivals.count.Load()-before), "arrived-after")
	b.ReportMetric(report.ErrorShare*float64(report.Requests), "failed")
	b.ReportMetric(float64(report.Requests), "requests")
	b.ReportMetric(0, "ns/op")
}
