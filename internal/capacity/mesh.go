package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
)

// traffic holds the bytes and platform calls of one simulated mesh.
type traffic struct {
	Nodes          int
	IdleMean       float64 // B/s sent and received by a node while nothing changes, mean of all nodes
	IdleBusiest    float64 // B/s of the busiest node that is not a root, while nothing changes
	IdleRoot       float64 // B/s of the busiest root, while nothing changes
	ChangeBusiest  float64 // B per change at the busiest node that is not a root
	ChangeRoot     float64 // B per change at the busiest root
	ReadsIdle      float64 // platform reads per second while nothing changes; a watch counts as one
	WritesIdle     float64 // platform writes per second while nothing changes
	CallsChange    float64 // platform calls per change
	RestartBusiest float64 // B per restart at the busiest node that is not a root
	Depth          int     // nodes on the longest path to a root, both ends included
}

// meshCentres is the number of data centres of a measured mesh.
const meshCentres = 2

// trafficCounter counts the traffic of a mesh's nodes.
type trafficCounter struct {
	mesh          *coretest.Mesh
	bytes         map[string]float64 // sent and received, by node
	reads, writes float64            // platform calls
}

// countTraffic returns a counter for the traffic of a mesh. Each message of a reducer
// counts with its size on the wire, gRPC framing included.
func countTraffic(m *coretest.Mesh) *trafficCounter {
	c := &trafficCounter{mesh: m, bytes: map[string]float64{}}
	m.OnSend = func(from, to *coretest.Node, msg message.Message) {
		b := wireBytes(msg)
		c.bytes[from.Name] += b
		c.bytes[to.Name] += b
	}
	m.OnStore = func(_ *coretest.Node, e core.Effect) {
		switch e.(type) {
		case core.StorePut, core.StoreDelete:
			c.writes++
		default:
			c.reads++
		}
	}
	return c
}

// during returns the traffic of one run.
func (c *trafficCounter) during(run func()) trafficCounter {
	c.bytes, c.reads, c.writes = map[string]float64{}, 0, 0
	run()
	return *c
}

func (c trafficCounter) busiestNode() float64 { return busiest(c.mesh, c.bytes, false) }

func (c trafficCounter) busiestRoot() float64 { return busiest(c.mesh, c.bytes, true) }

// window is the time for which the traffic of a mesh is counted.
const window = 60 * time.Second

// runMesh counts the bytes and platform calls of n simulated nodes.
func runMesh(n int) traffic {
	m := startMesh(n)
	count := countTraffic(m)
	t := traffic{Nodes: n}

	idle := count.during(func() { m.Run(window) })
	seconds := window.Seconds()
	t.IdleMean, t.IdleBusiest, t.IdleRoot = mean(idle.bytes)/seconds, idle.busiestNode()/seconds, idle.busiestRoot()/seconds
	t.ReadsIdle, t.WritesIdle = idle.reads/seconds, idle.writes/seconds

	const changes = 10
	changing := count.during(func() {
		for i := range changes {
			submit(m, i+1)
			m.Run(window / changes)
		}
	})
	t.ChangeBusiest = (changing.busiestNode() - idle.busiestNode()) / changes
	t.ChangeRoot = (changing.busiestRoot() - idle.busiestRoot()) / changes
	t.CallsChange = (changing.reads + changing.writes - idle.reads - idle.writes) / changes

	const restarts = 5
	restarting := count.during(func() {
		for i := range restarts {
			m.Restart(nodeName(n - 1 - i))
			m.Run(window / restarts)
		}
	})
	t.RestartBusiest = (restarting.busiestNode() - idle.busiestNode()) / restarts
	for _, node := range m.Nodes() {
		t.Depth = max(t.Depth, len(node.State.Dump().Path))
	}
	return t
}

// startMesh starts n nodes, with a whole set in force.
func startMesh(n int) *coretest.Mesh {
	m := coretest.New(1)
	for i := range n {
		m.Start(nodeName(i), core.Config{
			DataCentre: fmt.Sprintf("centre-%02d", i%meshCentres), Service: fmt.Sprintf("service-%03d", i%sizes.TargetServices),
		})
		m.Run(10 * time.Millisecond)
	}
	submit(m, 0)
	m.Run(30 * time.Second)
	return m
}

func nodeName(i int) string { return fmt.Sprintf("host-%05d", i) }

// submit writes submission i: the whole set for 0, a change of one route otherwise.
func submit(m *coretest.Mesh, i int) {
	var puts []config.Put
	if i == 0 {
		for _, o := range sizes.Objects(200) {
			puts = append(puts, config.Put{Object: o, AnyBase: true})
		}
	} else {
		o := sizes.Objects(1)[sizes.TargetPolicies+sizes.TargetServices]
		o.Spec = json.RawMessage(fmt.Sprintf(`{"pathPrefix":"/service-000/changed-%d","service":"service-000"}`, i))
		puts = append(puts, config.Put{Object: o, AnyBase: true})
	}
	id := fmt.Sprintf("submission-%03d", i)
	data, err := json.Marshal(config.Submission{ID: id, Puts: puts})
	if err != nil {
		panic(err)
	}
	if err := m.CreateObject(keyspace.Submissions+id, data); err != nil {
		panic(err)
	}
}

func mean(bytes map[string]float64) float64 {
	sum := 0.0
	for _, b := range bytes {
		sum += b
	}
	return sum / float64(max(len(bytes), 1))
}

// busiest returns the largest byte count of a root, or of a node that is not one.
func busiest(m *coretest.Mesh, bytes map[string]float64, roots bool) float64 {
	most := 0.0
	for _, n := range m.Nodes() {
		if (n.State.Dump().Phase == "root") == roots {
			most = max(most, bytes[n.Name])
		}
	}
	return most
}
