// Package admission decides at a backend server's node which attempts run,
// which wait and which are refused: as many run as the backend server has
// slots, the rest wait in a bounded queue by priority class, for a bounded
// time.
package admission

import (
	"slices"
	"strconv"
	"time"
)

// Class orders the queue; the smaller runs first.
type Class uint8

// The classes of requests that have a name. Those up to MaxClass are less
// urgent, each more than the next.
const (
	Status Class = iota
	Interactive
	Batch

	MaxClass Class = 7
	classes        = MaxClass + 1
)

// Reason says why an attempt was refused.
type Reason string

// The reasons for a refusal. After SeenBefore and EarlierLife another copy of
// the attempt may have run, after KeyUsed another request with its key; after
// the others it has not run.
const (
	Admitted     Reason = ""
	QueueFull    Reason = "queue full"
	LinkFull     Reason = "the host's link has no room for the answer in time"
	TooLate      Reason = "deadline would pass before it could finish"
	NotServing   Reason = "backend server takes no new requests"
	Cancelled    Reason = "cancelled before it started"
	SeenBefore   Reason = "attempt was seen before"
	KeyUsed      Reason = "a request with this Idempotency-Key came before"
	KeysFull     Reason = "too many idempotency keys are held"
	EarlierLife  Reason = "attempt was meant for an earlier life of this node"
	UnknownRoute Reason = "no route"
)

// Config holds the settings of a Queue.
type Config struct {
	Slots       int
	StatusSlots int           // of Slots, those that run nothing but Status
	MaxQueue    int           // attempts that wait, of all classes
	MaxWait     time.Duration // none waits longer
	// Target is the longest wait of all but Status once the queue has not been
	// empty for Interval (controlled delay: Nichols and Jacobson, "Controlling
	// Queue Delay"). A queue that stands makes every answer late, and runs no
	// more of them.
	Target   time.Duration
	Interval time.Duration
	// LinkBytes is what the host's network link carries of large answers in a
	// second; zero: not known, and no attempt is refused for it.
	LinkBytes float64
}

// DefaultConfig returns the settings used where none are given.
func DefaultConfig(slots int) Config {
	return Config{
		Slots: slots, MaxQueue: 8 * slots, MaxWait: time.Second,
		Target: 100 * time.Millisecond, Interval: 500 * time.Millisecond,
	}
}

// maxPassed is the number of starts of more urgent classes that an attempt at
// the head of its class lets pass. Each class that waits so gets one start of
// maxPassed+1 at least.
const maxPassed = 8

// keptShare is the part of the queue, for each class, from which a more urgent
// class can't push it out.
const keptShare = 8

// smoothing is the weight of the past in the smoothed time of a run and size of
// an answer. Before there are so many, it is their mean.
const smoothing = 8

// ID names an attempt in all of the mesh: a random number of the process that
// made it, and its count there.
type ID struct {
	Origin uint64
	Number uint64
}

// String returns the ID as it stands in headers and logs.
func (id ID) String() string {
	return strconv.FormatUint(id.Origin, 16) + "-" + strconv.FormatUint(id.Number, 16)
}

// Waiting is one attempt in the queue.
type Waiting struct {
	ID       ID
	Request  string // of the caller, for the log
	Class    Class
	Deadline time.Time
	Wanted   time.Time // by when the caller is content with the answer; zero: not told
	arrived  time.Time
}

// Queue holds the attempts at one backend server.
type Queue struct {
	cfg      Config
	running  []Waiting // at most Slots
	lines    [classes]line
	length   int
	passed   [classes]int           // starts of more urgent classes while this one waited
	average  [classes]time.Duration // smoothed time of a run
	overall  time.Duration          // the same over all classes
	bytes    [classes]float64       // smoothed size of an answer
	ended    [classes]int           // runs, up to smoothing
	endedAll int                    // the same over all classes
	link     Link
	emptyAt  time.Time // when the queue was empty last
	starts   []Waiting
	droppeds []Waiting
	fault    fault
}

// fault turns single safeguards off. Tests set it to show that their checks
// notice; it is zero otherwise.
type fault struct {
	strict      bool // no class lets another one go first
	waitOn      bool // nothing is dropped for its wait
	overCommit  bool // one more runs than there are slots
	linkIgnored bool // the room on the link is not looked at
}

// New returns an empty Queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg, link: NewLink(cfg.LinkBytes)} }

// SetSlots changes the number of attempts that run at once. Those that run
// already are not touched.
func (q *Queue) SetSlots(n int) { q.cfg.Slots = n }

// Decision is the answer to an arrival. Reason is Admitted for an attempt that
// runs now or waits.
type Decision struct {
	Run    bool
	Reason Reason
	Pushed []Waiting // pushed out of the queue to make room
}

// Arrive takes an attempt in or refuses it. Pushed is valid until the next
// call.
func (q *Queue) Arrive(now time.Time, w Waiting) Decision {
	w.arrived = now
	if q.length == 0 {
		q.emptyAt = now
	}
	switch {
	case !now.Before(w.Deadline):
		return Decision{Reason: TooLate}
	case !q.hasRoom(now, w):
		return Decision{Reason: LinkFull}
	case q.canStart(w.Class) && q.nothingBefore(w.Class):
		q.running = append(q.running, w)
		return Decision{Run: true}
	}
	wait := q.wait(w.Class)
	switch {
	case now.Add(wait + q.average[w.Class]).After(w.Deadline):
		return Decision{Reason: TooLate}
	case wait > q.cfg.MaxWait:
		return Decision{Reason: QueueFull}
	}
	q.droppeds = q.droppeds[:0]
	if q.length >= q.cfg.MaxQueue && !q.pushOut(w.Class) {
		return Decision{Reason: QueueFull}
	}
	q.lines[w.Class].push(w)
	q.length++
	return Decision{Pushed: q.droppeds}
}

