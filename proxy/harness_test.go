package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/h1"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/proxy"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// testDeadline limits the wait for a condition.
const testDeadline = 20 * time.Second

// meshNode is one node of a test with its backend server.
type meshNode struct {
	name            string
	node            *node.Node
	arrivals        *arrivals
	proxy           *proxy.Proxy
	metrics         metrics.Registry // of proxy
	backend         *sample.Backend  // nil: the node has no backend server
	callers         string           // address of the listener for callers
	hop             string           // address of the listener for other nodes
	hopListener     *faultyListener
	hopServer       *h1.Server
	closers         []func()
	stopped         bool
	abortsResponses bool   // stopping it does not wait for responses, even after a drain
	backendAddress  string // address of the backend server that the proxy gets
}

// mesh is a stand-in for the platform and nodes with sample backend servers,
// all in this process and connected by real sockets.
type mesh struct {
	t         testing.TB
	store     *storetest.Store
	nodes     []*meshNode
	runs      *sample.Runs
	client    *http.Client
	ids       atomic.Uint64
	configure func(*core.Config, *proxy.Config) // changes the settings of each node before it starts; nil: none
}

// newMesh starts one node per service; those with an empty service have no
// backend server.
func newMesh(t testing.TB, configure func(*core.Config, *proxy.Config), services ...string) *mesh {
	m := &mesh{
		t: t, store: storetest.NewStore(), runs: sample.NewRuns(), configure: configure,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}, Timeout: testDeadline},
	}
	t.Cleanup(m.close)
	for i, service := range services {
		m.start(fmt.Sprintf("n%d", i), service, uint64(i+1))
	}
	m.apply(
		config.Object{Kind: config.KindPolicy, Name: "once", Spec: []byte(`{"idempotent":false,"timeoutMillis":3000}`)},
		config.Object{Kind: config.KindPolicy, Name: "brief", Spec: []byte(`{"timeoutMillis":200,"maxAttempts":2}`)},
		config.Object{Kind: config.KindPolicy, Name: "checks", Spec: []byte(`{"priority":"status","timeoutMillis":10000}`)},
		config.Object{Kind: config.KindService, Name: "orders", Spec: []byte(`{}`)},
		config.Object{Kind: config.KindRoute, Name: "orders", Spec: []byte(`{"pathPrefix":"/","service":"orders"}`)},
		config.Object{Kind: config.KindRoute, Name: "once", Spec: []byte(`{"pathPrefix":"/once","service":"orders","policy":"once"}`)},
		config.Object{Kind: config.KindRoute, Name: "brief", Spec: []byte(`{"pathPrefix":"/brief","service":"orders","policy":"brief"}`)},
		config.Object{Kind: config.KindRoute, Name: "checks", Spec: []byte(`{"pathPrefix":"/checks","service":"orders","policy":"checks"}`)},
	)
	m.waitEndpointsReady()
	return m
}

func (m *mesh) must(err error) {
	m.t.Helper()
	if err != nil {
		m.t.Fatal(err)
	}
}

// listen returns a listener on a free loopback port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// listen returns a listener on a free loopback port.
func (m *mesh) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	m.must(err)
	return l
}

