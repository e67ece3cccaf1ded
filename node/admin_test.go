package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/proxy"
	"github.com/agatekeel/agatekeel/store"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// manualClock is a Clock whose time the test sets; it never ticks.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) Tick(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

type noProber struct{}

func (noProber) Probe(context.Context, string) core.BackendProbed { return core.BackendProbed{} }

// newTestNode returns a node that has not been started, and its registry.
func newTestNode() (*Node, metrics.Registry) { return newTestNodeOn(storetest.NewStore()) }

// newTestNodeOn returns a node of the same name as all others here, on a platform.
func newTestNodeOn(s store.Store) (*Node, metrics.Registry) {
	r := metrics.NewRegistry()
	cfg := core.Config{Node: "n1", DataCentre: "derby", Service: "orders"}.WithDefaults()
	n := New(cfg, &manualClock{now: time.Unix(1000, 0)}, newMeteredStore(s, r), noProber{}, eventlog.Nop())
	n.SetRegistry(r)
	return n, r
}

func get(h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func TestAdminServesHealthAndState(t *testing.T) {
	is := is.New(t)
	n, r := newTestNode()
	h := admin(n, r)
	code, _ := get(h, "/healthz")
	is.Equal(code, http.StatusOK)
	code, body := get(h, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(body, "holds no configuration yet\n") // the body is the reason

	code, body = get(h, "/debug/state")
	is.Equal(code, http.StatusOK)
	var s map[string]any
	is.NoErr(json.Unmarshal([]byte(body), &s))
	for _, field := range []string{
		"node", "phase", "path", "configVersion", "links", "endpoints", "backend", "leases", "storeCalls", "platform",
		"requests", "balance", "attempts", "settings", "open", "build", "runtime",
	} {
		if _, ok := s[field]; !ok {
			t.Errorf("state dump has no field %q", field)
		}
	}
	is.Equal(len(s["leases"].([]any)), 2)
}

func TestAdminDrainsAndRestoresBackendServer(t *testing.T) {
	is := is.New(t)
	n, r := newTestNode()
	h := admin(n, r)
	send := func(method string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, "/drain", nil))
		return w.Code
	}
	n.Step(core.BackendProbed{OK: true})
	is.Equal(n.Dump().Backend.State, "warming")
	is.Equal(send(http.MethodPost), http.StatusAccepted)
	is.Equal(n.Dump().Backend.State, "draining")
	n.Step(core.BackendProbed{OK: true})
	is.Equal(n.Dump().Backend.State, "draining") // a healthy probe does not end the drain
	is.Equal(send(http.MethodDelete), http.StatusAccepted)
	n.Step(core.BackendProbed{OK: true})
	is.Equal(n.Dump().Backend.State, "warming")
}

// TestAdminDrainOutlivesProcess takes the backend server out of service through one process, and
// back into it through a later one.
func TestAdminDrainOutlivesProcess(t *testing.T) {
	is := is.New(t)
	platform := storetest.NewStore()
	send := func(n *Node, r metrics.Registry, method string) int {
		w := httptest.NewRecorder()
		admin(n, r).ServeHTTP(w, httptest.NewRequest(method, "/drain", nil))
		return w.Code
	}
	n, r := newTestNodeOn(platform)
	n.Step(core.BackendProbed{OK: true})
	is.Equal(send(n, r, http.MethodPost), http.StatusAccepted)
	n.Stop()
	n, r = newTestNodeOn(platform)
	n.Step(core.Tick{})
	for end := time.Now().Add(10 * time.Second); n.Dump().Backend.State == "failed" && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(n.Dump().Backend.State, "draining")
	is.Equal(send(n, r, http.MethodDelete), http.StatusAccepted)
	n.Stop()
	kept, err := platform.Get(t.Context(), keyspace.Leavings+"derby/n1")
	is.NoErr(err)
	is.True(strings.Contains(string(kept.Data), `"inService":true`))
}

// TestAdminDrainIsNotKept answers an operator while the platform is away, and after the end of the
// node's work.
func TestAdminDrainIsNotKept(t *testing.T) {
	is := is.New(t)
	platform := storetest.NewStore()
	platform.SetFaults(storetest.Faults{Down: true})
	n, r := newTestNodeOn(platform)
	clock := n.clock.(*manualClock)
	answers := make(chan *httptest.ResponseRecorder, 1)
	send := func() {
		w := httptest.NewRecorder()
		admin(n, r).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/drain", nil))
		answers <- w
	}
	go send()
	for end := time.Now().Add(10 * time.Second); len(answers) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		n.mu.Lock()
		clock.now = clock.now.Add(100 * time.Millisecond)
		n.mu.Unlock()
		n.Step(core.Tick{})
	}
	w := <-answers
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Body.String(), "draining, until this process ends: the platform has not kept it yet: ask again\n")
	is.Equal(n.Dump().Backend.State, "draining") // all the same
	n.Stop()
	send()
	is.Equal((<-answers).Code, http.StatusServiceUnavailable)
}

