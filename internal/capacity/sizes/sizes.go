// Package sizes builds reducer states and messages of realistic size for capacity
// measurements.
package sizes

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
)

// The size that the system is designed for.
const (
	TargetEndpoints = 5300
	TargetServices  = 130
	TargetPolicies  = 20
	TargetCentres   = 11
	TargetRoutes    = 5000
)

// Start is the simulated time at which measured reducers start.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Entries returns n endpoint entries spread over 130 services and 11 data centres,
// with names and addresses of realistic length.
func Entries(n int) []endpoint.Entry {
	out := make([]endpoint.Entry, 0, n)
	for i := range n {
		host := fmt.Sprintf("10.%d.%d.%d", i/65536, i/256%256, i%256)
		out = append(out, endpoint.Entry{
			ID: fmt.Sprintf("host-%05d", i), Service: fmt.Sprintf("service-%03d", i%TargetServices),
			DataCentre: fmt.Sprintf("centre-%02d", i%TargetCentres), Peer: host + ":7001", Hop: host + ":7002",
			Incarnation: endpoint.Incarnation{Start: Start.UnixMilli() + int64(i), Random: uint32(i) * 2654435761},
			Sequence:    3, State: endpoint.Ready, Slots: 6,
		})
	}
	return out
}

// Objects returns the objects of a configuration set: 20 policies, 130 services and
// a number of routes, of about the size of those in examples.
func Objects(routes int) []config.Object {
	var out []config.Object
	add := func(kind config.Kind, name string, spec any) {
		data, err := json.Marshal(spec)
		if err != nil {
			panic(err)
		}
		out = append(out, config.Object{Kind: kind, Name: name, Version: 1, Author: "operator", Spec: data})
	}
	for i := range TargetPolicies {
		add(config.KindPolicy, fmt.Sprintf("policy-%02d", i), config.PolicySpec{Priority: config.PriorityInteractive, TimeoutMillis: 1000 + i})
	}
	for i := range TargetServices {
		add(config.KindService, fmt.Sprintf("service-%03d", i), config.ServiceSpec{Policy: fmt.Sprintf("policy-%02d", i%TargetPolicies)})
	}
	for i := range routes {
		add(config.KindRoute, fmt.Sprintf("route-%05d", i), config.RouteSpec{
			PathPrefix: fmt.Sprintf("/service-%03d/resource-%05d", i%TargetServices, i),
			Methods:    []string{"GET", "POST"}, Service: fmt.Sprintf("service-%03d", i%TargetServices),
		})
	}
	return out
}

// Delta returns a delta that changes one route, from the version of set to the next
// one, and the set that results.
func Delta(set *config.Set) (config.Delta, *config.Set) {
	changed := config.NewSet(set.Version+1, set.Sorted())
	key := config.Key{Kind: config.KindRoute, Name: "route-00000"}
	o := changed.Objects[key]
	o.Version = changed.Version
	o.Spec = json.RawMessage(fmt.Sprintf(`{"pathPrefix":"/service-000/changed-%d","service":"service-000"}`, changed.Version))
	objects := changed.Sorted()
	for i := range objects {
		if objects[i].Key() == key {
			objects[i] = o
		}
	}
	changed = config.NewSet(set.Version+1, objects)
	return config.Diff(set, changed), changed
}

// ParentLink is the link to the parent in a JoinedState.
const ParentLink = core.LinkID(2)

// JoinedState returns the state of a node that has joined a parent and received its
// endpoint table and configuration, and the simulated time of its last event.
func JoinedState(table, routes int) (*core.State, time.Time) {
	now := Start
	s := core.New(core.Config{Node: "measured", DataCentre: "centre-00", Peer: "10.9.0.1:7001", Hop: "10.9.0.1:7002", Service: "service-000"})
	reduce := func(e core.Event) []core.Effect { return s.Reduce(now, e) }
	lease := []byte(`{"holder":"root","address":"10.9.0.2:7001","epoch":1,"round":1}`)
	for _, effect := range reduce(core.Tick{}) {
		if get, ok := effect.(core.StoreGet); ok {
			reduce(core.StoreDone{Call: get.Call, Objects: []core.StoreObject{{Key: get.Key, Version: 1, Data: lease}}})
		}
	}
	reduce(core.BackendProbed{OK: true})
	reduce(core.LinkUp{Link: ParentLink, Dialled: true})
	set := config.NewSet(1, Objects(routes))
	receive := func(m message.Message) { reduce(core.LinkMessage{Link: ParentLink, Message: m}) }
	receive(message.Welcome{
		Node: "root", DataCentre: "centre-00", Heartbeat: message.Heartbeat{Path: []string{"root"}, Config: 1, Rooted: true},
	})
	receive(message.ConfigWhole{Version: 1, Hash: set.Hash(), Objects: set.Sorted()})
	receive(message.Endpoints{Entries: Entries(table)})
	return s, now
}

// AddChildren joins n children to a node.
func AddChildren(s *core.State, now time.Time, n int) {
	for i := range n {
		link := core.LinkID(2*i + 1)
		s.Reduce(now, core.LinkUp{Link: link})
		s.Reduce(now, core.LinkMessage{Link: link, Message: message.Hello{
			Node: fmt.Sprintf("child-%03d", i), DataCentre: "centre-00", Peer: fmt.Sprintf("10.8.0.%d:7001", i), Kind: message.Child, Config: 1,
		}})
	}
}

// ProcessUsage holds the memory and processor time of a process that runs one real
// node with its listeners and links, and a platform stand-in.
type ProcessUsage struct {
	Endpoints int
	Routes    int
	Bytes     float64 // resident memory of the process, in bytes
	Private   float64 // anonymous resident memory in bytes, which no other process can share
	CoreShare float64 // share of one core used while there is only control traffic
}

// CPUTime returns the processor time used by this process so far.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
