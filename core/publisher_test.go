package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// runScenario is a fixed run: one version, then an invalid and two
// conflicting submissions. It calls do at one write of the publishers to the
// platform, the write with number at.
func runScenario(modify func(core.Config) core.Config, prepare func(*coretest.Mesh, *publishChecker), at int, do func(*publishChecker, *coretest.Node)) error {
	m, c := publishMesh(uint64(at), modify)
	prepare(m, c)
	writes := 0
	c.onStore = func(n *coretest.Node, e core.Effect) {
		m.Faults.LoseAnswer, m.Faults.FailBefore = 0, 0
		if publisherWrite(e) {
			writes++
			if writes == at {
				do(c, n)
			}
		}
	}
	service := config.Put{Object: object(config.KindService, "orders", `{}`), AnyBase: true}
	route := func(prefix string) config.Put {
		return config.Put{Object: object(config.KindRoute, "x", fmt.Sprintf(`{"pathPrefix":%q,"service":"orders"}`, prefix))}
	}
	c.submit(config.Submission{ID: "s1", Puts: []config.Put{service}})
	m.Run(200 * time.Millisecond)
	c.submit(config.Submission{ID: "bad", Puts: []config.Put{{Object: object(config.KindRoute, "y", `{"pathPrefix":"/y","service":"gone"}`)}}})
	c.submit(config.Submission{ID: "left", Puts: []config.Put{route("/left")}})
	c.submit(config.Submission{ID: "right", Puts: []config.Put{route("/right")}})
	if !m.RunUntil(time.Minute, func() bool { return c.err != nil || c.settledAll() }) {
		c.fail("not all submissions are settled: %+v", c.statuses)
	}
	c.submit(c.subs["left"]) // a repeat must have no effect
	m.Run(70 * time.Second)
	if c.err == nil && !c.settledAll() {
		c.fail("the repeated submission is not settled")
	}
	if c.err == nil && !c.linearizable() {
		c.fail("no sequential order of the submissions explains their outcomes")
	}
	return c.err
}

// publisherWrite reports whether an effect is a publisher's write.
func publisherWrite(e core.Effect) bool {
	switch e := e.(type) {
	case core.StorePut:
		return !strings.HasPrefix(e.Key, "lease/")
	case core.StoreDelete:
		return true
	}
	return false
}

func noSetup(*coretest.Mesh, *publishChecker) {}

// maxScenarioWrites is larger than the number of writes that publishers
// make in a scenario, so that each write is covered.
const maxScenarioWrites = 32

// TestPublisherInterruptedAtEachWrite injects one interruption at each write
// of a scenario in turn.
func TestPublisherInterruptedAtEachWrite(t *testing.T) {
	interruptions := map[string]func(*publishChecker, *coretest.Node){
		"crash":       func(c *publishChecker, n *coretest.Node) { c.m.Crash(n.Name) },
		"restart":     func(c *publishChecker, n *coretest.Node) { c.m.Restart(n.Name) },
		"pause":       func(c *publishChecker, n *coretest.Node) { c.pause(n.Name, 12*time.Second) },
		"answer lost": func(c *publishChecker, _ *coretest.Node) { c.m.Faults.LoseAnswer = 1 },
		"not written": func(c *publishChecker, _ *coretest.Node) { c.m.Faults.FailBefore = 1 },
		"outage after": func(c *publishChecker, _ *coretest.Node) {
			c.m.Faults.PlatformDown = true
			c.m.After(9*time.Second, c.m.Heal)
		},
	}
	for name, do := range interruptions {
		t.Run(name, func(t *testing.T) {
			for at := range maxScenarioWrites {
				if err := runScenario(unmodified, noSetup, at, do); err != nil {
					t.Errorf("at write %d: %v", at, err)
				}
			}
		})
	}
}