// metricNames returns the names of all metrics that a node registers at its start.
func metricNames(t *testing.T) []string {
	t.Helper()
	n, r := newTestNode()
	_ = proxy.New(proxy.Config{}, n, r)
	_ = peer.NewTransport(peer.Config{Metrics: r}, n)
	code, body := get(admin(n, r), "/metrics")
	is.New(t).Equal(code, http.StatusOK)
	var all map[string]any
	is.New(t).NoErr(json.Unmarshal([]byte(body), &all))
	names := []string{}
	for name := range all {
		names = append(names, name)
	}
	return names
}

var (
	metricRow   = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\|")
	placeholder = regexp.MustCompile(`[A-Z]+`)
)

func TestEveryMetricIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operations/metrics.md")
	is.NoErr(err)
	names, used := metricNames(t), map[string]bool{}
	rows := metricRow.FindAllStringSubmatch(string(page), -1)
	is.True(len(rows) > 10)
	for _, name := range names {
		documented := false
		for _, row := range rows {
			pattern := "^" + placeholder.ReplaceAllString(regexp.QuoteMeta(row[1]), "[a-z_-]+") + "$"
			if regexp.MustCompile(pattern).MatchString(name) {
				documented, used[row[1]] = true, true
			}
		}
		if !documented {
			t.Errorf("metric %s is missing in docs/operations/metrics.md", name)
		}
	}
	for _, row := range rows {
		if !used[row[1]] {
			t.Errorf("docs/operations/metrics.md lists %s, but no metric has that name", row[1])
		}
	}
}

func count(r metrics.Registry, name string) int64 { return r.Get(name).(metrics.Counter).Count() }

func TestRequestsAreCountedByClassAndOutcome(t *testing.T) {
	is := is.New(t)
	n, r := newTestNode()
	o := n.observer
	o.effect(core.Forward{Call: 1, Class: admission.Status})
	o.event(core.AttemptEnded{Call: 1, Outcome: retry.NotRun})
	o.effect(core.Forward{Call: 1, Class: admission.Status})
	o.event(core.AttemptEnded{Call: 1, Outcome: retry.Ran})
	o.effect(core.Finish{Call: 2, Outcome: retry.NotRun, NoRoute: true})
	o.effect(core.Forward{Call: 3, Class: admission.Batch})
	o.effect(core.Finish{Call: 3, Outcome: retry.Unknown})
	o.effect(core.Refuse{Reason: admission.QueueFull})
	is.Equal(count(r, "requests.status.ran"), int64(1))
	is.Equal(count(r, "requests.status.not-run"), int64(0)) // attempts are not counted as requests
	is.Equal(count(r, "requests.retries"), int64(1))
	is.Equal(count(r, "requests.unrouted.not-run"), int64(1))
	is.Equal(count(r, "requests.batch.unknown"), int64(1))
	is.Equal(count(r, "attempts.refused.queue-full"), int64(1))
	is.Equal(len(o.classes), 0) // the entries of ended calls are deleted
}

func TestConvergenceIsTimedAtThePublisher(t *testing.T) {
	is := is.New(t)
	n, r := newTestNode()
	clock := n.clock.(*manualClock)
	event := func(c notice.Code) core.Log { return core.Log{Code: c, Attrs: []core.Attr{{Key: "id", Value: "s"}}} }
	n.observer.effect(event(notice.SubmissionAccepted))
	clock.now = clock.now.Add(3 * time.Second)
	n.observer.effect(event(notice.ConfigInForce))
	n.observer.effect(event(notice.ConfigInForce)) // a repeated event is counted once
	timer := r.Get("config.convergence").(metrics.Timer)
	is.Equal(timer.Count(), int64(1))
	is.Equal(timer.Max(), int64(3*time.Second))
}

func TestPlatformCallsAreCounted(t *testing.T) {
	is := is.New(t)
	r, store := metrics.NewRegistry(), storetest.NewStore()
	m, ctx := newMeteredStore(store, r), context.Background()
	version, err := m.Put(ctx, "k", []byte("v"), 0)
	is.NoErr(err)
	_, err = m.Put(ctx, "k", []byte("v"), 0)
	is.True(err != nil)
	_, err = m.Get(ctx, "other")
	is.True(err != nil)
	_, _, err = m.List(ctx, "k")
	is.NoErr(err)
	_, _, err = m.Watch(ctx, "k", 0, time.Millisecond)
	is.NoErr(err)
	is.NoErr(m.Delete(ctx, "k", version))
	store.SetFaults(storetest.Faults{Throttle: func(string, string) bool { return true }})
	_, err = m.Get(ctx, "k")
	is.True(err != nil)
	store.SetFaults(storetest.Faults{Down: true})
	_, err = m.Get(ctx, "k")
	is.True(err != nil)
	for _, name := range strings.Fields("put.ok put.conflict get.not-found list.ok watch.ok delete.ok get.throttled get.failed") {
		is.Equal(fmt.Sprint(name, count(r, "platform."+name)), fmt.Sprint(name, 1))
	}
}

var _ store.Store = (*meteredStore)(nil)
