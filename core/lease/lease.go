// Package lease decides when a process takes, renews and stops to use a lease
// that is kept as one object of the platform. It does no I/O: it is told what
// was read and what became of each write, and says which write is due.
//
// Clocks of different processes are never compared. A challenger counts how
// long it has seen the same version of the object by its own clock; a holder
// counts from the moment it sent the renewal, not from the answer. A lease
// gives liveness alone: two holders at once are possible (a paused holder
// that doesn't know it yet), and writes are fenced by Epoch.
package lease

import "time"

// Record is the content of a lease object.
type Record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"` // of the holder, for other nodes
	Epoch   uint64 `json:"epoch"`   // one more with each change of holder
	Round   uint64 `json:"round"`   // one more with each renewal
}

// Config holds the settings of a Machine.
type Config struct {
	Holder  string
	Address string
	TTL     time.Duration // a challenger waits this long after the last change it saw
	Renew   time.Duration // time between renewals; well below TTL
	Margin  time.Duration // a holder stops this long before its time is up
}

// Write is a conditional update that is due: Record replaces the object at
// version Base (zero: create).
type Write struct {
	Record Record
	Base   uint64
}

// Machine follows one lease.
type Machine struct {
	cfg         Config
	record      Record
	version     uint64    // of the object, zero when it does not exist
	seenAt      time.Time // when this version was first seen
	observed    bool
	held        bool
	heldUntil   time.Time // end of the held time, by our clock
	renewAt     time.Time
	retryAt     time.Time // no write is tried before, after one that failed
	epochFloor  uint64    // the next epoch is above it
	pending     *sentWrite
	unconfirmed *sentWrite // the last write whose fate is unknown
	faults      faults
}

// sentWrite is a write and the time at which it was handed out.
type sentWrite struct {
	write  Write
	sentAt time.Time
}

// faults switch rules off, for tests that show that their checks can fail.
type faults struct {
	countFromAnswer bool // held time counts from the answer, not from the sending
	trustRecord     bool // a record of our own is held from the time of reading
}

// New returns a Machine that has seen nothing yet.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Observe tells what a read returned; version zero means that no object
// exists. A record that was written by a call whose answer was lost counts as
// held from the time at which that call was sent.
func (m *Machine) Observe(now time.Time, r Record, version uint64) {
	if m.observed && version < m.version {
		return // an answer that was overtaken by a newer one
	}
	if !m.observed || version != m.version {
		m.seenAt = now
	}
	m.observed, m.record, m.version = true, r, version
	if r.Holder != m.cfg.Holder {
		m.held = false
	}
	if m.unconfirmed != nil && m.unconfirmed.write.Record == r {
		m.holdFrom(m.unconfirmed.sentAt)
		m.unconfirmed = nil
	}
	if m.faults.trustRecord && r.Holder == m.cfg.Holder {
		m.holdFrom(now)
	}
}

// holdFrom extends the held time to what a write sent at a time gives.
func (m *Machine) holdFrom(at time.Time) {
	m.held, m.heldUntil, m.renewAt, m.retryAt = true, at.Add(m.cfg.TTL-m.cfg.Margin), at.Add(m.cfg.Renew), time.Time{}
}

// Held reports whether the lease may be used now.
func (m *Machine) Held(now time.Time) bool { return m.held && now.Before(m.heldUntil) }

// Epoch returns the fencing epoch of the last seen record.
func (m *Machine) Epoch() uint64 { return m.record.Epoch }

// RaiseEpoch makes the next write carry an epoch above one that was found
// elsewhere, as after the lease object was deleted. The lease counts as not
// held until that write has taken effect.
func (m *Machine) RaiseEpoch(above uint64) {
	if m.record.Epoch <= above {
		m.epochFloor, m.held = max(m.epochFloor, above), false
	}
}

// Record returns the last seen record and whether one exists.
func (m *Machine) Record() (Record, bool) { return m.record, m.observed && m.version != 0 }

// Expired reports whether the lease may be taken: it doesn't exist, or one
// version of it has been seen for a whole TTL.
func (m *Machine) Expired(now time.Time) bool {
	return m.observed && (m.version == 0 || now.Sub(m.seenAt) >= m.cfg.TTL)
}

// ExpiresIn returns the time until the lease may be taken if nobody changes
// it, zero when it may be taken now or was never read.
func (m *Machine) ExpiresIn(now time.Time) time.Duration {
	if !m.observed || m.version == 0 {
		return 0
	}
	return max(0, m.seenAt.Add(m.cfg.TTL).Sub(now))
}

// Next returns the write that is due, if any: a renewal when held, a claim
// when the lease can be taken and want is set.
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
		r.Epoch = max(r.Epoch, m.epochFloor) + 1 // whatever ran under an older epoch is fenced off
	}
	m.pending = &sentWrite{write: Write{Record: r, Base: m.version}, sentAt: now}
	return m.pending.write, true
}

// Written tells that the pending write took effect and made a version.
func (m *Machine) Written(now time.Time, version uint64) {
	if m.pending == nil {
		return
	}
	at := m.pending.sentAt
	if m.faults.countFromAnswer {
		at = now
	}
	p := *m.pending
	m.pending, m.unconfirmed = nil, nil
	if m.observed && version < m.version {
		return // a read has shown already that another holder came after
	}
	m.record, m.version, m.seenAt, m.observed = p.write.Record, version, now, true
	m.holdFrom(at)
}

// Refused tells that the object was at another version than the pending
// write expected. Nothing is written until a read has told what stands there.
func (m *Machine) Refused() {
	m.pending = nil
	m.observed = false
}

// Lost tells that the fate of the pending write is unknown. It is tried again
// after a while; a read in between may settle it.
func (m *Machine) Lost() {
	if m.pending == nil {
		return
	}
	m.unconfirmed, m.pending = m.pending, nil
	m.retryAt = m.unconfirmed.sentAt.Add(m.cfg.Renew / 2)
}