// TestPublisherChecksDetectFaults verifies for each invariant that its check
// fails under a deliberate fault.
func TestPublisherChecksDetectFaults(t *testing.T) {
	headUnguarded := func(m *coretest.Mesh, _ *publishChecker) {
		m.Run(10 * time.Second)
		m.Store.SetFaults(storetest.Faults{IgnoreBase: func(key string) bool { return strings.HasPrefix(key, "config/head") }})
	}
	pause := func(c *publishChecker, n *coretest.Node) { c.pause(n.Name, 12*time.Second) }
	tests := []struct {
		name    string
		modify  func(core.Config) core.Config
		prepare func(*coretest.Mesh, *publishChecker)
		do      func(*publishChecker, *coretest.Node)
		want    string
	}{
		{"validation off", core.SkipValidation, noSetup, nil, "the model says"},
		{"settled submissions ignored", core.IgnoreSettled, noSetup, nil, "was settled"},
		{"no count before InForce", core.SkipCount, noSetup, pause, "serves by version"},
		{"unconditional update of the head", staleHolders, headUnguarded, nil, ""},
		{"epochs ignored", core.IgnoreEpoch, deleteLease, nil, "under epoch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			do := tt.do
			if do == nil {
				do = func(*publishChecker, *coretest.Node) {}
			}
			var err error
			for at := 0; at < maxScenarioWrites && err == nil; at++ {
				err = runScenario(tt.modify, tt.prepare, at, do)
			}
			is.True(err != nil) // the check fails
			t.Log(err)
			is.True(err == nil || strings.Contains(err.Error(), tt.want)) // for the expected reason
		})
	}
}

// staleHolders lets the nodes of data centre a consider their leases held
// for an hour, so that a node in b takes them too.
func staleHolders(c core.Config) core.Config {
	if c.DataCentre == "a" {
		c.LeaseTTL, c.LeaseRenew = time.Hour, 30*time.Minute
	}
	return c
}

// restartStaleHolders restarts the nodes of data centre a with the default
// lease times.
func restartStaleHolders(m *coretest.Mesh) {
	for _, name := range []string{"a1", "a2"} {
		cfg := m.Node(name).Config
		cfg.LeaseTTL, cfg.LeaseRenew = 0, 0
		m.Crash(name)
		m.Start(name, cfg)
	}
}

func countPublishers(m *coretest.Mesh) int {
	n := 0
	for _, node := range m.Nodes() {
		if node.Alive && node.State.Dump().Publisher {
			n++
		}
	}
	return n
}

// TestTwoPublishersAtOnce checks that no invariant depends on the lease.
func TestTwoPublishersAtOnce(t *testing.T) {
	is := is.New(t)
	both := 0
	wait := func(m *coretest.Mesh, _ *publishChecker) {
		m.Run(10 * time.Second)
		if countPublishers(m) == 2 {
			both++
		}
		m.After(5*time.Second, func() { restartStaleHolders(m) })
	}
	for at := range maxScenarioWrites {
		is.NoErr(runScenario(staleHolders, wait, at, func(c *publishChecker, _ *coretest.Node) { c.m.Faults.LoseAnswer = 1 }))
	}
	t.Logf("two publishers in %d of %d runs", both, maxScenarioWrites)
	is.True(both > maxScenarioWrites/2) // there were two at the same time
}

// TestDeletedLease checks that publishing continues after the lease object
// was deleted and epochs started again from the beginning.
func TestDeletedLease(t *testing.T) {
	is := is.New(t)
	is.NoErr(runScenario(unmodified, deleteLease, 0, nil))
}

// deleteLease publishes under a high epoch, then deletes the lease.
func deleteLease(m *coretest.Mesh, c *publishChecker) {
	ctx := context.Background()
	for range 3 {
		m.Restart("a1")
		m.Restart("b1")
		m.Run(20 * time.Second)
	}
	c.submit(config.Submission{ID: "early", Puts: []config.Put{{Object: object(config.KindService, "early", `{}`)}}})
	m.Run(10 * time.Second)
	o, err := m.Store.Get(ctx, "lease/publisher")
	if err != nil {
		c.fail("lease: %w", err)
		return
	}
	if err := m.Store.Delete(ctx, "lease/publisher", o.Version); err != nil {
		c.fail("lease: %w", err)
	}
	for _, n := range m.Nodes() {
		m.Restart(n.Name) // no process remembers the epochs of the lease
	}
	m.Run(15 * time.Second)
}

