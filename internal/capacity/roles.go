package main

import (
	"math"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
)

// Deployment is a size for which the resources of each role are computed.
type Deployment struct {
	Name          string
	Nodes         int
	Centres       int
	Services      int
	Routes        int
	ChangesADay   float64
	RestartsADay  float64
	FailuresADay  float64
	CallsASecond  float64 // requests from callers per second, at all nodes together
	HopsOfACall   float64 // number of backend servers that one caller's request reaches
	HeartbeatsSec float64 // heartbeats per second in each direction of a link
	Fanout        float64
}

const secondsPerDay = 86400.0

// entryUpdatesPerRestart is how often the endpoint entry of a restarted node
// changes: draining, gone, and after the restart failed, warming, ready.
const entryUpdatesPerRestart = 5

// deployments returns the two current deployments and the target size.
func deployments() []Deployment {
	cfg := core.Config{}.WithDefaults()
	heartbeatRate := 1 / cfg.HeartbeatEvery.Seconds()
	return []Deployment{
		{"Hobbard & Lyle, today", 20, 4, 4, 20, 40, 4, 0.1, 400, 2, heartbeatRate, float64(cfg.Fanout)},
		{"Haenim, today", 17, 3, 4, 20, 40, 4, 0.1, 400, 2, heartbeatRate, float64(cfg.Fanout)},
		{"target", sizes.TargetEndpoints, sizes.TargetCentres, sizes.TargetServices, sizes.TargetRoutes,
			8100, 470, 8, 1.3e6, 1, heartbeatRate, float64(cfg.Fanout)},
	}
}

// Results holds all measurements; byName has every slope by its name.
type Results struct {
	Slopes   []Slope
	Mesh     []traffic
	Losses   []lossResult
	Latency  []latency
	Resident []sizes.ProcessUsage
	byName   map[string]Slope
}

func (r *Results) add(slopes ...Slope) {
	if r.byName == nil {
		r.byName = map[string]Slope{}
	}
	for _, s := range slopes {
		r.Slopes = append(r.Slopes, s)
		r.byName[s.Name] = s
	}
}

// at returns the value at x of the slope with a name. It panics if there is no such
// slope.
func (r *Results) at(name string, x float64) float64 {
	s, ok := r.byName[name]
	if !ok {
		panic("capacity: unknown slope " + name)
	}
	return s.At(x)
}

// Role holds the resources that one role uses in a deployment.
type Role struct {
	Deployment string
	Name       string
	Held       int     // number of nodes with this role
	State      float64 // bytes of reducer state
	In, Out    float64 // messages per second
	Bytes      float64 // bytes per second, sent and received
	Reads      float64 // platform reads per second
	Writes     float64 // platform writes per second
	Core       float64 // share of one core
	Memory     float64 // resident bytes of the process
}

// updateRates holds rates per second: of configuration changes, of endpoint entry
// updates, and of transfers of the whole table and set to one node.
type updateRates struct{ changes, entries, fullSyncs float64 }

func (d Deployment) rates() updateRates {
	return updateRates{
		changes:   d.ChangesADay / secondsPerDay,
		entries:   (entryUpdatesPerRestart*d.RestartsADay + 3*d.FailuresADay) / secondsPerDay,
		fullSyncs: d.RestartsADay / float64(d.Nodes) / secondsPerDay, // of one node, at each of its restarts
	}
}

// depth returns the number of tree levels below a root.
func (d Deployment) depth() float64 {
	nodesPerCentre := float64(d.Nodes) / float64(d.Centres)
	return math.Max(1, math.Ceil(math.Log(nodesPerCentre)/math.Log(d.Fanout)))
}

// emptyHeartbeatsPerFull is the number of empty heartbeats for each full one.
const emptyHeartbeatsPerFull = 4

// link returns the messages and bytes per second on one link between parent and
// child, both directions together.
func (r *Results) link(d Deployment) (messages, bytes float64) {
	rates := d.rates()
	heartbeatBytes := (r.at("whole heartbeat, by depth of the tree", d.depth()) +
		emptyHeartbeatsPerFull*r.at("heartbeat that tells nothing new", 1)) / (1 + emptyHeartbeatsPerFull)
	reportBytes := r.at("report, by laggards", 0)
	messages = 2*d.HeartbeatsSec + rates.changes*2 + rates.entries
	bytes = 2*d.HeartbeatsSec*heartbeatBytes + rates.changes*(r.at("delta, by objects changed", 1)+reportBytes) +
		rates.entries*r.at("endpoint entries", 1) +
		rates.fullSyncs*(r.at("endpoint entries", float64(d.Nodes))+r.at("whole set, by routes", float64(d.Routes)))
	return messages, bytes
}

