package core

import (
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// backendHeartbeat applies a report of this node's backend server. Reports
// may arrive out of order: of two instances the one started later counts, and
// within one instance the higher sequence.
func (s *State) backendHeartbeat(e BackendReported) {
	b := &s.backend
	if b.outdated(e) && !b.sequenceIsOdd(e) {
		return
	}
	b.below = belowSequence{}
	newInstance := !b.sameInstance(e)
	if e.State == endpoint.Gone {
		s.backendEnded(e, newInstance)
		return
	}
	b.heartbeat, b.heartbeatAt = e, s.now
	if newInstance {
		s.forgetNotice()
	}
	b.queue.SetSlots(e.Slots)
	b.entry.Slots = e.Slots
	if newInstance && !b.stopping {
		b.draining, b.missedProbes = false, 0
	}
	if e.State == endpoint.Draining {
		s.beginDrain()
		return
	}
	if b.draining {
		return // an instance that is draining does not become ready again
	}
	s.announceServing(e, newInstance)
}

// backendEnded handles the notice that an instance of the backend server ended. It counts
// without an earlier heartbeat of that instance too, as after a start of this process:
// otherwise a late one would put the instance into service again.
func (s *State) backendEnded(e BackendReported, newInstance bool) {
	b := &s.backend
	if newInstance && b.heartbeat.Backend != "" && e.StartMillis <= b.heartbeat.StartMillis {
		return // not known to be newer than the instance in service
	}
	if newInstance {
		b.heartbeat, b.heartbeatAt = e, s.now
		s.forgetNotice()
	}
	b.heartbeat.State = endpoint.Gone
	s.beginDrain()
}

// announceServing announces the backend server as Ready or Warming if its
// instance or its state has changed.
func (s *State) announceServing(e BackendReported, newInstance bool) {
	b := &s.backend
	b.slowStartEnd = s.now.Add(e.ColdRemaining)
	state := endpoint.Ready
	if e.ColdRemaining > 0 {
		state = endpoint.Warming
	}
	if newInstance || b.entry.State != state {
		s.announce(state)
	}
}

// sameInstance reports whether e comes from the instance of the last heartbeat.
func (b *backend) sameInstance(e BackendReported) bool {
	return e.Backend == b.heartbeat.Backend && (e.StartMillis == b.heartbeat.StartMillis || e.StartMillis == 0 || b.heartbeat.StartMillis == 0)
}

// outdated reports whether a newer report than e has been received. That an instance leaves is
// never out of date: it does not take that back.
func (b *backend) outdated(e BackendReported) bool {
	if !b.sameInstance(e) {
		return e.StartMillis < b.heartbeat.StartMillis
	}
	return e.State.Serves() && e.Sequence != 0 && e.Sequence <= b.heartbeat.Sequence
}

// oddAfter is the number of reports in a row, each with a higher sequence than the one before,
// that show the highest sequence of their instance not to be its own. Late reports of before
// come in a burst at most, and would tell an older state for one heartbeat.
const oddAfter = 3

// belowSequence counts the reports of the instance in service that are out of date, as long as
// their sequences rise.
type belowSequence struct {
	last  uint64
	count int
}

// sequenceIsOdd reports whether the sequence that puts e out of date must be another writer's.
func (b *backend) sequenceIsOdd(e BackendReported) bool {
	if !b.sameInstance(e) {
		return false
	}
	if e.Sequence <= b.below.last {
		b.below = belowSequence{last: e.Sequence, count: 1}
		return false
	}
	b.below = belowSequence{last: e.Sequence, count: b.below.count + 1}
	return b.below.count >= oddAfter
}

// silenceTick announces the backend server as Failed if it has sent no heartbeat
// for SilentAfter and has served no request successfully in that time.
func (s *State) silenceTick() {
	b := &s.backend
	if !s.cfg.Announced || !b.entry.State.Serves() || s.now.Sub(b.heartbeatAt) < s.cfg.SilentAfter {
		return
	}
	if !b.servedAt.IsZero() && s.now.Sub(b.servedAt) < s.cfg.SilentAfter {
		return
	}
	s.announce(endpoint.Failed)
}
