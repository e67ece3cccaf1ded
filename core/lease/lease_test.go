package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	ttl    = 6 * time.Second
	renew  = 2 * time.Second
	margin = time.Second
)

func machine(name string) *lease.Machine {
	return lease.New(lease.Config{Holder: name, Address: name, TTL: ttl, Renew: renew, Margin: margin})
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAcquisitionWithLostAnswerCountsFromItsWrite(t *testing.T) {
	is := is.New(t)
	m := machine("a")
	m.Observe(start, lease.Record{}, 0)
	w, due := m.Next(start, true)
	is.True(due)
	m.WriteUnknown()
	m.Observe(start.Add(3*time.Second), w.Record, 7)
	is.True(m.Held(start.Add(ttl - margin - time.Millisecond)))
	is.True(!m.Held(start.Add(ttl - margin))) // counted from the write, not from the read
	is.Equal(m.Epoch(), uint64(1))            // no second acquisition was needed
}

func TestDeletedLeaseCanBeAcquiredAgain(t *testing.T) {
	is := is.New(t)
	m := machine("a")
	m.Observe(start, lease.Record{Holder: "b", Epoch: 4}, 9)
	m.Observe(start.Add(ttl), lease.Record{Holder: "b", Epoch: 4}, 9)
	_, due := m.Next(start.Add(ttl), true)
	is.True(due)
	m.Refused() // the object has been deleted
	_, due = m.Next(start.Add(2*ttl), true)
	is.True(!due) // the object must be read first
	m.Observe(start.Add(2*ttl), lease.Record{}, 0)
	w, due := m.Next(start.Add(2*ttl), true)
	is.True(due)
	is.Equal(w.Base, uint64(0))
}

// TestEpochRisesAfterLeaseIsLost checks that a platform which loses a lease, or returns an
// older record of it, makes no process use an epoch again that this one has seen.
func TestEpochRisesAfterLeaseIsLost(t *testing.T) {
	for name, lose := range map[string]func(m *lease.Machine){
		"lost":               func(m *lease.Machine) { m.Missing(start, 40) },
		"of another holder":  func(m *lease.Machine) { m.Observe(start, lease.Record{Holder: "b", Epoch: 3}, 40) },
		"older, of this one": func(m *lease.Machine) { m.Observe(start, lease.Record{Holder: "a", Epoch: 2, Round: 9}, 40) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := machine("a")
			m.Observe(start.Add(-2*ttl), lease.Record{Holder: "b", Epoch: 4}, 9)
			_, due := m.Next(start, true)
			is.True(due)
			m.Written(start, 10)
			is.True(m.Held(start))
			m.Missing(start, 9) // read before the write
			is.True(m.Held(start))
			lose(m)
			is.True(!m.Held(start))
			w, due := m.Next(start.Add(ttl), true)
			is.True(due)
			is.Equal(w.Record.Epoch, uint64(6))
		})
	}
}

func TestFailedWritesAreRetriedAtIntervals(t *testing.T) {
	is := is.New(t)
	m := machine("a")
	m.Observe(start, lease.Record{}, 0)
	writes := 0
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if _, due := m.Next(at, true); due {
			writes++
			m.WriteUnknown()
		}
	}
	is.Equal(writes, 10) // one per half of Renew
}

func TestRaisedEpochIsWrittenBeforeUse(t *testing.T) {
	is := is.New(t)
	m := machine("a")
	m.Observe(start, lease.Record{}, 0)
	_, _ = m.Next(start, true)
	m.Written(start, 3)
	is.True(m.Held(start))
	m.RaiseEpoch(20)
	is.True(!m.Held(start))
	w, due := m.Next(start, true)
	is.True(due)
	is.Equal(w.Record.Epoch, uint64(21))
}

// sim simulates one lease object and processes with separate clocks, whose
// reads and writes have delays and lost answers and which can be paused.
type sim struct {
	now      time.Duration // real time
	record   lease.Record
	version  uint64
	procs    []*proc
	rng      *rand.Rand
	lossRate float64       // share of successful writes whose answer is lost
	delay    time.Duration // upper bound of the delay of an answer
}

type proc struct {
	name        string
	m           *lease.Machine
	offset      time.Duration // of its clock from real time
	pausedUntil time.Duration // in real time
	inbox       []answer
	readAt      time.Duration
	reading     bool
}

type answer struct {
	at time.Duration
	do func(now time.Time)
}

func (p *proc) clock(w *sim) time.Time { return start.Add(p.offset + w.now) }

func (w *sim) answerAt() time.Duration { return w.now + time.Duration(w.rng.Int64N(int64(w.delay))) }

const simStep = 50 * time.Millisecond

// run advances the simulation and returns an error at the first time at which
// two processes both consider the lease held. It also returns the number of
// steps in which a process held it.
func (w *sim) run(d time.Duration) (int, error) {
	held := 0
	for end := w.now + d; w.now < end; w.now += simStep {
		for _, p := range w.procs {
			if w.now >= p.pausedUntil {
				w.stepProcess(p)
			}
		}
		var holders []string
		for _, p := range w.procs {
			if p.m.Held(p.clock(w)) { // a paused process too, since it may resume at any instruction
				holders = append(holders, p.name)
			}
		}
		if len(holders) > 1 {
			return held, fmt.Errorf("at %s the lease is held by %v", w.now, holders)
		}
		held += len(holders)
	}
	return held, nil
}

