// Package lease decides when a process acquires, renews and stops using a lease
// that is stored as one object on the platform. It does no I/O: the caller passes
// in the results of reads and writes, and the Machine returns the next write.
//
// Clocks of different processes are never compared. A challenger measures by its
// own clock how long the version of the object has not changed; a holder measures
// from when it sent the renewal, not from the answer. A lease provides liveness
// only: two processes may act as holder at once (one that was paused and has not
// yet noticed that its lease expired), so writes are fenced by Epoch.
package lease

import "time"

// Record is the content of a lease object.
type Record struct {
	Holder  string `json:"holder"`  // empty: the last holder has given the lease up
	Address string `json:"address"` // of the holder, for other nodes
	Epoch   uint64 `json:"epoch"`   // increased with each acquisition
	Round   uint64 `json:"round"`   // increased with each write of the record
}

// Config holds the settings of a Machine.
type Config struct {
	Holder  string
	Address string
	TTL     time.Duration // a challenger waits this long after the last change that it observed
	Renew   time.Duration // time between renewals; well below TTL
	Margin  time.Duration // a holder stops using the lease this long before TTL has passed
}

// Write is a conditional update that is due: Record replaces the object at
// version Base (zero: create).
type Write struct {
	Record Record
	Base   uint64
}

// Machine is the state of one process regarding one lease.
type Machine struct {
	cfg         Config
	record      Record
	version     uint64     // of the object; zero: it does not exist
	seenAt      time.Time  // when this version was first observed
	observed    bool       // record and version are the result of a read or of an own write
	held        bool       // the lease was acquired; it may be used until heldUntil
	heldUntil   time.Time  // by the clock of this process
	renewAt     time.Time  // when the next renewal is due
	retryAt     time.Time  // earliest time of a write after one whose result is unknown
	epochFloor  uint64     // the next acquisition writes an epoch above it
	endedAt     uint64     // version whose holder is known to have ended; zero: none
	takenFrom   string     // holder whose lease was acquired because it had ended; empty: none
	misjudged   string     // holder that had not ended: it held the lease again afterwards; empty: none
	pending     *sentWrite // nil: no write is in progress
	unconfirmed *sentWrite // the last write whose result is unknown
	faults      faults
}

// sentWrite is a write and the time at which Next returned it.
type sentWrite struct {
	write  Write
	sentAt time.Time
}

// faults are deliberate faults for tests which show that a check detects them.
type faults struct {
	countFromAnswer bool // the held time is counted from the answer, not from the write
	trustRecord     bool // the lease counts as held from when a record of this process is read
}

// New returns a Machine that has observed nothing yet.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Observe applies the result of a read; version zero means that no object
// exists. If the record is that of a write whose answer was lost, the lease
// counts as held from when that write was sent. If the platform has lost writes,
// the record may be older than one observed before; epochs rise all the same.
func (m *Machine) Observe(now time.Time, r Record, version uint64) {
	if m.observed && version < m.version {
		return // the answer arrived after a newer one
	}
	if !m.observed || version != m.version {
		m.seenAt = now
	}
	m.noteReturn(r)
	m.epochFloor = max(m.epochFloor, m.record.Epoch)
	m.observed, m.record, m.version = true, r, version
	if r.Holder != m.cfg.Holder {
		m.held = false
	}
	if m.unconfirmed != nil && m.unconfirmed.write.Record == r {
		m.confirm(*m.unconfirmed, m.unconfirmed.sentAt)
		m.unconfirmed = nil
	}
	if r.Epoch < m.epochFloor {
		m.held = false // it has to be acquired again, with a higher epoch
	}
	if m.faults.trustRecord && r.Holder == m.cfg.Holder {
		m.holdFrom(now)
	}
}

// Missing applies a read at a revision that found no object. Unlike Observe with
// version zero it also counts if an object was observed before: it has been lost.
func (m *Machine) Missing(now time.Time, revision uint64) {
	if m.observed && revision < m.version {
		return // the answer arrived after a newer one
	}
	m.observed = false
	m.Observe(now, Record{}, 0)
}

// confirm applies a write of this process that has taken effect: the lease is held from a
// time on, unless the write gave it up.
func (m *Machine) confirm(w sentWrite, at time.Time) {
	if w.write.Record.Holder == m.cfg.Holder {
		m.holdFrom(at)
	}
}

// holdFrom marks the lease as held because of a write that was sent at a time.
func (m *Machine) holdFrom(at time.Time) {
	m.held, m.heldUntil, m.renewAt, m.retryAt = true, at.Add(m.cfg.TTL-m.cfg.Margin), at.Add(m.cfg.Renew), time.Time{}
}

// Held reports whether the lease may be used now.
func (m *Machine) Held(now time.Time) bool { return m.held && now.Before(m.heldUntil) }

// Epoch returns the fencing epoch of the last observed record.
func (m *Machine) Epoch() uint64 { return m.record.Epoch }

