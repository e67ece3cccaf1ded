package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// stop drains and ends the process, while beginDrain only takes the backend
// server out of service. Attempts that wait for a slot when a drain begins
// still run: they were admitted and wait for at most QueueMaxWait. Later
// attempts are refused as not run, so that senders with stale state can
// immediately try another node.
func (s *State) stop() {
	if s.backend.stopping {
		return
	}
	s.backend.stopping = true
	s.log(notice.NodeStopping)
	s.emit(DrainStarted{})
	s.beginDrain()
	s.backend.drainSince = s.now
	for _, c := range s.requests.calls {
		c.deadline = earlier(c.deadline, s.exitAt()) // also that of later attempts
	}
}

// exitAt returns the time at which a stopping process ends in any case.
func (s *State) exitAt() time.Time { return s.backend.drainSince.Add(s.cfg.DrainAtMost) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// longRunFactor is the run time, as a multiple of the usual one, that a call is
// given before the process ends. Few calls take longer.
const longRunFactor = 4

// answerMargin is the part of the time left that is not counted on: answers have to be
// passed on, and a host may stall.
const answerMargin = 200 * time.Millisecond

// limitToExit shortens a new call's budget to the time until the process ends. It
// returns false if the call might not be answered by then: not within its budget, nor
// within longRunFactor times the usual time of its kind, and answerMargin. A kind never
// answered here gets its whole budget.
func (s *State) limitToExit(service, kind string, budget time.Duration) (time.Duration, bool) {
	if !s.backend.stopping || s.requestFaults.ignoreExit {
		return budget, true
	}
	left := s.exitAt().Sub(s.now)
	need := budget
	if bound := s.group(service).LatencyBound(s.now, kind, longRunFactor); bound > 0 {
		need = min(need, bound)
	}
	return min(budget, left), need <= left-answerMargin
}

// answerFits reports whether a call that has not run can still be answered before this
// process ends.
func (s *State) answerFits(c *call) bool {
	_, ok := s.limitToExit(c.service, c.route.Name, c.deadline.Sub(s.now))
	return ok
}

// endsTooSoon is the reason of a call that is refused because it might not be answered
// before this process ends.
const endsTooSoon = "node ends before the answer is due"

func (s *State) beginDrain() {
	if s.backend.draining {
		return
	}
	s.backend.draining, s.backend.drainSince = true, s.now
	s.announce(endpoint.Draining)
}

// cancelDrain returns the backend server to service, after a probe and slow
// start, unless the process is stopping.
func (s *State) cancelDrain() {
	if s.backend.stopping || !s.backend.draining {
		return
	}
	s.backend.draining, s.backend.missedProbes = false, 0
	s.announce(endpoint.Failed)
}

// probedWhileDraining handles the result of a probe of a draining backend
// server. Once the connection was refused, the old process is gone and the
// next one to answer is a new process.
func (s *State) probedWhileDraining(e BackendProbed) {
	if e.Refused && !s.backend.stopping {
		s.cancelDrain()
		s.forgetOperatorDrain()
	}
}

// acceptsCalls reports whether a new call is accepted, and the reason if it
// is not. Calls are still accepted for DrainAtLeast after a stop, since
// callers learn of it by polling readiness, and those of runs that the stop
// waits for until it ends.
func (s *State) acceptsCalls(fromMesh bool) (bool, string) {
	ok, why := s.Ready()
	if ok || !s.backend.stopping || !s.hasCurrentConfig() {
		return ok, why
	}
	running, _ := s.backend.queue.Load()
	if s.now.Sub(s.backend.drainSince) < s.cfg.DrainAtLeast || fromMesh && running > 0 {
		return true, ""
	}
	return false, why
}

func (s *State) hasCurrentConfig() bool { return s.configVersion() != 0 && s.member.current }

func (s *State) drainTick() {
	b := &s.backend
	if !b.stopping || b.drained {
		return
	}
	since := s.now.Sub(b.drainSince)
	idle := s.idle() || s.requestFaults.skipDrainWait
	over := since >= s.cfg.DrainAtMost
	if since < s.cfg.DrainAtLeast || !idle && since < s.cfg.DrainAtMost-releaseWait {
		return
	}
	if givenUp := s.leasesGivenUp(); !over && !(idle && givenUp) {
		return
	}
	b.drained = true
	s.announce(endpoint.Gone)
	s.closeLinks()
	s.emit(Drained{})
}

// releaseWait is the longest time for which the end of a process waits until the
// platform has its word that it gives up its leases.
const releaseWait = 500 * time.Millisecond

// leasesGivenUp gives up the leases that this node holds, and reports whether the process
// may end: others can acquire them at once, or will have to wait until they expire.
func (s *State) leasesGivenUp() bool {
	b := &s.backend
	if b.releaseSince.IsZero() {
		b.releaseSince = s.now
	}
	if s.platform.down || s.now.Sub(b.releaseSince) >= releaseWait {
		return true
	}
	root, publisher := s.member.lease, s.publisher.lease
	if w, due := root.Release(s.now); due {
		s.storePut(keyspace.RootLeases+s.cfg.DataCentre, mustJSON(w.Record), w.Base, storeCall{purpose: forRootLeaseWrite})
	}
	if w, due := publisher.Release(s.now); due {
		s.storePut(keyspace.PublisherLease, mustJSON(w.Record), w.Base, storeCall{purpose: forPublisherLease})
	}
	return !root.Writing() && !root.Held(s.now) && !publisher.Writing() && !publisher.Held(s.now)
}

// takesLeases reports whether this node may acquire and renew leases.
func (s *State) takesLeases() bool { return s.backend.releaseSince.IsZero() }

// idle reports whether no request is in flight.
func (s *State) idle() bool {
	running, waiting := s.backend.queue.Load()
	return running == 0 && waiting == 0 && s.backend.relays == 0 && len(s.requests.calls) == 0
}

// closeLinks closes all links of a node that is about to exit and opens no
// others. Messages sent before, such as the announcement that the backend
// server is gone, are delivered first.
func (s *State) closeLinks() {
	for _, id := range sortedLinks(s.links) {
		if s.links[id].open {
			s.send(id, message.Leaving{})
			s.emit(CloseLink{Link: id, Reason: "the process ends"})
		}
		delete(s.links, id)
	}
}