// canStart reports whether a slot is free for a class.
func (q *Queue) canStart(c Class) bool {
	free := q.cfg.Slots - len(q.running)
	if q.fault.overCommit {
		free++
	}
	if c == Status {
		return free > 0
	}
	others := 0
	for i := range q.running {
		if q.running[i].Class != Status {
			others++
		}
	}
	return free > 0 && others < max(q.cfg.Slots-q.cfg.StatusSlots, 1)
}

// nothingBefore reports whether an arrival of a class is the next to start.
func (q *Queue) nothingBefore(c Class) bool {
	return q.length == 0 || c == Status && q.lines[Status].len() == 0
}

// wait estimates the time that an attempt of a class waits from now on.
func (q *Queue) wait(c Class) time.Duration {
	ahead := 1
	for i := range c + 1 {
		ahead += q.lines[i].len()
	}
	return q.overall * time.Duration(ahead) / time.Duration(max(q.cfg.Slots, 1))
}

// pushOut makes room for a class by the youngest of the least urgent class
// that holds more than its kept share.
func (q *Queue) pushOut(c Class) bool {
	for i := classes - 1; i > c; i-- {
		if l := &q.lines[i]; l.len() > q.cfg.MaxQueue/keptShare {
			q.droppeds = append(q.droppeds, l.popLast())
			q.length--
			return true
		}
	}
	return false
}

// Done counts the end of a run that took the given time and has an answer of so
// many bytes, which goes out from now on. It returns how long the attempt had
// waited for a slot, what starts now and what was dropped because it waited too long or can't end by
// its deadline. The slices are valid until the next call.
func (q *Queue) Done(now time.Time, id ID, took time.Duration, bytes int64) (waited time.Duration, start, dropped []Waiting) {
	i := slices.IndexFunc(q.running, func(w Waiting) bool { return w.ID == id })
	if i < 0 {
		return 0, nil, nil
	}
	c := q.running[i].Class
	waited = max(now.Sub(q.running[i].arrived)-took, 0)
	q.running = slices.Delete(q.running, i, i+1)
	q.learn(c, took, bytes)
	q.link.Send(now, bytes)
	start, dropped = q.fill(now)
	return waited, start, dropped
}

// learn takes what a run showed into the smoothed figures.
func (q *Queue) learn(c Class, took time.Duration, bytes int64) {
	q.ended[c], q.endedAll = min(q.ended[c]+1, smoothing), min(q.endedAll+1, smoothing)
	q.average[c] += (took - q.average[c]) / time.Duration(q.ended[c])
	q.overall += (took - q.overall) / time.Duration(q.endedAll)
	q.bytes[c] += (float64(bytes) - q.bytes[c]) / float64(q.ended[c])
}

func (q *Queue) fill(now time.Time) (start, dropped []Waiting) {
	q.starts, q.droppeds = q.starts[:0], q.droppeds[:0]
	for q.length > 0 {
		c := q.next()
		if c == classes {
			break
		}
		w := q.lines[c].pop()
		q.length--
		if q.late(now, w) {
			q.droppeds = append(q.droppeds, w)
			continue
		}
		q.count(c)
		q.running = append(q.running, w)
		q.starts = append(q.starts, w)
	}
	if q.length == 0 {
		q.emptyAt = now
	}
	return q.starts, q.droppeds
}

// next returns the class whose head starts next: the most urgent, unless one
// has let enough of them pass. It returns classes if none can start.
func (q *Queue) next() Class {
	first := classes
	for c := range classes {
		if q.lines[c].len() == 0 || !q.canStart(c) {
			continue
		}
		if q.passed[c] >= maxPassed && !q.fault.strict {
			return c
		}
		first = min(first, c)
	}
	return first
}

// count notes that a class starts, past those that are less urgent.
func (q *Queue) count(started Class) {
	q.passed[started] = 0
	for c := started + 1; c < classes; c++ {
		q.passed[c]++
		if q.lines[c].len() == 0 {
			q.passed[c] = 0
		}
	}
}

// late reports whether an attempt has waited too long, or is past the time at
// which it could end by its deadline.
func (q *Queue) late(now time.Time, w Waiting) bool {
	if q.fault.waitOn {
		return false
	}
	return now.Sub(w.arrived) > q.maxWait(now, w.Class) || now.Add(q.average[w.Class]).After(w.Deadline)
}

func (q *Queue) maxWait(now time.Time, c Class) time.Duration {
	if c != Status && now.Sub(q.emptyAt) > q.cfg.Interval {
		return q.cfg.Target
	}
	return q.cfg.MaxWait
}

// Expire drops what has waited too long, when no run ends for a long time.
// The slice is valid until the next call.
func (q *Queue) Expire(now time.Time) []Waiting {
	q.droppeds = q.droppeds[:0]
	for c := range classes {
		for l := &q.lines[c]; l.len() > 0 && q.late(now, l.head()); q.length-- {
			q.droppeds = append(q.droppeds, l.pop())
		}
	}
	return q.droppeds
}

// Cancel takes a waiting attempt out and reports whether it was there.
func (q *Queue) Cancel(id ID) (Waiting, bool) {
	for c := range classes {
		if w, ok := q.lines[c].remove(id); ok {
			q.length--
			return w, true
		}
	}
	return Waiting{}, false
}

// Load returns the number running and the number waiting.
func (q *Queue) Load() (running, waiting int) { return len(q.running), q.length }

// WaitingOf returns the number of a class that wait.
func (q *Queue) WaitingOf(c Class) int { return q.lines[c].len() }
