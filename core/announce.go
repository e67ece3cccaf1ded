package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/notice"
)

// maxMissedProbes is the number of consecutive failed probes after which a
// backend server that does not refuse connections counts as failed.
const maxMissedProbes = 3

// backend is the state of this node's backend server: its announced entry,
// health and admission.
type backend struct {
	entry        endpoint.Entry
	lives        []endpoint.Incarnation // all that this process has announced
	probeAt      time.Time              // when the next probe is due
	probing      bool                   // a probe is in progress
	missedProbes int                    // consecutive
	slowStartEnd time.Time              // when Warming ends
	stopping     bool                   // the process is to end
	draining     bool                   // takes no new requests
	drainSince   time.Time              // when the drain, or the stop of the process, began
	drained      bool                   // the drain has finished
	releaseSince time.Time              // since when the node gives up its leases to end; zero: it does not
	servedAt     time.Time              // when the last complete answer without error was received
	relays       int                    // large answers that are being sent to other nodes
	queue        *admission.Queue
	dedup        *admission.DedupWindow
	keys         *idempotency.Registry
	heartbeat    BackendReported // newest one of the current instance
	heartbeatAt  time.Time       // when it was received
	below        belowSequence
	notice       BackendNotice // what this instance says of itself
	answered     bool          // this instance has answered this process
}

func newBackend(cfg Config) backend {
	return backend{
		lives: []endpoint.Incarnation{cfg.Incarnation},
		entry: endpoint.Entry{
			ID: cfg.Node, Service: cfg.Service, DataCentre: cfg.DataCentre, Peer: cfg.Peer, Hop: cfg.Hop,
			Incarnation: cfg.Incarnation, Slots: cfg.Slots, State: endpoint.Failed,
		},
		queue: admission.New(cfg.admission()),
		dedup: admission.NewDedupWindow(maxRememberedAttempts),
		keys:  idempotency.NewRegistry(idempotency.Config{Retention: cfg.KeyKeep, MaxKeys: maxKeys}),
	}
}

func (b *backend) dump(cfg Config) DumpBackend {
	running, waiting := b.queue.Load()
	d := DumpBackend{
		Service: cfg.Service, State: b.entry.State.String(), Running: running, Waiting: waiting,
		Slots: cfg.Slots, Stopping: b.stopping, Leaving: b.notice.Leaving,
	}
	if b.notice.Limited {
		limit := b.notice.RateLimit
		d.LimitPerSecond = &limit
	}
	return d
}

func (s *State) backendTick() {
	b := &s.backend
	if b.entry.Sequence == 0 {
		s.announce(endpoint.Failed) // makes the node itself known from its first tick on
	}
	s.silenceTick()
	if s.cfg.Service != "" && !s.cfg.Announced && !b.probing && !s.now.Before(b.probeAt) && s.leaving.probeMayServe(s.now) {
		b.probing = true
		b.probeAt = s.now.Add(s.cfg.ProbeEvery)
		s.emit(ProbeBackend{})
	}
	if b.entry.State == endpoint.Warming && !s.now.Before(b.slowStartEnd) {
		s.announce(endpoint.Ready)
	}
	s.admitTick()
	b.dedup.Tick()
	b.keys.Expire(s.now)
	s.drainTick()
}

// backendProbed applies the result of a probe. A refused connection is announced as
// Failed at once rather than after maxMissedProbes probes, so that a restart that
// takes less time than those is announced as well (docs/design/distribution.md,
// "The watchdog").
func (s *State) backendProbed(e BackendProbed) {
	b := &s.backend
	b.probing = false
	if s.cfg.Announced {
		s.backendVouched(e)
		return
	}
	e.Refused = e.Refused && !s.cfg.treeFaults.noWatchdog
	if b.draining {
		s.probedWhileDraining(e)
		return
	}
	if e.OK {
		b.missedProbes = 0
		if b.entry.State == endpoint.Failed {
			b.slowStartEnd = s.now.Add(s.cfg.SlowStart)
			s.announce(endpoint.Warming)
		}
		return
	}
	if !e.Refused && s.servedRecently() {
		b.missedProbes = 0
		return
	}
	b.missedProbes++
	if b.entry.State.Serves() && (e.Refused || b.missedProbes >= maxMissedProbes) {
		s.announce(endpoint.Failed)
	}
}

// announce sets the state of this node's entry and sends the entry to all links.
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
