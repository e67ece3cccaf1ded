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
	cfg      Config
	record   Record
	version  uint64    // of the object, zero when it does not exist
	seenAt   time.Time // when this version was first seen
	observed bool
	held     bool
	until    time.Time // end of the held time, by our clock
	renewAt  time.Time
	pending  *Write
	sentAt   time.Time
}

// New returns a Machine that has seen nothing yet.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Observe tells what a read returned; version zero means that no object
// exists.
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
}

// Held reports whether the lease may be used now.
func (m *Machine) Held(now time.Time) bool { return m.held && now.Before(m.until) }

// Epoch returns the fencing epoch of the last seen record.
func (m *Machine) Epoch() uint64 { return m.record.Epoch }

// Record returns the last seen record and whether one exists.
func (m *Machine) Record() (Record, bool) { return m.record, m.observed && m.version != 0 }

// Expired reports whether the lease may be taken: it doesn't exist, or one
// version of it has been seen for a whole TTL.
func (m *Machine) Expired(now time.Time) bool {
	return m.observed && (m.version == 0 || now.Sub(m.seenAt) >= m.cfg.TTL)
}

// Next returns the write that is due, if any: a renewal when held, a claim
// when the lease can be taken and want is set.
func (m *Machine) Next(now time.Time, want bool) (Write, bool) {
	if m.pending != nil || !m.observed || !want {
		return Write{}, false
	}
	r := Record{Holder: m.cfg.Holder, Address: m.cfg.Address, Epoch: m.record.Epoch, Round: m.record.Round + 1}
	switch {
	case m.record.Holder == m.cfg.Holder && m.version != 0:
		if m.Held(now) && now.Before(m.renewAt) {
			return Write{}, false
		}
		if !m.Held(now) {
			r.Epoch++ // the time lapsed: whatever ran under the old epoch is fenced off
		}
	case m.Expired(now):
		r.Epoch++
	default:
		return Write{}, false
	}
	w := Write{Record: r, Base: m.version}
	m.pending, m.sentAt = &w, now
	return w, true
}

// Written tells that the pending write took effect and made a version.
func (m *Machine) Written(now time.Time, version uint64) {
	if m.pending == nil {
		return
	}
	m.record, m.version, m.seenAt, m.observed = m.pending.Record, version, now, true
	m.pending = nil
	m.held, m.until, m.renewAt = true, m.sentAt.Add(m.cfg.TTL-m.cfg.Margin), m.sentAt.Add(m.cfg.Renew)
}

// Lost tells that the pending write did not take effect, or that its fate is
// unknown. The next read settles it.
func (m *Machine) Lost() {
	m.pending = nil
	m.renewAt = time.Time{}
}
