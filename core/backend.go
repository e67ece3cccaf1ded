package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// failedProbes is the number of probes in a row after which a backend server
// that does not refuse connections counts as failed.
const failedProbes = 3

// rememberedAttempts bounds the attempt IDs kept to refuse a late copy.
const rememberedAttempts = 16 << 10

// backend is the own backend server: its announcement and its admission.
type backend struct {
	entry      endpoint.Entry
	probeAt    time.Time
	probing    bool
	misses     int
	readyAt    time.Time // end of slow start
	stopping   bool
	leaving    bool
	stopSince  time.Time
	drained    bool
	queue      *admission.Queue
	attempts   map[AttemptID]bool // true while it waits or runs
	remembered []AttemptID        // oldest first
}

func newBackend(cfg Config) backend {
	return backend{
		entry: endpoint.Entry{
			ID: cfg.Node, Service: cfg.Service, DataCentre: cfg.DataCentre, Peer: cfg.Peer, Hop: cfg.Hop,
			Incarnation: cfg.Incarnation, Slots: cfg.Slots, State: endpoint.Failed,
		},
		queue:    admission.New(admission.Config{Slots: cfg.Slots, MaxQueue: cfg.MaxQueue}),
		attempts: map[AttemptID]bool{},
	}
}

func (b *backend) dump(cfg Config) DumpBackend {
	running, waiting := b.queue.Load()
	return DumpBackend{
		Service: cfg.Service, State: b.entry.State.String(), Running: running, Waiting: waiting,
		Slots: cfg.Slots, Stopping: b.stopping,
	}
}

func (s *State) backendTick() {
	b := &s.backend
	if b.entry.Sequence == 0 {
		s.announce(endpoint.Failed) // the node itself is known from its first tick on
	}
	if s.cfg.Service != "" && !b.probing && !s.now.Before(b.probeAt) {
		b.probing = true
		b.probeAt = s.now.Add(s.cfg.ProbeEvery)
		s.emit(ProbeBackend{})
	}
	if b.entry.State == endpoint.Warming && !s.now.Before(b.readyAt) {
		s.announce(endpoint.Ready)
	}
	s.drainTick()
}

func (s *State) backendProbed(e BackendProbed) {
	b := &s.backend
	b.probing = false
	if b.leaving {
		return
	}
	if e.OK {
		b.misses = 0
		if b.entry.State == endpoint.Failed {
			b.readyAt = s.now.Add(s.cfg.SlowStart)
			s.announce(endpoint.Warming)
		}
		return
	}
	b.misses++
	if b.entry.State.Serves() && (e.Refused || b.misses >= failedProbes) {
		s.announce(endpoint.Failed)
	}
}

// announce changes the state of the own entry and tells it to all.
func (s *State) announce(st endpoint.State) {
	b := &s.backend
	if b.entry.State != st || b.entry.Sequence == 0 {
		s.log(notice.EndpointState, Attr{"state", st.String()})
	}
	b.entry.State = st
	b.entry.Sequence++
	s.table.Merge(s.now, b.entry)
	s.spread(0, []endpoint.Entry{b.entry})
}

// spread tells entries to all neighbours but the one they came from.
func (s *State) spread(from LinkID, entries []endpoint.Entry) {
	for _, id := range sortedLinks(s.links) {
		if l := s.links[id]; id != from && l.open && l.role != roleNew {
			s.send(id, message.Endpoints{Entries: entries})
		}
	}
}

func (s *State) endpointsReceived(from LinkID, _ *link, entries []endpoint.Entry) {
	var news []endpoint.Entry
	for _, e := range entries {
		if e.ID == s.cfg.Node {
			s.refute(e)
			continue
		}
		old, known := s.table.Get(e.ID)
		if s.table.Merge(s.now, e) {
			if known && old.Incarnation != e.Incarnation {
				s.requests.balancer.Forget(e.ID)
			}
			news = append(news, e)
		}
	}
	if len(news) > 0 {
		s.spread(from, news)
	}
}

// refute answers news of the own entry that it did not write itself.
func (s *State) refute(e endpoint.Entry) {
	b := &s.backend
	if e.Compare(b.entry) <= 0 {
		return
	}
	if c := e.Incarnation.Compare(b.entry.Incarnation); c > 0 {
		return // a later life of this ID: this process is the one that is out of date
	}
	b.entry.Sequence = e.Sequence
	s.announce(b.entry.State)
}

// stop drains and ends the process; beginDrain only takes the backend server
// out of service.
func (s *State) stop() {
	if s.backend.stopping {
		return
	}
	s.backend.stopping = true
	s.log(notice.NodeStopping)
	s.beginDrain()
}

func (s *State) beginDrain() {
	if s.backend.leaving {
		return
	}
	s.backend.leaving, s.backend.stopSince = true, s.now
	s.announce(endpoint.Draining)
}

func (s *State) drainTick() {
	b := &s.backend
	if !b.stopping || b.drained {
		return
	}
	running, waiting := b.queue.Load()
	since := s.now.Sub(b.stopSince)
	idle := running == 0 && waiting == 0 && len(s.requests.calls) == 0
	if since < s.cfg.DrainAtLeast || !idle && since < s.cfg.DrainAtMost {
		return
	}
	b.drained = true
	s.announce(endpoint.Gone)
	s.emit(Drained{})
}

func (s *State) attemptArrived(e AttemptArrived) {
	b := &s.backend
	if _, seen := b.attempts[e.Attempt]; seen {
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.SeenBefore})
		return
	}
	s.remember(e.Attempt)
	if b.leaving || !b.entry.State.Serves() {
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.NotServing})
		return
	}
	run, reason := b.queue.Arrive(s.now, admission.Waiting{ID: e.Attempt, Class: e.Class, Deadline: s.now.Add(e.Budget)})
	switch {
	case reason != admission.Admitted:
		s.emit(Refuse{Attempt: e.Attempt, Reason: reason})
	case run:
		b.attempts[e.Attempt] = true
		s.emit(Run{Attempt: e.Attempt})
	default:
		b.attempts[e.Attempt] = true
	}
}

// remember keeps an attempt ID so that a copy that comes late is refused.
func (s *State) remember(id AttemptID) {
	b := &s.backend
	b.attempts[id] = false
	b.remembered = append(b.remembered, id)
	for len(b.remembered) > rememberedAttempts && !b.attempts[b.remembered[0]] {
		delete(b.attempts, b.remembered[0])
		b.remembered = b.remembered[1:]
	}
}

func (s *State) attemptDone(e AttemptDone) {
	b := &s.backend
	b.attempts[e.Attempt] = false
	start, dropped := b.queue.Done(s.now, e.Took)
	for _, w := range dropped {
		b.attempts[w.ID] = false
		s.emit(Refuse{Attempt: w.ID, Reason: admission.TooLate})
	}
	for _, w := range start {
		s.emit(Run{Attempt: w.ID})
	}
	if e.Refused && b.entry.State.Serves() && !b.leaving {
		s.announce(endpoint.Failed)
	}
}

func (s *State) attemptCancelled(e AttemptCancelled) {
	b := &s.backend
	if _, seen := b.attempts[e.Attempt]; !seen {
		s.remember(e.Attempt) // the attempt itself may come yet: it is refused then
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.Cancelled})
		return
	}
	if b.queue.Cancel(e.Attempt) {
		b.attempts[e.Attempt] = false
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.Cancelled})
	}
}