func (w *sim) stepProcess(p *proc) {
	now := p.clock(w)
	var rest []answer
	for _, a := range p.inbox {
		if a.at <= w.now {
			a.do(now)
			continue
		}
		rest = append(rest, a)
	}
	p.inbox = rest
	if !p.reading && w.now >= p.readAt {
		p.reading = true
		r, v := w.record, w.version
		p.inbox = append(p.inbox, answer{w.answerAt(), func(now time.Time) {
			p.reading, p.readAt = false, w.now+500*time.Millisecond
			p.m.Observe(now, r, v)
		}})
	}
	if wr, due := p.m.Next(now, true); due {
		w.write(p, wr)
	}
}

// write takes effect at once; its answer is delayed or lost.
func (w *sim) write(p *proc, wr lease.Write) {
	at := w.answerAt()
	if wr.Base != w.version {
		p.inbox = append(p.inbox, answer{at, func(time.Time) { p.m.Refused() }})
		return
	}
	w.record = wr.Record
	w.version++
	v := w.version
	if w.rng.Float64() < w.lossRate {
		p.inbox = append(p.inbox, answer{at, func(time.Time) { p.m.WriteUnknown() }})
		return
	}
	p.inbox = append(p.inbox, answer{at, func(now time.Time) { p.m.Written(now, v) }})
}

func newSim(seed uint64, n int) *sim {
	w := &sim{rng: rand.New(rand.NewPCG(seed, 1)), delay: 100 * time.Millisecond, version: 0}
	for i := range n {
		name := string(rune('a' + i))
		w.procs = append(w.procs, &proc{name: name, m: machine(name), offset: time.Duration(w.rng.Int64N(int64(time.Hour)))})
	}
	return w
}

// history runs processes with pauses, delayed answers and lost answers.
func history(t *rapid.T, prepare func(*lease.Machine)) (held int, err error) {
	w := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "processes"))
	for _, p := range w.procs {
		prepare(p.m)
	}
	for range rapid.IntRange(2, 10).Draw(t, "steps") {
		w.delay = rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "slow")
		w.lossRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lose")
		if rapid.Bool().Draw(t, "pause") {
			p := rapid.SampledFrom(w.procs).Draw(t, "who")
			p.pausedUntil = w.now + rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 15 * time.Second}).Draw(t, "for")
		}
		var n int
		if n, err = w.run(5 * time.Second); err != nil {
			return held, err
		}
		held += n
	}
	w.delay, w.lossRate = 10*time.Millisecond, 0
	for _, p := range w.procs {
		p.pausedUntil = 0
	}
	healed, err := w.run(4 * ttl)
	if err == nil && healed == 0 {
		err = fmt.Errorf("no process held the lease after the faults ended")
	}
	return held + healed, err
}

// TestOneHolder checks that the lease is never held by two processes at once
// under any pauses, delays and lost answers, provided that all clocks run at the
// same rate, and that it is acquired again after the faults end.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := history(t, func(*lease.Machine) {}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestOneHolderDetectsFaults checks that the check of TestOneHolder detects a
// holder that counts the held time from the wrong moment.
func TestOneHolderDetectsFaults(t *testing.T) {
	for name, fault := range map[string]func(*lease.Machine){
		"held from the answer": (*lease.Machine).CountFromAnswer,
		"held from the read":   (*lease.Machine).TrustRecord,
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := range 200 {
				if found = twoHolders(uint64(seed), fault); found {
					break
				}
			}
			if !found {
				t.Fatal("no history detected the fault")
			}
		})
	}
}

// twoHolders runs one fixed history of delayed answers and pauses and reports
// whether two processes held the lease at once.
func twoHolders(seed uint64, fault func(*lease.Machine)) bool {
	w := newSim(seed, 3)
	for _, p := range w.procs {
		fault(p.m)
	}
	for range 8 {
		w.delay, w.lossRate = 4*time.Second, 0.3
		w.procs[w.rng.IntN(len(w.procs))].pausedUntil = w.now + 15*time.Second
		if _, err := w.run(5 * time.Second); err != nil {
			return true
		}
	}
	return false
}

// TestReleasedLeaseIsAcquiredAtOnce checks that another process need not wait for a lease
// that was given up, uses a higher epoch, and that the one that gave it up does not count
// it as held again, whether its write was answered, failed, or was found by a read.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	for name, end := range map[string]func(m *lease.Machine, w lease.Write){
		"answered":    func(m *lease.Machine, _ lease.Write) { m.Written(start, 4) },
		"found":       func(m *lease.Machine, w lease.Write) { m.WriteUnknown(); m.Observe(start, w.Record, 4) },
		"not written": func(m *lease.Machine, _ lease.Write) { m.Refused() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := machine("a")
			m.Observe(start, lease.Record{}, 0)
			_, due := m.Release(start)
			is.True(!due) // it is not held
			_, _ = m.Next(start, true)
			_, due = m.Release(start)
			is.True(!due) // a write is in progress
			m.Written(start, 3)
			w, due := m.Release(start)
			is.True(due && m.Writing())
			is.Equal(w.Base, uint64(3))
			is.True(!m.Held(start)) // at once
			end(m, w)
			is.True(!m.Held(start) && !m.Writing())
			_, due = m.Next(start, false)
			is.True(!due)

			other := machine("b")
			other.Observe(start, w.Record, 4)
			is.True(other.Expired(start))
			is.Equal(other.ExpiresIn(start), time.Duration(0))
			taken, due := other.Next(start, true)
			is.True(due)
			is.Equal(taken, lease.Write{Record: lease.Record{Holder: "b", Address: "b", Epoch: 2, Round: 3}, Base: 4})
		})
	}
}