// RaiseEpoch makes the next write use a higher epoch than one found elsewhere,
// for instance after the lease object was deleted. Until that write has taken
// effect the lease counts as not held.
func (m *Machine) RaiseEpoch(above uint64) {
	if m.record.Epoch <= above {
		m.epochFloor, m.held = max(m.epochFloor, above), false
	}
}

// Record returns the last observed record and whether one exists.
func (m *Machine) Record() (Record, bool) { return m.record, m.observed && m.version != 0 }

// Outdated reports whether the last observed record has a lower epoch than one before:
// the platform has lost that one, and the holder that it names has given up the lease.
func (m *Machine) Outdated() bool {
	return m.observed && m.version != 0 && m.record.Epoch < m.epochFloor
}

// free reports whether nobody holds the lease: it does not exist, or was given up.
func (m *Machine) free() bool { return m.version == 0 || m.record.Holder == "" }

// HolderEnded records that no process listens at the holder's address. The lease may be
// acquired unless it has changed since: a holder that was started again at that address holds
// nothing, and one that runs all the same is fenced by the epoch. If the same holder has it
// again later, whatever refused the connection was not the end of its process, and does not
// count a second time: two processes that can't reach each other would take the lease in turn.
func (m *Machine) HolderEnded() {
	if m.observed && m.record.Holder != m.misjudged {
		m.endedAt = m.version
	}
}

// noteReturn records that a holder has the lease again that was taken for ended.
func (m *Machine) noteReturn(r Record) {
	if m.takenFrom != "" && r.Holder == m.takenFrom {
		m.misjudged, m.takenFrom = r.Holder, ""
	}
}

// ended reports whether the holder of the last observed version is known to have ended.
func (m *Machine) ended() bool { return m.endedAt != 0 && m.endedAt == m.version }

// Expired reports whether the lease may be acquired: it is free or outdated, its holder has
// ended, or this process has observed the same version of it for TTL.
func (m *Machine) Expired(now time.Time) bool {
	return m.observed && (m.free() || m.Outdated() || m.ended() || now.Sub(m.seenAt) >= m.cfg.TTL)
}

// ExpiresIn returns the time until the lease may be acquired if it is not
// renewed. It is zero if the lease may be acquired now or has not been observed.
func (m *Machine) ExpiresIn(now time.Time) time.Duration {
	if !m.observed || m.free() || m.Outdated() || m.ended() {
		return 0
	}
	return max(0, m.seenAt.Add(m.cfg.TTL).Sub(now))
}

// Next returns the write that is due, if any: a renewal if the lease is held, or
// an acquisition if it may be acquired. It returns none unless want is set.
func (m *Machine) Next(now time.Time, want bool) (Write, bool) {
	if m.pending != nil || !m.observed || !want || now.Before(m.retryAt) {
		return Write{}, false
	}
	own := m.record.Holder == m.cfg.Holder && m.version != 0
	renewal := own && m.Held(now)
	switch {
	case renewal && now.Before(m.renewAt):
		return Write{}, false
	case !own && !m.Expired(now):
		return Write{}, false
	}
	r := Record{Holder: m.cfg.Holder, Address: m.cfg.Address, Epoch: m.record.Epoch, Round: m.record.Round + 1}
	if !renewal {
		r.Epoch = max(r.Epoch, m.epochFloor) + 1 // writes under an older epoch are fenced off
	}
	m.pending = &sentWrite{write: Write{Record: r, Base: m.version}, sentAt: now}
	return m.pending.write, true
}

// Release gives the lease up. It returns the write that tells other processes, if one is
// due: if the lease is held and no other write is in progress.
func (m *Machine) Release(now time.Time) (Write, bool) {
	if m.pending != nil || !m.Held(now) {
		return Write{}, false
	}
	r := m.record
	r.Holder, r.Round = "", r.Round+1
	m.held = false
	m.pending = &sentWrite{write: Write{Record: r, Base: m.version}, sentAt: now}
	return m.pending.write, true
}

// Writing reports whether a write is in progress.
func (m *Machine) Writing() bool { return m.pending != nil }

// Written records that the pending write succeeded and resulted in a version.
func (m *Machine) Written(now time.Time, version uint64) {
	if m.pending == nil {
		return
	}
	at := m.pending.sentAt
	if m.faults.countFromAnswer {
		at = now
	}
	p := *m.pending
	if m.ended() {
		m.takenFrom = m.record.Holder
	}
	m.pending, m.unconfirmed = nil, nil
	if m.observed && version < m.version {
		return // a read has returned a later version, so another process has written since
	}
	m.record, m.version, m.seenAt, m.observed = p.write.Record, version, now, true
	m.confirm(p, at)
}

// Refused records that the pending write failed because the object was at another
// version. No write is due until the object has been read again.
func (m *Machine) Refused() {
	m.pending = nil
	m.observed = false
}

// WriteUnknown records that the result of the pending write is unknown. A write is
// due again half of Renew after it was sent; a read before that may show that it
// succeeded.
func (m *Machine) WriteUnknown() {
	if m.pending == nil {
		return
	}
	m.unconfirmed, m.pending = m.pending, nil
	m.retryAt = m.unconfirmed.sentAt.Add(m.cfg.Renew / 2)
}
