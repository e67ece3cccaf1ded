// Package uplink schedules what a host sends over its network link. Short responses
// and requests to other nodes are sent at once. Large responses get the bandwidth
// that these leave, one after another and the smaller ones first, so that the link is
// neither idle while a large response waits nor has a queue in which short ones wait.
package uplink

import (
	"math"
	"time"
)

// PieceBytes is the largest part of a large response that is sent at once. A short
// response waits behind at most one of them.
const PieceBytes = 16 << 10

// LargeBytes is the size from which a response counts as large.
const LargeBytes = 32 << 10

const (
	// maxTurn is the time for which the link sends one response before another one
	// that waits gets its turn: a response may be without end.
	maxTurn = time.Second
	// maxStretch bounds how long a response waits for smaller ones that began after it,
	// as a multiple of the time that the link needs for what is left of it.
	maxStretch = 2
	// maxAhead bounds how far large responses may be sent ahead of the link where the
	// process gets to send too rarely. Short responses wait behind what is sent ahead.
	maxAhead = 100 * time.Millisecond
	// lateWindow is the time constant with which an observed delay of the process is
	// forgotten.
	lateWindow = time.Second
	// maxDebt limits the time for which large responses wait after many short ones.
	maxDebt = time.Second
	// stalledAfter is the time after its last grant from which a transfer that has
	// not asked for another one counts as held up by its receiver.
	stalledAfter = 250 * time.Millisecond
	// othersWindow is the time constant over which the rate of everything but large
	// responses is averaged.
	othersWindow = time.Second
	// minOwedBytes is the debt from which a transfer waits. Less than a byte is a
	// rounding error.
	minOwedBytes = 1
	// minLargeShare is the least share of the link that large responses get, however much
	// else is sent: no answer whose run was admitted waits for others without end.
	minLargeShare = 0.1
)

// Load is the state of the link as it matters to another large response.
type Load struct {
	Backlog int64   // bytes of large responses that are ready and not sent, of each at most what it may send in its turn
	Rate    float64 // bytes per second that large responses get; zero: unknown
}

// Scheduler decides when large responses may be sent: those with less left before those
// with more, since so each byte of the link ends the most waits, and each within
// maxStretch and its deadline. One whose receiver is slow does not hold up the others,
// and one that has taken the link for maxTurn goes behind them. It performs no I/O, and
// the time is passed to it.
type Scheduler struct {
	rate      float64 // bytes per second; zero: unknown, nothing waits
	credit    float64 // bytes that may be sent now; negative: more was sent than the link carries
	least     float64 // as credit, at minLargeShare of the rate; large responses may use either
	prepaid   float64 // bytes that were granted and have not been recorded as sent
	refilled  time.Time
	awaited   *Transfer   // for which Grant has named a wait; nil: none since the last grant
	awaitedAt time.Time   // when that wait ends
	late      float64     // seconds by which the process was late for that, decayed over lateWindow
	transfers []*Transfer // in the order in which they began
	others    float64     // bytes of everything but large responses, decayed over othersWindow
	expected  int64       // bytes of large responses that are asked for and will be sent on
}

// Transfer is a large response that is being sent.
type Transfer struct {
	began     time.Time // since when it waits, or since its last turn ended
	deadline  time.Time // time until which its caller waits; zero: unknown
	left      int64     // bytes that are not sent yet, as far as known
	wants     int       // bytes of the piece that waits to be sent; zero: none
	turn      int64     // bytes granted since it was put behind the others
	grantedAt time.Time
}

// NewScheduler returns a Scheduler for a link that carries the given number of bytes
// per second; zero if that is unknown.
func NewScheduler(bytesPerSecond float64) *Scheduler { return &Scheduler{rate: bytesPerSecond} }

// refill adds the bandwidth since the last call to the credit.
func (s *Scheduler) refill(now time.Time) {
	elapsed := max(now.Sub(s.refilled), 0).Seconds()
	s.refilled = now
	s.credit = min(s.credit+s.rate*elapsed, PieceBytes)
	s.least = min(s.least+minLargeShare*s.rate*elapsed, 0)
	s.others *= math.Exp(-elapsed / othersWindow.Seconds())
	s.late *= math.Exp(-elapsed / lateWindow.Seconds())
}

// ahead returns how many bytes may be sent beyond what the link has carried by now: what
// it carries during a delay of the process, in which it would be idle otherwise.
func (s *Scheduler) ahead() float64 { return s.late * s.rate }

// observeDelay notes how long after the wait that Grant had named it is called.
func (s *Scheduler) observeDelay(now time.Time) {
	if s.awaited == nil || s.awaited.wants == 0 || !now.After(s.awaitedAt) {
		return
	}
	s.late = max(s.late, min(now.Sub(s.awaitedAt), maxAhead).Seconds())
	s.awaited = nil
}

// Sent records that n bytes were sent, of whatever kind.
func (s *Scheduler) Sent(now time.Time, n int) {
	s.refill(now)
	granted := min(float64(n), s.prepaid)
	s.prepaid -= granted
	other := float64(n) - granted
	s.others += other
	s.take(other)
}

// take takes n bytes from the credit.
func (s *Scheduler) take(n float64) { s.credit = max(s.credit-n, -s.rate*maxDebt.Seconds()) }

// Begin adds a transfer, whose caller waits until deadline; zero if that is unknown.
func (s *Scheduler) Begin(now, deadline time.Time) *Transfer {
	t := &Transfer{began: now, deadline: deadline}
	s.transfers = append(s.transfers, t)
	return t
}

