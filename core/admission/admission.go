// Package admission implements admission control at a backend server's node.
// As many attempts run as the backend server has slots. The rest wait in a
// bounded queue, ordered by priority class, for a bounded time, or are refused.
package admission

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// Config holds the settings of a Queue.
type Config struct {
	Slots       int           // attempts that run concurrently
	StatusSlots int           // the part of Slots that is reserved for class Status
	MaxQueue    int           // maximum number of waiting attempts over all classes
	MaxWait     time.Duration // maximum time an attempt waits in the queue
	// Target replaces MaxWait once the queue has not been empty for Interval
	// (controlled delay: Nichols and Jacobson, "Controlling Queue Delay"). A
	// standing queue delays every answer without increasing throughput. For class
	// Status, only its own part of the queue counts: it goes before the others.
	Target   time.Duration
	Interval time.Duration
}

// DefaultConfig returns the default settings for a number of slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots: slots, MaxQueue: 8 * slots, MaxWait: time.Second,
		Target: 100 * time.Millisecond, Interval: 500 * time.Millisecond,
	}
}

// reservedDivisor is the divisor of MaxQueue that gives the part of the queue
// reserved for each class. More urgent classes can't evict attempts from it.
const reservedDivisor = 8

// smoothingWindow is the number of samples over which run times and answer sizes
// are exponentially smoothed. Until there are as many, the plain mean is used.
const smoothingWindow = 8

// Queue holds the running and waiting attempts of one backend server.
type Queue struct {
	cfg           Config
	running       []Attempt // at most Slots, except after SetSlots has lowered it
	waiting       [numClasses]line
	numWaiting    int
	bypassed      [numClasses]int           // starts of more urgent classes since the last start of this class while it waited
	avgRunTime    [numClasses]time.Duration // smoothed run time
	avgRunTimeAll time.Duration             // smoothed run time over all classes
	runRefused    [numClasses]time.Time     // first refusal for avgRunTime since a run ended; zero: none
	sizeRefused   [numClasses]time.Time     // first refusal for avgBytes since an answer was added to it; zero: none
	avgBytes      [numClasses]float64       // smoothed size in bytes of answers that are not known to be small
	runs          [numClasses]int           // finished runs, at most smoothingWindow
	failedShare   [numClasses]float64       // smoothed share of runs that failed
	answers       [numClasses]int           // answers in avgBytes, at most smoothingWindow
	runsAll       int                       // finished runs over all classes, at most smoothingWindow
	rate          rate                      // limit on starts
	link          uplink.Load               // state of the host's network link, as last reported
	patience      [numClasses]patience      // how long attempts with large answers could recently wait for the link
	emptyAt       time.Time                 // when nothing was last waiting that could meet its target time
	statusEmptyAt time.Time                 // the same of class Status alone
	started       []Attempt                 // returned by startWaiting; reused by the next call
	dropped       []Attempt                 // returned by several methods; reused by the next call
	fault         fault
}

// fault disables single safeguards. Tests set it to show that their checks
// detect the fault; otherwise it is zero.
type fault struct {
	noBypass    bool // strict priority: a bypassed class never gets its guaranteed start
	noWaitLimit bool // no attempt is dropped because of its wait
	overCommit  bool // one more attempt runs than there are slots
	linkIgnored bool // link capacity is not checked
	rateIgnored bool // the rate limit is not checked
}

// New returns an empty Queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg} }

// SetSlots sets the number of attempts that may run concurrently. Attempts that
// are already running are not affected.
func (q *Queue) SetSlots(n int) { q.cfg.Slots = n }

// Decision is the result of an arrival.
type Decision struct {
	Run         bool          // the attempt starts now; if false and it is admitted, it waits
	Reason      Reason        // Admitted for an attempt that starts or waits
	LinkOpensIn time.Duration // if Reason is LinkFull: time until the link will have room if no other attempt comes
	Evicted     []Attempt     // attempts removed from the queue for this one: less urgent ones, or one that is late
	EvictedFor  Reason        // why they were removed
}

// Arrive admits an attempt or refuses it. The slice Decision.Evicted is valid
// until the next call.
func (q *Queue) Arrive(now time.Time, a Attempt) Decision {
	a.arrived = now
	q.expectBytes(a)
	linkOpensIn := q.linkOpensIn(now, a)
	q.noteEmpty(now)
	switch {
	case !now.Before(a.Deadline):
		return Decision{Reason: TooLate}
	case !q.rateHasRoom(now, a.Class):
		return Decision{Reason: RateLimited}
	case linkOpensIn > 0:
		return Decision{Reason: LinkFull, LinkOpensIn: linkOpensIn}
	case q.canStart(a.Class) && q.startsNext(a.Class):
		q.dropped = q.dropped[:0]
		q.evictBeyondRate(1)
		q.begin(now, a)
		return Decision{Run: true, Evicted: q.dropped, EvictedFor: RateLimited}
	}
	return q.enqueue(now, a)
}

// enqueue lets an attempt wait, or refuses it.
func (q *Queue) enqueue(now time.Time, a Attempt) Decision {
	wait := q.expectedWait(a.Class, false)
	late := q.missesTarget(now.Add(wait), a)
	if late {
		wait = q.expectedWait(a.Class, true)
	}
	switch {
	case q.wouldEndLate(now.Add(wait), now, a):
		return Decision{Reason: TooLate}
	case wait > q.cfg.MaxWait, late && q.isStanding(now, a.Class):
		return Decision{Reason: QueueFull}
	}
	q.dropped = q.dropped[:0]
	if q.numWaiting >= q.cfg.MaxQueue && !q.evictFor(a.Class, late) {
		return Decision{Reason: QueueFull}
	}
	reason := QueueFull
	if len(q.dropped) == 0 {
		q.evictBeyondRate(1)
		reason = RateLimited
	}
	q.waiting[a.Class].push(a, late)
	q.numWaiting++
	return Decision{Evicted: q.dropped, EvictedFor: reason}
}

