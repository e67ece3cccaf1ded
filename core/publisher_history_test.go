package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// publishMesh starts a mesh of two data centres with a checker for its
// writes. modify changes the settings of each node.
func publishMesh(seed uint64, modify func(core.Config) core.Config) (*coretest.Mesh, *publishChecker) {
	m := coretest.New(seed)
	c := newPublishChecker(m)
	m.OnStep = func(*coretest.Node, core.Event) { c.readChanges() }
	m.OnStore = func(n *coretest.Node, e core.Effect) { c.storeCalled(n, e) }
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		m.Start(name, modify(core.Config{DataCentre: name[:1], Service: "orders", Fanout: 2, SweepEvery: 20 * time.Second}))
		m.Run(time.Second)
	}
	return m, c
}

func unmodified(c core.Config) core.Config { return c }

func object(kind config.Kind, name, spec string) config.Object {
	return config.Object{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

// submit writes a submission to the platform, as an operator's tool does.
func (c *publishChecker) submit(sub config.Submission) {
	data, err := json.Marshal(sub)
	if err != nil {
		panic(err)
	}
	c.dirty = true
	_, _ = c.m.Store.Put(context.Background(), "submission/"+sub.ID, data, 0)
}

// racingSubmission draws a valid or invalid edit of one of a few objects,
// based on the current set.
func racingSubmission(t *rapid.T, c *publishChecker, id string) config.Submission {
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	prefix := rapid.SampledFrom([]string{"/x", "/y", "/z"}).Draw(t, "prefix")
	service := object(config.KindService, "orders", `{}`)
	route := object(config.KindRoute, name, fmt.Sprintf(`{ "pathPrefix": %q, "service": "orders" }`, prefix))
	base := c.model.Objects[route.Key()].Version
	sub := config.Submission{ID: id, Author: id}
	switch rapid.IntRange(0, 6).Draw(t, "edit") {
	case 0: // conflicts with any other edit of the same object
		sub.Puts = []config.Put{{Object: service, AnyBase: true}, {Object: route, Base: base}}
	case 1:
		sub.Puts = []config.Put{{Object: service, AnyBase: true}, {Object: route, AnyBase: true}}
	case 2:
		sub.Deletes = []config.Delete{{Key: route.Key(), Base: base}}
	case 3: // refers to a missing service
		route.Spec = json.RawMessage(fmt.Sprintf(`{"pathPrefix":%q,"service":"gone"}`, prefix))
		sub.Puts = []config.Put{{Object: route, AnyBase: true}}
	case 4:
		sub.Deletes = []config.Delete{{Key: service.Key(), AnyBase: true}}
	case 5:
		sub.Puts = []config.Put{{Object: object(config.KindService, "gateway", `{"policy":"none"}`), AnyBase: true}}
	default:
		sub.Puts = []config.Put{{Object: service, AnyBase: true}}
	}
	return sub
}

// runPublishHistory submits conflicting edits while publishers crash, pause
// and lose answers, then ends all faults and returns the first violated
// invariant.
func runPublishHistory(t *rapid.T, modify func(core.Config) core.Config, heal func(*coretest.Mesh)) error {
	m, c := publishMesh(rapid.Uint64().Draw(t, "seed"), modify)
	names := []string{"a1", "a2", "b1", "b2"}
	node := rapid.SampledFrom(names)
	for i := range rapid.IntRange(4, 14).Draw(t, "steps") {
		switch rapid.IntRange(0, 11).Draw(t, "step") {
		case 0:
			m.Restart(node.Draw(t, "restart"))
		case 1:
			c.pause(node.Draw(t, "pause"), rapid.SampledFrom([]time.Duration{time.Second, 9 * time.Second}).Draw(t, "for"))
		case 2:
			m.Faults.PlatformDown = !m.Faults.PlatformDown
		case 3:
			m.Faults.LoseAnswer = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "lose")
		case 4:
			m.Faults.PlatformDelay = rapid.SampledFrom([]time.Duration{5 * time.Millisecond, time.Second}).Draw(t, "slow")
		case 5:
			m.FailWatches()
		case 6:
			if id := fmt.Sprintf("s%d", rapid.IntRange(0, 14).Draw(t, "repeat")); c.subs[id].ID != "" {
				c.submit(c.subs[id])
			}
		case 7:
			_, _ = m.Store.Put(context.Background(), fmt.Sprintf("submission/u%d", i), []byte(`{"puts":7}`), 0)
		case 8:
			c.read()
		default:
			c.submit(racingSubmission(t, c, fmt.Sprintf("s%d", i)))
			c.submit(racingSubmission(t, c, fmt.Sprintf("r%d", i)))
		}
		m.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
	}
	m.Heal()
	heal(m)
	m.Faults.PlatformDelay = 5 * time.Millisecond
	if c.err == nil && !m.RunUntil(time.Minute, func() bool { return c.err != nil || c.settledAll() }) {
		c.fail("a minute after the faults ended, not all submissions are settled: %+v", c.statuses)
	}
	m.Run(80 * time.Second) // four sweeps
	if c.err == nil {
		c.checkNoGarbage()
	}
	if c.err == nil && !c.linearizable() {
		c.fail("no sequential order of the submissions explains their outcomes")
	}
	return c.err
}

// checkNoGarbage checks that all stored objects are referenced by the head.
func (c *publishChecker) checkNoGarbage() {
	if c.head.Version == 0 {
		return
	}
	manifests, _, _ := c.m.Store.List(context.Background(), "config/manifest/")
	chunks, _, _ := c.m.Store.List(context.Background(), "config/chunk/")
	if len(manifests) != 1 || len(chunks) != 1 {
		c.fail("found %d manifests and %d chunks, want one of each", len(manifests), len(chunks))
	}
}

// TestSubmissionsUnderFaults checks the publisher's invariants on random
// histories of submissions and faults.
func TestSubmissionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runPublishHistory(t, unmodified, func(*coretest.Mesh) {}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestStaleHoldersUnderFaults repeats TestSubmissionsUnderFaults with a data
// centre whose nodes consider their leases held for an hour, so that two
// publishers may be active at the same time.
func TestStaleHoldersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runPublishHistory(t, staleHolders, restartStaleHolders); err != nil {
			t.Fatal(err)
		}
	})
}
