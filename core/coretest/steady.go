package coretest

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// CallInterval is the time between two calls of a SteadyLoad.
const CallInterval = 2 * time.Millisecond

// SteadyLoad is a mesh under a constant load of calls. The entry nodes are those that were
// ready when readiness was last polled.
type SteadyLoad struct {
	*Mesh
	Traffic *Traffic
	path    string
	ready   []string
	next    int
}

// NewSteadyLoad starts a load of calls on a running mesh. took is the mean run time.
func NewSteadyLoad(m *Mesh, path string, took time.Duration) *SteadyLoad {
	s := &SteadyLoad{Mesh: m, Traffic: NewTraffic(m), path: path}
	s.Traffic.RunTime = func(string, *Call) time.Duration { return took/2 + time.Duration(m.Rand.Int64N(int64(took))) }
	s.pollReadiness()
	s.sendCalls()
	return s
}

// pollReadiness updates the readiness of all nodes twice a second, as a load balancer does.
func (s *SteadyLoad) pollReadiness() {
	s.UpdateReady()
	s.After(500*time.Millisecond, s.pollReadiness)
}

// UpdateReady updates the list of ready nodes.
func (s *SteadyLoad) UpdateReady() {
	s.ready = nil
	for _, n := range s.Nodes() {
		if ok, _ := n.State.Ready(); ok && n.Alive && n.Name != s.Traffic.BlackholedNode {
			s.ready = append(s.ready, n.Name)
		}
	}
}

func (s *SteadyLoad) sendCalls() {
	s.next++
	key := ""
	if s.next%10 == 5 { // every tenth call, which is not idempotent, has a key
		key = fmt.Sprint(s.next)
	}
	s.Traffic.Call(s.ready[s.next%len(s.ready)], core.CallArrived{
		Method: []string{"GET", "POST"}[s.next%2], Path: s.path, Replayable: true, Key: key,
	})
	s.After(CallInterval, s.sendCalls)
}

// LastRun returns the time at which the last run at a node began.
func (s *SteadyLoad) LastRun(node string) (last time.Time) {
	for _, c := range s.Traffic.Calls {
		for _, r := range c.Runs {
			if r.Node == node && r.At.After(last) {
				last = r.At
			}
		}
	}
	return last
}

// FailedCalls describes the calls that failed or have not ended, except for those of the
// last 6 s, which may still be open.
func (s *SteadyLoad) FailedCalls() (bad []string) {
	for _, c := range s.Traffic.Calls {
		if c.Outcome != retry.Ran && s.Now.Sub(c.Started) > 6*time.Second {
			bad = append(bad, fmt.Sprintf("call %d into %s at %v: %s %s", c.ID, c.Entry, c.Started.Format("05.000"), c.Outcome, c.Reason))
		}
	}
	return bad
}

// DropAllLinkMessages drops all link messages to and from a node.
func (s *SteadyLoad) DropAllLinkMessages(node string) {
	for _, n := range s.Nodes() {
		s.DropLinkMessages(node, n.Name)
	}
}

// CountFailedSince counts the calls listed by FailedCalls that started after a time and
// whose entry node is alive.
func (s *SteadyLoad) CountFailedSince(at time.Time) (n int) {
	for _, c := range s.Traffic.Calls {
		if s.Node(c.Entry).Alive && c.Outcome != retry.Ran && c.Started.After(at) && s.Now.Sub(c.Started) > 6*time.Second {
			n++
		}
	}
	return n
}
