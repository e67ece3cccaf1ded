package node

import (
	"runtime"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/internal/build"
)

// ProcessState is the state of a process for display: that of the reducer, of
// open links and requests, of the build and of the Go runtime.
type ProcessState struct {
	core.Dump
	Endpoints []EndpointState `json:"endpoints"`
	Reports   []ReportState   `json:"reports,omitempty"`
	Open      OpenState       `json:"open"`
	Build     build.Info      `json:"build"`
	Runtime   RuntimeState    `json:"runtime"`
}

// EndpointState is one entry of this process's endpoint table.
type EndpointState struct {
	ID         string    `json:"id"`
	Service    string    `json:"service,omitempty"`
	DataCentre string    `json:"dataCentre"`
	State      string    `json:"state"`
	Suspect    bool      `json:"suspect,omitempty"`
	Slots      int       `json:"slots"`
	Peer       string    `json:"peer"`
	Hop        string    `json:"hop"`
	Started    time.Time `json:"started"` // start time of its incarnation
	Random     uint32    `json:"random"`  // random number of its incarnation
	Sequence   uint64    `json:"sequence"`
}

// ReportState is the last report of another data centre's root.
type ReportState struct {
	DataCentre string            `json:"dataCentre"`
	Nodes      int               `json:"nodes"`
	Applied    uint64            `json:"applied"` // the oldest version that any of them holds
	Laggards   []message.Laggard `json:"laggards,omitempty"`
}

func endpointStates(entries []endpoint.Entry) []EndpointState {
	out := make([]EndpointState, 0, len(entries))
	for _, e := range entries {
		out = append(out, EndpointState{
			ID: e.ID, Service: e.Service, DataCentre: e.DataCentre, State: e.State.String(), Suspect: e.Suspect, Slots: e.Slots,
			Peer: e.Peer, Hop: e.Hop, Started: time.UnixMilli(e.Incarnation.Start).UTC(), Random: e.Incarnation.Random,
			Sequence: e.Sequence,
		})
	}
	return out
}

func reportStates(reports []message.Report) []ReportState {
	var out []ReportState
	for _, r := range reports {
		out = append(out, ReportState{DataCentre: r.DataCentre, Nodes: r.Nodes, Applied: r.Applied, Laggards: r.Laggards})
	}
	return out
}

// OpenState holds the numbers of open links, calls and attempts.
type OpenState struct {
	Links    int `json:"links"`
	Calls    int `json:"calls"`    // requests of callers
	Attempts int `json:"attempts"` // at the node's backend server
}

// RuntimeState is the state of the Go runtime. Sizes are in bytes.
type RuntimeState struct {
	Goroutines  int       `json:"goroutines"`
	Processors  int       `json:"processors"` // GOMAXPROCS
	HeapInUse   uint64    `json:"heapInUse"`
	HeapObjects uint64    `json:"heapObjects"`
	FromSystem  uint64    `json:"fromSystem"`              // memory obtained from the operating system
	Collections uint32    `json:"collections"`             // number of completed garbage collections
	LastPause   string    `json:"lastPause"`               // duration of the last garbage collection's pause; empty: none yet
	LastCollect time.Time `json:"lastCollection,omitzero"` // end of the last garbage collection
}

// ProcessState returns the state of the process for display.
func (n *Node) ProcessState() ProcessState {
	n.mu.Lock()
	s := ProcessState{
		Dump: n.state.Dump(),
		Open: OpenState{Links: len(n.openLinks), Calls: len(n.calls), Attempts: len(n.attempts)},
	}
	n.mu.Unlock()
	s.Endpoints, s.Reports = endpointStates(s.Dump.Endpoints), reportStates(s.Dump.Reports)
	s.Build, s.Runtime = build.Read(), readRuntime()
	return s
}

func readRuntime() RuntimeState {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r := RuntimeState{
		Goroutines: runtime.NumGoroutine(), Processors: runtime.GOMAXPROCS(0),
		HeapInUse: m.HeapInuse, HeapObjects: m.HeapObjects, FromSystem: m.Sys, Collections: m.NumGC,
	}
	if m.NumGC > 0 {
		r.LastPause = time.Duration(m.PauseNs[(m.NumGC+255)%256]).String()
		r.LastCollect = time.Unix(0, int64(m.LastGC)).UTC()
	}
	return r
}

// SetRegistry sets the registry of the node's metrics. It must be called before
// Start.
func (n *Node) SetRegistry(r metrics.Registry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = newObserver(r, n.log, n.clock)
}

// updateDroppedGauges sets the gauges of dropped log lines, one per event code.
func (n *Node) updateDroppedGauges(r metrics.Registry) {
	for code, count := range n.log.Dropped() {
		metrics.GetOrRegisterGauge("log.dropped."+strconv.Itoa(int(code)), r).Update(int64(count))
	}
}

// updateGauges sets the gauges of a registry from a state.
func updateGauges(r metrics.Registry, s ProcessState) {
	ready := int64(0)
	if s.Ready {
		ready = 1
	}
	for name, value := range map[string]int64{
		"node.ready":         ready,
		"config.version":     int64(s.ConfigVersion),
		"tree.depth":         int64(s.Depth()),
		"tree.children":      int64(s.Children()),
		"links.open":         int64(s.Open.Links),
		"endpoints.known":    int64(len(s.Endpoints)),
		"backend.running":    int64(s.Backend.Running),
		"backend.waiting":    int64(s.Backend.Waiting),
		"requests.open":      int64(s.Open.Calls),
		"config.age":         s.ConfigAge.Milliseconds(),
		"retries.left":       int64(s.RetryTokens),
		"runtime.goroutines": int64(s.Runtime.Goroutines),
		"runtime.heap":       int64(s.Runtime.HeapInUse),
	} {
		metrics.GetOrRegisterGauge(name, r).Update(value)
	}
}