// roles computes the resources of every role of a deployment. The variables that end
// in CPU are seconds of processor time per operation, tickCPU per second.
func (r *Results) roles(d Deployment) []Role {
	rates := d.rates()
	messages, bytes := r.link(d)
	state := r.at("state of an endpoint", float64(d.Nodes)) + r.byName["state of a route"].Each*float64(d.Routes)
	tickCPU := r.at("timer and tick, by ticks a second", 1/core.Config{}.WithDefaults().TickEvery.Seconds()) / 1e9
	messageCPU := r.byName["link message sent and received, by messages a second"].Each / 2 / 1e9 // at one end of the link
	callCPU := r.byName["platform call, by calls a second"].Each / 1e9
	applyCPU := r.at("delta applied by a node, by routes", float64(d.Routes)) / 1e9
	mergeCPU := r.at("endpoint entry merged by a relay, by children", d.Fanout) / 1e9

	leaf := Role{
		Deployment: d.Name, Name: "node", Held: d.Nodes, State: state, In: messages / 2, Out: messages / 2, Bytes: bytes,
		Core: tickCPU + messages*messageCPU + rates.changes*applyCPU + rates.entries*mergeCPU,
	}
	relay := leaf
	relay.Name, relay.Held = "relay", int(math.Max(0, math.Ceil(float64(d.Nodes)/d.Fanout)-float64(d.Centres)))
	relay.Bytes, relay.In, relay.Out = bytes*(1+d.Fanout), leaf.In*(1+d.Fanout), leaf.Out*(1+d.Fanout)
	relay.State += r.byName["state of a child"].Each * d.Fanout
	relay.Core = tickCPU + messages*(1+d.Fanout)*messageCPU + rates.changes*applyCPU + rates.entries*mergeCPU

	links := d.Fanout + float64(d.Centres-1)
	cfg := core.Config{}.WithDefaults()
	root := relay
	root.Name, root.Held = "root", d.Centres
	root.Bytes, root.In, root.Out = bytes*links, leaf.In*links, leaf.Out*links
	root.Writes = 1 / cfg.LeaseRenew.Seconds()
	root.Reads = 1/cfg.LeaseRenew.Seconds() + 1/cfg.WatchWait.Seconds() + rates.changes
	root.Core = tickCPU + messages*links*messageCPU + (root.Reads+root.Writes)*callCPU + rates.changes*applyCPU + rates.entries*mergeCPU

	publisher := root
	publisher.Name, publisher.Held = "publisher (beside root)", 1
	publisher.Writes += 1/cfg.LeaseRenew.Seconds() + rates.changes*writesPerChange
	publisher.Reads += 1/cfg.WatchWait.Seconds() + rates.changes*readsPerChange
	checkCPU := (r.at("check and compile of a whole set, by routes", float64(d.Routes)) +
		2*r.at("encoding of a whole set, by routes", float64(d.Routes))) / 1e9
	publisher.Core = root.Core + rates.changes*(checkCPU+(writesPerChange+readsPerChange)*callCPU)

	platform := Role{
		Deployment: d.Name, Name: "platform", Held: 1,
		Reads:  float64(d.Centres)*root.Reads + publisher.Reads - root.Reads,
		Writes: float64(d.Centres)*root.Writes + publisher.Writes - root.Writes + rates.changes, // operators write a submission per change
	}
	roles := []Role{leaf, relay, root, publisher, platform}
	if relay.Held == 0 {
		roles = []Role{leaf, root, publisher, platform}
	}
	for i := range roles {
		if roles[i].Name != "platform" {
			roles[i].Memory = r.memory(roles[i].State)
		}
	}
	return roles
}

// Platform calls of the publisher for one change. It reads the watch of submissions
// and the status. It writes a chunk, the manifest, the head and the status (twice),
// and deletes the submission.
const (
	readsPerChange  = 2
	writesPerChange = 6
)

// memory returns the resident bytes of a process whose reducer holds state bytes:
// the memory of a real node at the largest measured size, plus two bytes for each
// further byte of state, since the garbage collector lets the heap double.
func (r *Results) memory(state float64) float64 {
	if len(r.Resident) == 0 {
		return math.NaN()
	}
	base := r.Resident[len(r.Resident)-1]
	baseState := r.at("state of an endpoint", float64(base.Endpoints)) + r.byName["state of a route"].Each*float64(base.Routes)
	return base.Bytes + 2*(state-baseState)
}

// Limits at the target size: for a node the first three, for the platform the others.
const (
	limitCore   = 0.01     // share of one core
	limitMemory = 32 << 20 // resident bytes
	limitBytes  = 3000     // bytes per second
	limitReads  = 2000     // reads per second
	limitWrites = 300      // writes per second
)

// verdict reports on the page whether a value is within its limit.
func verdict(value, limit float64) string {
	switch {
	case math.IsNaN(value):
		return "not measured"
	case value <= limit:
		return "holds"
	}
	return "falls short"
}