// TestSweepIsFenced guards against a lost version: a publisher writes the
// parts of a version, is paused, and updates the head while another one
// deletes these parts as garbage. The update must fail, or the head would
// refer to deleted objects.
func TestSweepIsFenced(t *testing.T) {
	tests := []struct {
		name   string
		modify func(core.Config) core.Config
		lost   bool
	}{
		{"unmodified", unmodified, false},
		{"without the update of the head", core.UnfencedSweep, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			m, c := publishMesh(5, tt.modify)
			c.submit(config.Submission{ID: "s1", Puts: []config.Put{{Object: object(config.KindService, "orders", `{}`)}}})
			is.True(m.RunUntil(20*time.Second, func() bool { return c.settledAll() && len(c.settled) == 1 }))
			head, err := m.Store.Get(ctx, "config/head")
			is.NoErr(err)

			next, _, _ := config.MergeDelta(c.model, config.Submission{ID: "s2", Puts: []config.Put{{Object: object(config.KindService, "paused", `{}`)}}})
			e, err := config.Encode(next)
			is.NoErr(err)
			manifest, err := json.Marshal(e.Manifest)
			is.NoErr(err)
			part := "config/chunk/" + e.Chunks()[0].Name
			_, err = m.Store.Put(ctx, part, e.Chunks()[0].Data, 0)
			is.NoErr(err)
			_, err = m.Store.Put(ctx, "config/manifest/"+config.ContentName(manifest), manifest, 0)
			is.NoErr(err)

			update, collected := fmt.Errorf("not tried"), false
			c.onStore = func(_ *coretest.Node, e core.Effect) {
				if d, ok := e.(core.StoreDelete); ok && d.Key == part && !collected {
					collected = true
					_, update = m.Store.Put(ctx, "config/head", head.Data, head.Version)
				}
			}
			m.Run(2 * time.Minute)
			is.True(collected) // unreferenced parts are garbage
			is.Equal(update == nil, tt.lost)
		})
	}
}

// TestLaggardsAreNamed checks the status of a submission while its version
// is being distributed.
func TestLaggardsAreNamed(t *testing.T) {
	is := is.New(t)
	m, c := publishMesh(9, unmodified)
	m.Run(10 * time.Second)
	root, member := "b1", "b2"
	if m.Node(root).State.Dump().Phase != "root" {
		root, member = member, root
	}
	c.pause(member, 30*time.Second)
	c.submit(config.Submission{ID: "s1", Puts: []config.Put{{Object: object(config.KindService, "orders", `{}`)}}})
	names := map[string]string{}
	statusWrites := 0
	c.onStore = func(_ *coretest.Node, e core.Effect) {
		if p, ok := e.(core.StorePut); ok && p.Key == "status/s1" {
			statusWrites++
		}
	}
	m.RunUntil(40*time.Second, func() bool {
		for _, l := range c.statuses["s1"].Laggards {
			names[l.Node] = l.Reason
		}
		return c.statuses["s1"].Phase == status.InForce
	})
	is.NoErr(c.err)
	is.Equal(c.statuses["s1"].Phase, status.InForce)
	is.True(names[member] != "") // listed by name, with a reason
	is.True(statusWrites < 15)

	m.Crash(root)
	m.Crash(member)
	c.submit(config.Submission{ID: "s2", Puts: []config.Put{{Object: object(config.KindService, "gone", `{}`)}}})
	m.Run(time.Minute)
	st := c.statuses["s2"]
	is.Equal(st.Phase, status.Accepted) // not in force while a data centre is down or partitioned
	is.Equal(st.Laggards[0].Node, "data centre b")
	is.Equal(st.Applied, 2)
}

// TestNodeThatRefusesTheVersionDoesNotPublish lets all nodes of data centre
// a refuse the published version, as an older release may. A node of the
// other data centre must publish, and the submission must not become InForce.
func TestNodeThatRefusesTheVersionDoesNotPublish(t *testing.T) {
	is := is.New(t)
	m, c := publishMesh(4, func(cfg core.Config) core.Config {
		if cfg.DataCentre == "a" {
			return core.RefuseAll(cfg)
		}
		return cfg
	})
	m.Run(10 * time.Second)
	requested := 0
	m.OnSend = func(_, _ *coretest.Node, msg message.Message) {
		if _, ok := msg.(message.ConfigWanted); ok {
			requested++
		}
	}
	for i := range 3 {
		c.submit(config.Submission{ID: fmt.Sprintf("s%d", i), Puts: []config.Put{{Object: object(config.KindService, fmt.Sprintf("s%d", i), `{}`)}}})
		is.True(m.RunUntil(20*time.Second, func() bool { return len(c.statuses) == i+1 })) // it is settled
	}
	m.Run(10 * time.Second)
	is.NoErr(c.err)
	is.True(requested < 200) // a node that refuses a version does not request it in a loop
	st := c.statuses["s2"]
	is.Equal(st.Phase, status.Accepted) // not in force while a node refuses it
	reasons := ""
	for _, l := range st.Laggards {
		reasons += l.Node + ": " + l.Reason + "\n"
	}
	is.True(strings.Contains(reasons, "refused by a test")) // the status gives the reason
}
