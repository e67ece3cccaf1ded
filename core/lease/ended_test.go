package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/lease"
)

// TestHolderThatEndedIsReplaced acquires the lease of a holder that has ended, unless it was
// renewed since.
func TestHolderThatEndedIsReplaced(t *testing.T) {
	is := is.New(t)
	m := machine("b")
	m.Observe(start, lease.Record{Holder: "a", Address: "a", Epoch: 4}, 7)
	_, due := m.Next(start, true)
	is.True(!due)
	m.HolderEnded()
	m.Observe(start, lease.Record{Holder: "a", Address: "a", Epoch: 4, Round: 1}, 8)
	_, due = m.Next(start, true)
	is.True(!due) // it runs
	m.HolderEnded()
	w, due := m.Next(start, true)
	is.True(due)
	is.Equal(w.Record.Epoch, uint64(5))
	is.Equal(w.Base, uint64(8))
}

// TestTwoHoldersTakeLeaseInTurn lets two processes run whose connections to each other are
// refused, and that both reach the platform. Each takes the other for ended.
func TestTwoHoldersTakeLeaseInTurn(t *testing.T) {
	is := is.New(t)
	machines := []*lease.Machine{machine("a"), machine("b")}
	var record lease.Record
	version, acquired := uint64(0), 0
	for at := start; at.Before(start.Add(time.Minute)); at = at.Add(200 * time.Millisecond) {
		for _, m := range machines {
			m.Observe(at, record, version)
			if !m.Held(at) && version > 0 {
				m.HolderEnded()
			}
			w, due := m.Next(at, true)
			if !due {
				continue
			}
			if w.Record.Epoch > record.Epoch {
				acquired++
			}
			version++
			record = w.Record
			m.Written(at, version)
		}
	}
	is.True(acquired <= 3)
}
