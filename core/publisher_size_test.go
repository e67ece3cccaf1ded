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
	"github.com/agatekeel/agatekeel/core/status"
)

// submitAndWait submits and waits until the submission is settled.
func submitAndWait(t *testing.T, c *publishChecker, sub config.Submission) status.Status {
	t.Helper()
	c.submit(sub)
	if !c.m.RunUntil(20*time.Second, func() bool { return c.settledAll() && c.statuses[sub.ID].ID != "" }) {
		t.Fatalf("%s is not settled: %+v", sub.ID, c.statuses[sub.ID])
	}
	return c.statuses[sub.ID]
}

func TestOldStatusesAreCollected(t *testing.T) {
	is := is.New(t)
	m, c := publishMesh(2, func(cfg core.Config) core.Config {
		cfg.StatusKeep = time.Minute
		return cfg
	})
	service := object(config.KindService, "orders", `{}`)
	for i := range 100 {
		service.Spec = json.RawMessage(fmt.Sprintf(`{"policy":%q}`, strings.Repeat("p", i%2))) // every second one is rejected
		submitAndWait(t, c, config.Submission{ID: fmt.Sprintf("s%d", i), Puts: []config.Put{{Object: service, AnyBase: true}}})
	}
	head := len(c.head.Recent)
	is.Equal(head, 64) // the head drops entries whose status is written
	m.Run(5 * time.Minute)
	left, _, err := m.Store.List(context.Background(), "status/")
	is.NoErr(err)
	is.Equal(len(left), head) // statuses of submissions that the head lists are kept
	c.submit(c.subs["s99"])
	m.Run(time.Second)
	is.NoErr(c.err) // a repeat of one of them is not settled again
}

func TestOversizedFaultsAreTruncated(t *testing.T) {
	is := is.New(t)
	_, c := publishMesh(3, unmodified)
	huge := config.Submission{ID: "huge"}
	for i := range 20 {
		huge.Puts = append(huge.Puts, config.Put{Object: object(config.KindService, fmt.Sprintf("%d%s", i, strings.Repeat("x", 40_000)), `{}`)})
	}
	st := submitAndWait(t, c, huge)
	is.Equal(st.Phase, status.Rejected)
	is.Equal(len(st.Faults), 20)
	is.True(len(st.Faults[0].Object.Name) < 1000)
	st = submitAndWait(t, c, config.Submission{ID: "next", Puts: []config.Put{{Object: object(config.KindService, "a", `{}`)}}})
	is.Equal(st.Phase, status.InForce) // publishing continues
	is.NoErr(c.err)
}

// TestSetOverOneMegabyte publishes a set of the target size, 130 services
// and 5,000 routes, and then changes one route.
func TestSetOverOneMegabyte(t *testing.T) {
	is := is.New(t)
	m, c := publishMesh(4, unmodified)
	services := config.Submission{ID: "services"}
	for i := range 130 {
		services.Puts = append(services.Puts, config.Put{Object: object(config.KindService, fmt.Sprintf("service-%d", i), `{}`)})
	}
	submitAndWait(t, c, services)
	route := func(i int, suffix string) config.Put {
		spec := fmt.Sprintf(`{"pathPrefix":"/%s/route-%d%s","service":"service-%d"}`, strings.Repeat("x", 200), i, suffix, i%130)
		return config.Put{Object: object(config.KindRoute, fmt.Sprintf("route-%d", i), spec), AnyBase: true}
	}
	for part := range 2 {
		sub := config.Submission{ID: fmt.Sprintf("routes%d", part)}
		for i := range 2500 {
			sub.Puts = append(sub.Puts, route(2500*part+i, ""))
		}
		is.Equal(submitAndWait(t, c, sub).Phase, status.InForce)
	}
	written := 0
	c.onStore = func(_ *coretest.Node, e core.Effect) {
		if p, ok := e.(core.StorePut); ok && strings.HasPrefix(p.Key, "config/") {
			written += len(p.Data)
		}
	}
	is.Equal(submitAndWait(t, c, config.Submission{ID: "one", Puts: []config.Put{route(7, "/new")}}).Phase, status.InForce)
	is.NoErr(c.err)
	size := 0
	for _, o := range c.model.Objects {
		size += len(o.Spec)
	}
	is.True(size > 1<<20)
	is.True(written < size/10) // a change writes a small part of the set
	for _, n := range m.Nodes() {
		is.Equal(n.State.Dump().ConfigHash, c.model.Hash())
	}
	t.Logf("set of %d bytes, %d bytes written for a change of one route", size, written)
}

// TestStoppedNodeIsNotWaitedFor stops a node, as a planned restart does, and
// then publishes a version: it must be in force before a lost node would be
// removed.
func TestStoppedNodeIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	m, c := publishMesh(6, unmodified)
	m.Run(10 * time.Second)
	member := "a2"
	if m.Node(member).State.Dump().Phase == "root" {
		member = "a1"
	}
	drained := false
	m.OnEffect = func(n *coretest.Node, e core.Effect) {
		if _, ok := e.(core.Drained); ok && n.Name == member {
			drained = true
		}
	}
	m.Step(member, core.Stop{})
	is.True(m.RunUntil(40*time.Second, func() bool { return drained }))
	m.Run(50 * time.Millisecond)
	m.Crash(member)
	c.submit(config.Submission{ID: "s1", Puts: []config.Put{{Object: object(config.KindService, "a", `{}`)}}})
	is.True(m.RunUntil(3*time.Second, func() bool { return c.settledAll() })) // well before a lost node would be removed
	is.NoErr(c.err)
	is.Equal(c.statuses["s1"].Nodes, 3)
}
