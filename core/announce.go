package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/notice"
)

// failedProbes is the number of probes in a row after which a backend server
// that does not refuse connections counts as failed.
const failedProbes = 3

// backend is the own backend server: its announcement and its admission.
type backend struct {
	entry     endpoint.Entry
	probeAt   time.Time
	probing   bool
	misses    int
	readyAt   time.Time // end of slow start
	stopping  bool
	leaving   bool
	stopSince time.Time
	drained   bool
	servedAt  time.Time // last whole answer that was no error
	queue     *admission.Queue
	memory    *admission.Memory
	keys      *idempotency.Memory
	heard     BackendReported // newest of the life that is there now
	heardAt   time.Time
}

func newBackend(cfg Config) backend {
	return backend{
		entry: endpoint.Entry{
			ID: cfg.Node, Service: cfg.Service, DataCentre: cfg.DataCentre, Peer: cfg.Peer, Hop: cfg.Hop,
			Incarnation: cfg.Incarnation, Slots: cfg.Slots, State: endpoint.Failed,
		},
		queue:  admission.New(cfg.admission()),
		memory: admission.NewMemory(maxRememberedAttempts),
		keys:   idempotency.NewMemory(idempotency.Config{Keep: cfg.KeyKeep, MaxKeys: maxKeys}),
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
	s.silenceTick()
	if s.cfg.Service != "" && !s.cfg.Announced && !b.probing && !s.now.Before(b.probeAt) {
		b.probing = true
		b.probeAt = s.now.Add(s.cfg.ProbeEvery)
		s.emit(ProbeBackend{})
	}
	if b.entry.State == endpoint.Warming && !s.now.Before(b.readyAt) {
		s.announce(endpoint.Ready)
	}
	s.admitTick()
	b.memory.Age()
	b.keys.Expire(s.now)
	s.drainTick()
}

// backendProbed makes the node the watchdog of its backend server: a refused
// connection is announced at once, instead of after the probes that silence
// needs, and a restart that is faster than those is told too, as the end of
// what ran before. The idea is that of "GMS Watchdog Capability: Enhancing GMS
// Failure Detection One Pager" (J. Fialli, Sun Microsystems, 2009);
// docs/design/distribution.md has what it gains here.
func (s *State) backendProbed(e BackendProbed) {
	b := &s.backend
	b.probing = false
	e.Refused = e.Refused && !s.cfg.testFaults.noWatchdog
	if b.leaving {
		s.probedWhileDraining(e)
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
	if !e.Refused && s.servedRecently() {
		b.misses = 0
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
	s.propagate(0, []endpoint.Entry{b.entry})
}