// begin starts an attempt.
func (q *Queue) begin(now time.Time, a Attempt) {
	q.takeToken()
	a.started = now
	q.running = append(q.running, a)
}

// canStart reports whether a slot is free for an attempt of a class.
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

// startsNext reports whether a new arrival of a class would be the next attempt
// to start.
func (q *Queue) startsNext(c Class) bool {
	return q.numWaiting == 0 || c == Status && q.waiting[Status].len() == 0
}

// expectedWait estimates how long a new arrival of a class will wait. One that is late for
// its target time waits for all others of its class.
func (q *Queue) expectedWait(c Class, late bool) time.Duration {
	ahead := 1 + q.waiting[c].timely.len()
	if late {
		ahead += q.waiting[c].late.len()
	}
	for i := range c {
		ahead += q.waiting[i].len()
	}
	return q.avgRunTimeAll * time.Duration(ahead) / time.Duration(max(q.cfg.Slots, 1))
}

// evictFor makes room for an attempt of a class. It evicts the newest attempt of
// the least urgent class that holds more than its reserved part of the queue,
// and reports whether there was one. If there was none, one of its own class that is late for
// its target time makes room for one that is not.
func (q *Queue) evictFor(c Class, late bool) bool {
	for i := numClasses - 1; i > c; i-- {
		if l := &q.waiting[i]; l.len() > q.cfg.MaxQueue/reservedDivisor {
			q.evictLast(l)
			return true
		}
	}
	if l := &q.waiting[c]; !late && l.late.len() > 0 {
		q.evictLast(l)
		return true
	}
	return false
}

func (q *Queue) evictLast(l *line) {
	q.dropped = append(q.dropped, l.popLast())
	q.numWaiting--
}

// Run is the result of a run.
type Run struct {
	Took   time.Duration
	Bytes  int64 // size of the answer
	Failed bool  // the answer is an error or incomplete: its size is not typical of the class
	// Starved is set if the run failed while calls of this host find no room: it says nothing of
	// how many runs fail otherwise, and more of them would take more of what is short.
	Starved bool
}

// Done records the end of a run. It returns how long the attempt had waited for a
// slot, the attempts to start now, and the attempts dropped because they waited too
// long or can't finish by their deadline. The slices are valid until the next call.
func (q *Queue) Done(now time.Time, id ID, run Run) (waited time.Duration, start, dropped []Attempt) {
	i := slices.IndexFunc(q.running, func(w Attempt) bool { return w.ID == id })
	if i < 0 {
		return 0, nil, nil
	}
	c, small := q.running[i].Class, q.running[i].isSmall()
	waited = max(now.Sub(q.running[i].arrived)-run.Took, 0)
	q.running = slices.Delete(q.running, i, i+1)
	q.updateRunTimes(now, c, run.Took)
	if !run.Starved {
		q.updateFailed(c, run.Failed)
	}
	if !run.Failed && !small {
		q.updateBytes(now, c, run.Bytes)
	}
	start, dropped = q.startWaiting(now)
	return waited, start, dropped
}

// updateRunTimes adds a finished run to the smoothed run times.
func (q *Queue) updateRunTimes(now time.Time, c Class, took time.Duration) {
	if q.runTrialDue(now, c) {
		q.runs[c] = 0 // the trial replaces what was known of the class
	}
	q.runRefused[c] = time.Time{}
	q.runs[c], q.runsAll = min(q.runs[c]+1, smoothingWindow), min(q.runsAll+1, smoothingWindow)
	q.avgRunTime[c] += (took - q.avgRunTime[c]) / time.Duration(q.runs[c])
	q.avgRunTimeAll += (took - q.avgRunTimeAll) / time.Duration(q.runsAll)
}

// updateFailed adds a finished run to the smoothed share of those that failed.
func (q *Queue) updateFailed(c Class, failed bool) {
	share := 0.0
	if failed {
		share = 1
	}
	q.failedShare[c] += (share - q.failedShare[c]) / smoothingWindow
}

// updateBytes adds an answer to the smoothed sizes of those that are not known to be small.
func (q *Queue) updateBytes(now time.Time, c Class, bytes int64) {
	if q.sizeTrialDue(now, c) {
		q.answers[c] = 0
	}
	q.sizeRefused[c] = time.Time{}
	q.answers[c] = min(q.answers[c]+1, smoothingWindow)
	q.avgBytes[c] += (float64(bytes) - q.avgBytes[c]) / float64(q.answers[c])
}

// Load returns the numbers of running and of waiting attempts.
func (q *Queue) Load() (running, waiting int) { return len(q.running), q.numWaiting }

// WaitingInTime returns the number of waiting attempts that are not known to be late for their
// target time. These are the ones for which another one would wait.
func (q *Queue) WaitingInTime() int {
	n := 0
	for c := range q.waiting {
		n += q.waiting[c].timely.len()
	}
	return n
}

// WaitingIn returns the number of waiting attempts of a class.
func (q *Queue) WaitingIn(c Class) int { return q.waiting[c].len() }
