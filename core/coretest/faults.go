package coretest

import "time"

// Faults are the faults to inject. Probabilities are per call or message.
type Faults struct {
	PlatformDown  bool
	PlatformDelay time.Duration // maximum of the random delay in each direction
	FailBefore    float64       // probability that a call fails without effect
	LoseAnswer    float64       // probability that a call takes effect but its answer is lost
	LinkDelay     time.Duration // maximum of the random delay of a link message
	Duplicate     float64       // probability that a link message is delivered twice
}

// platformTimeout is the time after which a call to an unreachable platform fails.
const platformTimeout = 500 * time.Millisecond

// Partition drops all traffic between two nodes: messages on open links are lost and new
// links fail. Neither node is notified.
func (m *Mesh) Partition(a, b string) { m.partitioned[pair(a, b)] = true }

// BlackholeOpenLinks permanently drops what a sends to b on the links that are open now.
// New links work. Neither node is notified.
func (m *Mesh) BlackholeOpenLinks(a, b string) {
	for _, l := range m.nodes[a].links {
		if l.peer != nil && l.peer.node.Name == b {
			l.peer.blackholed = true
		}
	}
}

// PartitionDataCentres partitions the nodes of two data centres from each other.
func (m *Mesh) PartitionDataCentres(a, b string) {
	for _, x := range m.nodes {
		for _, y := range m.nodes {
			if x.Config.DataCentre == a && y.Config.DataCentre == b {
				m.Partition(x.Name, y.Name)
			}
		}
	}
}

// DropLinkMessages drops link messages between two nodes without notification. Requests
// still pass.
func (m *Mesh) DropLinkMessages(a, b string) { m.linkMessagesDropped[pair(a, b)] = true }

// PartitionStore partitions a node from the platform: its calls time out without effect, and
// pending watches fail.
func (m *Mesh) PartitionStore(name string) {
	m.storePartitioned[name] = true
	for _, w := range m.watches {
		if w.node.Name == name && !w.done {
			w.done = true
			m.After(platformTimeout, func() { m.step(w.node, w.generation, failed(w.effect)) })
		}
	}
}

// HealStore ends the partition of a node from the platform.
func (m *Mesh) HealStore(name string) { delete(m.storePartitioned, name) }

// Heal ends all partitions between nodes, pauses and injected faults. Delays stay.
func (m *Mesh) Heal() {
	m.partitioned, m.linkMessagesDropped = map[[2]string]bool{}, map[[2]string]bool{}
	m.Faults.PlatformDown, m.Faults.FailBefore, m.Faults.LoseAnswer, m.Faults.Duplicate = false, 0, 0, 0
	for _, n := range m.Nodes() {
		n.pausedUntil = time.Time{}
		m.resume(n)
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
