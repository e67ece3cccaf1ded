package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
	"github.com/agatekeel/agatekeel/peer"
)

const second = time.Second

// cpuSlopes measures the processor time of reducer operations, in nanoseconds,
// against the sizes that their cost should or should not depend on.
func cpuSlopes() []Slope {
	routes, tables, children := []int{100, 1000, 5000}, []int{100, 1000, 5300}, []int{4, 16, 64}
	return []Slope{
		measure("check and compile of a whole set, by routes", "ns", routes, func(n int) float64 {
			set := config.NewSet(1, sizes.Objects(n))
			return timeOf(func() { config.Compile(set) })
		}),
		measure("encoding of a whole set, by routes", "ns", routes, func(n int) float64 {
			set := config.NewSet(1, sizes.Objects(n))
			return timeOf(func() { _, _ = config.Encode(set) })
		}),
		measure("delta applied by a node, by routes", "ns", routes, deltaTime),
		measure("endpoint entry merged by a node, by endpoints", "ns", tables, func(n int) float64 { return entryTime(n, 0) }),
		measure("endpoint entry merged by a relay, by children", "ns", children, func(n int) float64 { return entryTime(5300, n) }),
		measure("heartbeat from the parent, by endpoints", "ns", tables, heartbeatTime),
		measure("report of a child, by children", "ns", children, reportTime),
		measure("tick, by endpoints", "ns", tables, func(n int) float64 {
			s, now := sizes.JoinedState(n, 1000)
			return timeOf(func() { s.Reduce(now, core.Tick{}) })
		}),
		measure("request in all, by endpoints", "ns", tables, requestTime),
		measure("lease renewed, by endpoints", "ns", tables, func(int) float64 { return leaseTime() }),
		measure("message encoded and decoded, by entries", "ns", []int{1, 100, 1000}, func(n int) float64 {
			m := message.Endpoints{Entries: sizes.Entries(n)}
			return timeOf(func() { roundTrip(m) })
		}),
	}
}

// deltaTime measures the application of a delta that changes one route.
func deltaTime(routes int) float64 {
	s, now := sizes.JoinedState(100, routes)
	set := config.NewSet(1, sizes.Objects(routes))
	deltas := make(chan config.Delta, 4)
	go func() {
		for {
			var d config.Delta
			d, set = sizes.Delta(set)
			deltas <- d
		}
	}()
	best := 1e18
	for range 24 {
		d := <-deltas
		started := time.Now()
		s.Reduce(now, core.LinkMessage{Link: sizes.ParentLink, Message: message.ConfigDelta{Delta: d}})
		best = min(best, float64(time.Since(started).Nanoseconds()))
	}
	return best
}

// entryTime measures the merge of one endpoint entry from the parent.
func entryTime(table, children int) float64 {
	s, now := sizes.JoinedState(table, 100)
	sizes.AddChildren(s, now, children)
	entries := sizes.Entries(table)
	i := 0
	return timeOf(func() {
		e := &entries[i%len(entries)]
		e.Sequence++
		i++
		s.Reduce(now, core.LinkMessage{Link: sizes.ParentLink, Message: message.Endpoints{Entries: []endpoint.Entry{*e}}})
	})
}

// heartbeatTime measures a heartbeat from the parent that carries the digest of
// the node's own table, so that no tables are exchanged.
func heartbeatTime(table int) float64 {
	s, now := sizes.JoinedState(table, 100)
	m := message.Heartbeat{Path: []string{"root"}, Rooted: true, Config: 1}
	for _, e := range s.Reduce(now.Add(2*second), core.Tick{}) {
		if send, ok := e.(core.Send); ok {
			if h, ok := send.Message.(message.Heartbeat); ok {
				m.Table = h.Table
			}
		}
	}
	return timeOf(func() { s.Reduce(now, core.LinkMessage{Link: sizes.ParentLink, Message: m}) })
}

// reportTime measures a child's report whose node count differs from the last one.
func reportTime(children int) float64 {
	s, now := sizes.JoinedState(1000, 100)
	sizes.AddChildren(s, now, children)
	nodes := 0
	return timeOf(func() {
		nodes++
		s.Reduce(now, core.LinkMessage{Link: 1, Message: message.Report{DataCentre: "centre-00", Applied: 1, Nodes: 1 + nodes%2}})
	})
}

// requestTime measures the reducer's share of one call, at the entry node and at
// the backend server's node together.
func requestTime(table int) float64 {
	s, now := sizes.JoinedState(table, 1000)
	id := core.CallID(0)
	return timeOf(func() {
		id++
		var attempt core.AttemptID
		for _, e := range s.Reduce(now, core.CallArrived{Call: id, Method: "GET", Path: "/service-001/resource-00001/7", Replayable: true}) {
			if f, ok := e.(core.Forward); ok {
				attempt = f.Attempt
			}
		}
		s.Reduce(now, core.AttemptArrived{Attempt: attempt, Budget: second})
		s.Reduce(now, core.AttemptDone{Attempt: attempt, Took: time.Millisecond})
		s.Reduce(now, core.AttemptEnded{Call: id, Attempt: attempt, Outcome: retry.Ran})
	})
}

func leaseTime() float64 {
	m := lease.New(lease.Config{Holder: "n", TTL: 6 * second, Renew: 2 * second, Margin: second})
	m.Observe(sizes.Start, lease.Record{}, 0)
	now, version := sizes.Start, uint64(0)
	return timeOf(func() {
		now = now.Add(2 * second)
		if _, due := m.Next(now, true); due {
			version++
			m.Written(now, version)
		}
	})
}

func roundTrip(m message.Message) {
	f, err := peer.Encode(m)
	if err != nil {
		panic(err)
	}
	data, err := proto.Marshal(f)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(data, f); err != nil {
		panic(err)
	}
	if _, err := peer.Decode(f); err != nil {
		panic(err)
	}
}
