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

// The numClasses of requests that have a name. Those up to MaxClass are less
// urgent, each more than the next.
const (
	Status Class = iota
	Interactive
	Batch

	MaxClass   Class = 7
	numClasses       = MaxClass + 1
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

// maxBypassed is the number of starts of more urgent classes that an attempt at
// the head of its class lets pass. Each class that waits so gets one start of
// maxBypassed+1 at least.
const maxBypassed = 8

// reservedDivisor is the part of the queue, for each class, from which a more urgent
// class can't push it out.
const reservedDivisor = 8

// smoothingWindow is the weight of the past in the smoothed time of a run and size of
// an answer. Before there are so many, it is their mean.
const smoothingWindow = 8

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

// Attempt is one attempt in the queue.
type Attempt struct {
	ID         ID
	Request    string // of the caller, for the log
	Class      Class
	Deadline   time.Time
	TargetTime time.Time // by when the caller is content with the answer; zero: not told
	arrived    time.Time
}

// Queue holds the attempts at one backend server.
type Queue struct {
	cfg           Config
	running       []Attempt // at most Slots
	waiting       [numClasses]fifo
	numWaiting    int
	bypassed      [numClasses]int           // starts of more urgent classes while this one waited
	avgRunTime    [numClasses]time.Duration // smoothed time of a run
	avgRunTimeAll time.Duration             // the same over all classes
	avgBytes      [numClasses]float64       // smoothed size of an answer
	runs          [numClasses]int           // runs, up to smoothing
	runsAll       int                       // the same over all classes
	link          Link
	emptyAt       time.Time // when the queue was empty last
	started       []Attempt
	dropped       []Attempt
	fault         fault
}

// fault turns single safeguards off. Tests set it to show that their checks
// notice; it is zero otherwise.
type fault struct {
	noBypass    bool // no class lets another one go first
	noWaitLimit bool // nothing is dropped for its wait
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
	Run     bool
	Reason  Reason
	Evicted []Attempt // pushed out of the queue to make room
}

// Arrive takes an attempt in or refuses it. Pushed is valid until the next
// call.
func (q *Queue) Arrive(now time.Time, w Attempt) Decision {
	w.arrived = now
	if q.numWaiting == 0 {
		q.emptyAt = now
	}
	switch {
	case !now.Before(w.Deadline):
		return Decision{Reason: TooLate}
	case !q.linkHasRoom(now, w):
		return Decision{Reason: LinkFull}
	case q.canStart(w.Class) && q.startsNext(w.Class):
		q.running = append(q.running, w)
		return Decision{Run: true}
	}
	wait := q.expectedWait(w.Class)
	switch {
	case now.Add(wait + q.avgRunTime[w.Class]).After(w.Deadline):
		return Decision{Reason: TooLate}
	case wait > q.cfg.MaxWait:
		return Decision{Reason: QueueFull}
	}
	q.dropped = q.dropped[:0]
	if q.numWaiting >= q.cfg.MaxQueue && !q.evictFor(w.Class) {
		return Decision{Reason: QueueFull}
	}
	q.waiting[w.Class].push(w)
	q.numWaiting++
	return Decision{Evicted: q.dropped}
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

// startsNext reports whether an arrival of a class is the next to start.
func (q *Queue) startsNext(c Class) bool {
	return q.numWaiting == 0 || c == Status && q.waiting[Status].len() == 0
}

// expectedWait estimates the time that an attempt of a class waits from now on.
func (q *Queue) expectedWait(c Class) time.Duration {
	ahead := 1
	for i := range c + 1 {
		ahead += q.waiting[i].len()
	}
	return q.avgRunTimeAll * time.Duration(ahead) / time.Duration(max(q.cfg.Slots, 1))
}

// evictFor makes room for a class by the youngest of the least urgent class
// that holds more than its kept share.
func (q *Queue) evictFor(c Class) bool {
	for i := numClasses - 1; i > c; i-- {
		if l := &q.waiting[i]; l.len() > q.cfg.MaxQueue/reservedDivisor {
			q.dropped = append(q.dropped, l.popLast())
			q.numWaiting--
			return true
		}
	}
	return false
}

// Done counts the end of a run that took the given time and has an answer of so
// many bytes, which goes out from now on. It returns how long the attempt had
// waited for a slot, what starts now and what was dropped because it waited too long or can't end by
// its deadline. The slices are valid until the next call.
func (q *Queue) Done(now time.Time, id ID, took time.Duration, bytes int64) (waited time.Duration, start, dropped []Attempt) {
	i := slices.IndexFunc(q.running, func(w Attempt) bool { return w.ID == id })
	if i < 0 {
		return 0, nil, nil
	}
	c := q.running[i].Class
	waited = max(now.Sub(q.running[i].arrived)-took, 0)
	q.running = slices.Delete(q.running, i, i+1)
	q.updateAverages(c, took, bytes)
	q.link.Send(now, bytes)
	start, dropped = q.startWaiting(now)
	return waited, start, dropped
}

// updateAverages takes what a run showed into the smoothed figures.
func (q *Queue) updateAverages(c Class, took time.Duration, bytes int64) {
	q.runs[c], q.runsAll = min(q.runs[c]+1, smoothingWindow), min(q.runsAll+1, smoothingWindow)
	q.avgRunTime[c] += (took - q.avgRunTime[c]) / time.Duration(q.runs[c])
	q.avgRunTimeAll += (took - q.avgRunTimeAll) / time.Duration(q.runsAll)
	q.avgBytes[c] += (float64(bytes) - q.avgBytes[c]) / float64(q.runs[c])
}

func (q *Queue) startWaiting(now time.Time) (start, dropped []Attempt) {
	q.started, q.dropped = q.started[:0], q.dropped[:0]
	for q.numWaiting > 0 {
		c := q.nextClass()
		if c == numClasses {
			break
		}
		w := q.waiting[c].pop()
		q.numWaiting--
		if q.overdue(now, w) {
			q.dropped = append(q.dropped, w)
			continue
		}
		q.countBypassed(c)
		q.running = append(q.running, w)
		q.started = append(q.started, w)
	}
	if q.numWaiting == 0 {
		q.emptyAt = now
	}
	return q.started, q.dropped
}

// nextClass returns the class whose head starts nextClass: the most urgent, unless one
// has let enough of them pass. It returns classes if none can start.
func (q *Queue) nextClass() Class {
	first := numClasses
	for c := range numClasses {
		if q.waiting[c].len() == 0 || !q.canStart(c) {
			continue
		}
		if q.bypassed[c] >= maxBypassed && !q.fault.noBypass {
			return c
		}
		first = min(first, c)
	}
	return first
}

// countBypassed notes that a class starts, past those that are less urgent.
func (q *Queue) countBypassed(started Class) {
	q.bypassed[started] = 0
	for c := started + 1; c < numClasses; c++ {
		q.bypassed[c]++
		if q.waiting[c].len() == 0 {
			q.bypassed[c] = 0
		}
	}
}

// overdue reports whether an attempt has waited too long, or is past the time at
// which it could end by its deadline.
func (q *Queue) overdue(now time.Time, w Attempt) bool {
	if q.fault.noWaitLimit {
		return false
	}
	return now.Sub(w.arrived) > q.maxWait(now, w.Class) || now.Add(q.avgRunTime[w.Class]).After(w.Deadline)
}

func (q *Queue) maxWait(now time.Time, c Class) time.Duration {
	if c != Status && now.Sub(q.emptyAt) > q.cfg.Interval {
		return q.cfg.Target
	}
	return q.cfg.MaxWait
}

// Expire drops what has waited too long, when no run ends for a long time.
// The slice is valid until the next call.
func (q *Queue) Expire(now time.Time) []Attempt {
	q.dropped = q.dropped[:0]
	for c := range numClasses {
		for l := &q.waiting[c]; l.len() > 0 && q.overdue(now, l.head()); q.numWaiting-- {
			q.dropped = append(q.dropped, l.pop())
		}
	}
	return q.dropped
}

// Cancel takes a waiting attempt out and reports whether it was there.
func (q *Queue) Cancel(id ID) (Attempt, bool) {
	for c := range numClasses {
		if w, ok := q.waiting[c].remove(id); ok {
			q.numWaiting--
			return w, true
		}
	}
	return Attempt{}, false
}

// Load returns the number running and the number waiting.
func (q *Queue) Load() (running, waiting int) { return len(q.running), q.numWaiting }

// WaitingIn returns the number of a class that wait.
func (q *Queue) WaitingIn(c Class) int { return q.waiting[c].len() }
