package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/peer"
)

// dataCentres are the data centres of the fleet; nodes alternate between them.
var dataCentres = []string{"centre-00", "centre-01"}

// fleet is a set of real nodes with a platform stand-in.
type fleet struct {
	favour  core.Favour
	store   *countingStore
	nodes   []*fleetNode
	changes int    // submitted so far
	starts  uint64 // of nodes so far, restarts included
}

// fleetNode is one real node without a proxy, whose backend server is always healthy.
type fleetNode struct {
	index     int
	name, dc  string
	node      *node.Node
	transport *peer.Transport
	registry  metrics.Registry
	stopped   atomic.Bool
}

// alwaysHealthy is a node.Prober of a backend server that is always healthy.
type alwaysHealthy struct{}

func (alwaysHealthy) Probe(context.Context, string) core.BackendProbed {
	return core.BackendProbed{OK: true}
}

func newFleet(f core.Favour) *fleet { return &fleet{favour: f, store: newStore()} }

// start starts n nodes.
func (f *fleet) start(n int) error {
	for i := range n {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts the node of an index on a free port, with an empty state.
func (f *fleet) startNode(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("node %d: %w", i, err)
	}
	f.starts++
	m := &fleetNode{index: i, name: fmt.Sprintf("host-%05d", i), dc: dataCentres[i%len(dataCentres)], registry: metrics.NewRegistry()}
	cfg := core.Config{
		Node: m.name, DataCentre: m.dc, Peer: l.Addr().String(), Hop: l.Addr().String(), Favour: f.favour,
		Service: fmt.Sprintf("service-%03d", i%sizes.TargetServices), Seed: f.starts,
		Incarnation: endpoint.Incarnation{Start: time.Now().UnixMilli(), Random: uint32(f.starts)},
	}.WithDefaults()
	m.node = node.New(cfg, node.SystemClock{}, f.store, alwaysHealthy{}, eventlog.Nop())
	m.transport = peer.NewTransport(peer.Config{Metrics: m.registry, Compress: f.favour == core.FavourBytes}, m.node)
	go func() { _ = m.transport.Serve(l) }()
	m.node.Start(m.transport, cfg.TickEvery)
	f.nodes = append(f.nodes, m)
	return nil
}

// stop ends the node without a drain.
func (m *fleetNode) stop() {
	if m.stopped.Swap(true) {
		return
	}
	go m.transport.Stop()
	m.node.Stop()
}

func (f *fleet) stop() {
	for _, m := range f.nodes {
		go m.stop()
	}
}

func (f *fleet) remove(m *fleetNode) {
	f.nodes = slices.DeleteFunc(f.nodes, func(x *fleetNode) bool { return x == m })
}

// findRole returns a node whose role is publisher, root (and not the publisher) or
// relay, nil if there is none.
func (f *fleet) findRole(role string) *fleetNode {
	for _, m := range f.nodes {
		d := m.node.Dump()
		relay := slices.ContainsFunc(d.Links, func(l core.DumpLink) bool { return l.Role == "child" })
		switch {
		case role == "publisher" && d.Publisher,
			role == "root" && d.Phase == "root" && !d.Publisher,
			role == "relay" && d.Phase == "joined" && relay:
			return m
		}
	}
	return nil
}

// bytes returns the bytes that each node has sent and received on its links so far.
func (f *fleet) bytes() map[string]float64 {
	out := map[string]float64{}
	for _, m := range f.nodes {
		m.registry.Each(func(name string, x any) {
			if c, ok := x.(metrics.Counter); ok && strings.HasSuffix(name, ".bytes") {
				out[m.name] += float64(c.Count())
			}
		})
	}
	return out
}

// waitReady waits until all nodes are ready, and reports whether they were within
// limit.
func (f *fleet) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(f.nodes, func(m *fleetNode) bool { ok, _ := m.node.Ready(); return !ok }) {
			return true
		}
	}
	return false
}

// change submits a change and returns for each node the time from the change's
// acceptance until the node had applied it. It fails if a node has not done so
// within limit.
func (f *fleet) change(limit time.Duration) ([]time.Duration, error) {
	f.changes++
	id := fmt.Sprintf("change-%04d", f.changes)
	data, err := json.Marshal(config.Submission{ID: id, Puts: f.puts()})
	if err != nil {
		return nil, err
	}
	before := f.store.version.Load()
	if _, err := f.store.Put(context.Background(), keyspace.Submissions+id, data, 0); err != nil {
		return nil, fmt.Errorf("submit: %w", err)
	}
	var took []time.Duration
	pending := slices.Clone(f.nodes)
	for end := time.Now().Add(limit); len(pending) > 0; time.Sleep(time.Millisecond) {
		now := time.Now()
		if now.After(end) {
			return nil, fmt.Errorf("%s: not applied by %d nodes within %v, the first is %s", id, len(pending), limit, pending[0].name)
		}
		accepted := f.store.headChangedAt()
		if f.store.version.Load() == before {
			continue
		}
		pending = slices.DeleteFunc(pending, func(m *fleetNode) bool {
			if m.node.ConfigVersion() <= before {
				return false
			}
			took = append(took, now.Sub(accepted))
			return true
		})
	}
	return took, nil
}

// puts returns the objects of a change: the whole set for the first one, one route
// for the others.
func (f *fleet) puts() []config.Put {
	objects := sizes.Objects(200)
	if f.changes > 1 {
		o := objects[sizes.TargetPolicies+sizes.TargetServices]
		o.Spec = json.RawMessage(fmt.Sprintf(`{"pathPrefix":"/service-000/changed-%d","service":"service-000"}`, f.changes))
		objects = []config.Object{o}
	}
	var puts []config.Put
	for _, o := range objects {
		puts = append(puts, config.Put{Object: o, AnyBase: true})
	}
	return puts
}

// fullSetSize returns the bytes of the whole set as one message, plain and
// compressed.
func (f *fleet) fullSetSize() (plain, packed int, err error) {
	frame, err := peer.Encode(message.ConfigWhole{Version: 1, Objects: sizes.Objects(200)})
	if err != nil {
		return 0, 0, fmt.Errorf("encode whole set: %w", err)
	}
	packedFrame, err := peer.Compress(frame)
	if err != nil {
		return 0, 0, fmt.Errorf("compress whole set: %w", err)
	}
	return proto.Size(frame), proto.Size(packedFrame), nil
}
