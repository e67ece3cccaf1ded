package core_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/retry"
)

// servingState returns a node that has a route to a service with n
// endpoints, the first of which is its own.
func servingState(now time.Time, n int) *core.State {
	return servingStateWith(now, n, core.Config{Slots: 6}, `{}`)
}

// servingStateWith returns such a node with settings, and with a policy for the service.
func servingStateWith(now time.Time, n int, cfg core.Config, policy string) *core.State {
	cfg.Node, cfg.DataCentre, cfg.Service, cfg.Seed = "n0000", "dc0", "orders", 1
	s := core.New(cfg)
	s.Reduce(now, core.Tick{})
	s.Reduce(now, core.BackendProbed{OK: true})
	s.Reduce(now, core.LinkUp{Link: 1})
	s.Reduce(now, core.LinkMessage{Link: 1, Message: message.Hello{Node: "root", DataCentre: "dc1", Kind: message.Root}})
	objects := []config.Object{
		{Kind: config.KindService, Name: "orders", Version: 1, Spec: json.RawMessage(`{"policy":"usual"}`)},
		{Kind: config.KindPolicy, Name: "usual", Version: 1, Spec: json.RawMessage(policy)},
		{Kind: config.KindRoute, Name: "orders", Version: 1, Spec: json.RawMessage(`{"pathPrefix":"/orders","service":"orders"}`)},
	}
	set := config.NewSet(1, objects)
	s.Reduce(now, core.LinkMessage{Link: 1, Message: message.ConfigWhole{Version: 1, Hash: set.Hash(), Objects: objects}})
	var entries []endpoint.Entry
	for i := 1; i < n; i++ {
		entries = append(entries, endpoint.Entry{
			ID: fmt.Sprintf("n%04d", i), Service: "orders", DataCentre: fmt.Sprintf("dc%d", i%11), Hop: "hop",
			Sequence: 1, Slots: 6, State: endpoint.Ready,
		})
	}
	s.Reduce(now, core.LinkMessage{Link: 1, Message: message.Endpoints{Entries: entries}})
	s.SetReadyForTest()
	return s
}

// BenchmarkRequest measures the reducer's work for one complete request, as
// entry node and as the node of the backend server.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, n := range []int{10, 100, 5300} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := servingState(now, n)
			id := core.CallID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				forward, ok := firstEffect[core.Forward](s.Reduce(now, core.CallArrived{Call: id, Method: "GET", Path: "/orders/7", Replayable: true}))
				if !ok {
					b.Fatal("the call is not forwarded")
				}
				s.Reduce(now, core.AttemptArrived{Attempt: forward.Attempt, Class: forward.Class, Budget: forward.Budget})
				s.Reduce(now, core.AttemptDone{Attempt: forward.Attempt, Took: time.Millisecond})
				s.Reduce(now, core.AttemptEnded{Call: id, Attempt: forward.Attempt, Outcome: retry.Ran})
			}
		})
	}
}