// start starts a node with a backend server of the given service.
func (m *mesh) start(name, service string, seed uint64) *meshNode {
	mn := &meshNode{name: name}
	if service != "" {
		b, err := sample.Start(service, name)
		m.must(err)
		b.SetRuns(m.runs)
		mn.backend, mn.backendAddress = b, b.Address()
		mn.closers = append(mn.closers, b.Close)
	}
	callers, peers := m.listen(), m.listen()
	mn.hopListener = &faultyListener{Listener: m.listen()}
	mn.callers, mn.hop = callers.Addr().String(), mn.hopListener.Addr().String()
	cc := core.Config{
		Node: name, DataCentre: "derby", Peer: peers.Addr().String(), Hop: mn.hop, Service: service,
		Incarnation: endpoint.Incarnation{Start: time.Now().UnixMilli(), Random: uint32(seed)}, Seed: seed,
		TickEvery: 5 * time.Millisecond, JoinJitter: 10 * time.Millisecond, ProbeEvery: 50 * time.Millisecond,
		SlowStart: 10 * time.Millisecond, DrainAtLeast: 300 * time.Millisecond,
	}
	pc := proxy.Config{Backend: mn.backendAddress, Connections: 130, SilenceAfter: 100 * time.Millisecond}
	if m.configure != nil {
		m.configure(&cc, &pc)
	}
	cc = cc.WithDefaults()
	mn.node = node.New(cc, node.SystemClock{}, m.store, &prober{address: mn.backendAddress}, eventlog.Nop())
	mn.arrivals = &arrivals{Node: mn.node}
	mn.metrics = metrics.NewRegistry()
	mn.proxy = proxy.New(pc, mn.arrivals, mn.metrics)
	transport := peer.NewTransport(peer.Config{}, mn.node)
	callerServer, hopServer := mn.proxy.CallerServer(nil), mn.proxy.HopServer(nil)
	mn.hopServer = hopServer
	mn.node.OnLimits(func(l config.LimitsSpec) { mn.proxy.SetCallerLimits(callerServer, l) })
	go func() { _ = callerServer.Serve(callers) }()
	go func() { _ = hopServer.Serve(mn.hopListener) }()
	go func() { _ = transport.Serve(peers) }()
	mn.node.Start(transport, cc.TickEvery)
	mn.closers = append(mn.closers, mn.proxy.Close, transport.Stop, mn.node.Stop,
		func() { mn.stopServer(hopServer) }, func() { mn.stopServer(callerServer) })
	ended := make(chan struct{})
	mn.closers = append(mn.closers, func() { close(ended) })
	go func() {
		select {
		case <-mn.node.Draining():
			callerServer.Drain()
		case <-ended:
		}
	}()
	m.nodes = append(m.nodes, mn)
	return mn
}

// stopServer stops a server: gracefully after a drain, otherwise abruptly as in
// a crash.
func (mn *meshNode) stopServer(s *h1.Server) {
	select {
	case <-mn.node.Drained():
		if !mn.abortsResponses {
			mn.proxy.StopServers(s)
			return
		}
	default:
	}
	_ = s.Close()
}

// stop stops the node: gracefully after a drain, otherwise abruptly as in a
// crash.
func (mn *meshNode) stop() {
	if mn.stopped {
		return
	}
	mn.stopped = true
	for i := len(mn.closers) - 1; i >= 0; i-- {
		mn.closers[i]()
	}
}

func (m *mesh) close() {
	m.client.CloseIdleConnections()
	for _, n := range m.nodes {
		n.stop()
	}
}

// apply submits objects and waits until they are in force.
func (m *mesh) apply(objects ...config.Object) {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	c := operator.New(m.store)
	m.must(c.Submit(ctx, operator.Edit(fmt.Sprintf("s%d", m.ids.Add(1)), "test", config.NewSet(0, nil), objects)))
	m.eventually("the configuration is in force", func() bool {
		st, err := c.Status(ctx, fmt.Sprintf("s%d", m.ids.Load()))
		m.must(err)
		if st.Phase == status.Rejected {
			m.t.Fatal(st.Faults)
		}
		return st.Phase == status.InForce
	})
}

// waitEndpointsReady waits until every node sees every backend server as ready.
func (m *mesh) waitEndpointsReady() {
	m.eventually("every node sees every backend server as ready", func() bool {
		want := 0
		for _, n := range m.nodes {
			if n.backend != nil && !n.stopped {
				want++
			}
		}
		for _, n := range m.nodes {
			if n.stopped {
				continue
			}
			d, ready := n.node.Dump(), 0
			for _, e := range d.Endpoints {
				if e.State == endpoint.Ready && e.Service != "" {
					ready++
				}
			}
			if !d.Ready || ready != want {
				return false
			}
		}
		return true
	})
}

// eventually waits for a condition.
func (m *mesh) eventually(what string, ok func() bool) {
	m.t.Helper()
	deadline := time.Now().Add(testDeadline)
	for !ok() {
		if time.Now().After(deadline) {
			m.t.Fatalf("not within %v: %s", testDeadline, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// id returns a new request ID.
func (m *mesh) id() string { return fmt.Sprintf("r%d", m.ids.Add(1)) }

// prober checks the health of a sample backend server by connecting to it.
type prober struct{ address string }

// Probe implements node.Prober.
func (p *prober) Probe(ctx context.Context, _ string) core.BackendProbed {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return core.BackendProbed{Refused: true}
	}
	_ = conn.Close()
	return core.BackendProbed{OK: true}
}