// Expect records that a response of n bytes is asked for, which will be sent on over the
// link. It counts if it is large. Came must follow.
func (s *Scheduler) Expect(n int64) { s.expected += s.expectedBytes(n) }

// Came records that such a response is there, or will not come.
func (s *Scheduler) Came(n int64) { s.expected -= s.expectedBytes(n) }

func (s *Scheduler) expectedBytes(n int64) int64 {
	if n < LargeBytes {
		return 0
	}
	return s.inTurn(n)
}

// Want records that a transfer has a piece of n bytes to send, and that left bytes
// are not sent yet, these included.
func (s *Scheduler) Want(t *Transfer, n int, left int64) {
	t.wants, t.left = n, max(left, int64(n))
}

// End removes a transfer that has ended or is given up.
func (s *Scheduler) End(t *Transfer) {
	for i, other := range s.transfers {
		if other == t {
			s.transfers = append(s.transfers[:i], s.transfers[i+1:]...)
			t.wants = 0
			return
		}
	}
}

// Grant returns the transfer that may send its piece now. If none may, it returns how
// long the first one has to wait, zero if none waits: after that wait, with nothing else
// sent meanwhile, Grant returns it, whatever the processor's rounding.
func (s *Scheduler) Grant(now time.Time) (*Transfer, time.Duration) {
	t := s.mostUrgent(now)
	if t == nil {
		return nil, 0
	}
	s.refill(now)
	s.observeDelay(now)
	if wait := s.wait(); wait > 0 {
		s.awaited, s.awaitedAt = t, now.Add(wait)
		return nil, wait
	}
	n := t.wants
	s.take(float64(n))
	s.least = max(s.least-float64(n), -PieceBytes)
	s.prepaid = min(s.prepaid+float64(n), float64(len(s.transfers)*PieceBytes)) // a piece may be given up after its grant
	t.wants, t.left, t.grantedAt = 0, t.left-int64(n), now
	s.countTurn(now, t, n)
	return t, 0
}

// wait returns the time until a piece may be sent: until the link has carried what was
// sent, at most until minLargeShare of it has carried the piece before.
func (s *Scheduler) wait() time.Duration {
	owed, owedLeast := -s.credit-s.ahead(), -s.least
	if s.rate == 0 || owed < minOwedBytes || owedLeast < minOwedBytes {
		return 0
	}
	seconds := min(owed/s.rate, owedLeast/(minLargeShare*s.rate))
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// countTurn puts a transfer behind the others once it has taken the link for maxTurn.
func (s *Scheduler) countTurn(now time.Time, t *Transfer, n int) {
	t.turn += int64(n)
	if float64(t.turn) < s.rate*maxTurn.Seconds() {
		return
	}
	t.turn, t.began, t.deadline = 0, now, time.Time{} // without end it would be overdue for ever
	s.End(t)
	s.transfers = append(s.transfers, t)
}

// mostUrgent returns the waiting transfer that is due first, of several the one that
// began first. Those that the link can't end by their deadline come last. It returns nil
// if none waits.
func (s *Scheduler) mostUrgent(now time.Time) (first *Transfer) {
	var firstDue time.Time
	var firstEnds bool
	for _, t := range s.transfers {
		if t.wants == 0 {
			continue
		}
		due, ends := s.due(t), s.endsInTime(now, t)
		if first == nil || ends && !firstEnds || ends == firstEnds && due.Before(firstDue) {
			first, firstDue, firstEnds = t, due, ends
		}
	}
	return first
}

// endsInTime reports whether the link could end a transfer by its deadline if it sent
// nothing else.
func (s *Scheduler) endsInTime(now time.Time, t *Transfer) bool {
	return s.rate == 0 || t.deadline.IsZero() || !now.Add(s.timeFor(t.left)).After(t.deadline)
}

// due returns the time at which the rest of a transfer should be sent at the latest. It
// comes closer as the transfer proceeds, so that one is ended before another begins.
func (s *Scheduler) due(t *Transfer) time.Time {
	if s.rate == 0 {
		return t.began
	}
	due := t.began.Add(maxStretch * s.timeFor(t.left))
	if t.deadline.IsZero() {
		return due
	}
	whole := s.timeFor(t.turn + t.left)
	last := t.deadline.Add(-2*whole - s.timeFor(t.turn)) // it may go over the entry node's link next
	if last.Before(due) {
		return last
	}
	return due
}

// timeFor returns the time that the link needs for what a transfer may send of a number
// of bytes until others get their turn.
func (s *Scheduler) timeFor(bytes int64) time.Duration {
	return time.Duration(float64(s.inTurn(bytes)) / s.rate * float64(time.Second))
}

func (s *Scheduler) inTurn(bytes int64) int64 { return min(bytes, int64(s.rate*maxTurn.Seconds())) }

// RelayLoad returns the state of the link for a large response that another host is asked
// for. Its backlog includes the responses that are expected.
func (s *Scheduler) RelayLoad(now time.Time) Load {
	l := s.Load(now)
	l.Backlog += s.expected
	return l
}

// Load returns the state of the link for another large response.
func (s *Scheduler) Load(now time.Time) Load {
	s.refill(now)
	l := Load{Rate: max(s.rate-s.others/othersWindow.Seconds(), s.rate*minLargeShare)}
	for _, t := range s.transfers {
		if t.wants > 0 || now.Sub(t.grantedAt) < stalledAfter {
			l.Backlog += s.inTurn(t.left)
		}
	}
	return l
}
