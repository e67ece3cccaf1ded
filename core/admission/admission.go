// Package admission decides at a backend server's node which attempts run,
// which wait and which are refused: as many run as the backend server has
// slots, the rest wait in a bounded queue by priority class.
package admission

import "time"

// Class orders the queue; the smaller runs first.
type Class uint8

// The classes of requests.
const (
	Status Class = iota
	Interactive
	Batch
	classes
)

// Reason says why an attempt was refused.
type Reason string

// The reasons for a refusal. After SeenBefore and EarlierLife another copy of
// the attempt may have run; after the others it has not run.
const (
	Admitted     Reason = ""
	QueueFull    Reason = "queue full"
	TooLate      Reason = "deadline would pass before it could finish"
	NotServing   Reason = "backend server takes no new requests"
	Cancelled    Reason = "cancelled before it started"
	SeenBefore   Reason = "attempt was seen before"
	EarlierLife  Reason = "attempt was meant for an earlier life of this node"
	UnknownRoute Reason = "no route"
)

// Config holds the settings of a Queue.
type Config struct {
	Slots    int
	MaxQueue int
}

// ID names an attempt in all of the mesh: a random number of the process that
// made it, and its count there.
type ID struct {
	Origin uint64
	Number uint64
}

// Waiting is one attempt in the queue.
type Waiting struct {
	ID       ID
	Class    Class
	Deadline time.Time
}

// Queue holds the attempts at one backend server.
type Queue struct {
	cfg     Config
	running int
	queued  [classes][]Waiting
	length  int
	average time.Duration // smoothed time of a run
}

// New returns an empty Queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Arrive takes an attempt in: run reports that it starts now; otherwise it
// waits when reason is Admitted, or is refused.
func (q *Queue) Arrive(now time.Time, w Waiting) (run bool, reason Reason) {
	if q.running < q.cfg.Slots && q.length == 0 {
		q.running++
		return true, Admitted
	}
	if q.length >= q.cfg.MaxQueue {
		return false, QueueFull
	}
	ahead := q.ahead(w.Class) + 1
	wait := q.average * time.Duration(ahead) / time.Duration(max(q.cfg.Slots, 1))
	if now.Add(wait + q.average).After(w.Deadline) {
		return false, TooLate
	}
	q.queued[w.Class] = append(q.queued[w.Class], w)
	q.length++
	return false, Admitted
}

func (q *Queue) ahead(c Class) int {
	n := 0
	for i := Class(0); i <= c; i++ {
		n += len(q.queued[i])
	}
	return n
}

// Done counts the end of a run that took the given time, and returns what
// starts now and what was dropped because its deadline has passed.
func (q *Queue) Done(now time.Time, took time.Duration) (start, dropped []Waiting) {
	q.running = max(q.running-1, 0)
	const weight = 8
	q.average += (took - q.average) / weight
	return q.fill(now)
}

func (q *Queue) fill(now time.Time) (start, dropped []Waiting) {
	for q.running < q.cfg.Slots && q.length > 0 {
		w := q.pop()
		if now.After(w.Deadline) {
			dropped = append(dropped, w)
			continue
		}
		q.running++
		start = append(start, w)
	}
	return start, dropped
}

func (q *Queue) pop() Waiting {
	for c := range q.queued {
		if len(q.queued[c]) > 0 {
			w := q.queued[c][0]
			q.queued[c] = q.queued[c][1:]
			q.length--
			return w
		}
	}
	return Waiting{}
}

// Cancel takes a waiting attempt out and reports whether it was there.
func (q *Queue) Cancel(id ID) bool {
	for c := range q.queued {
		for i, w := range q.queued[c] {
			if w.ID == id {
				q.queued[c] = append(q.queued[c][:i:i], q.queued[c][i+1:]...)
				q.length--
				return true
			}
		}
	}
	return false
}

// Load returns the number running and the number waiting.
func (q *Queue) Load() (running, waiting int) { return q.running, q.length }
