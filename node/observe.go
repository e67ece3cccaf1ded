package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/eventlog"
)

// refusalsEvery is the time between two log lines that count refusals.
const refusalsEvery = 10 * time.Second

// unrouted stands for the class of a request that matched no route, or came
// before the node was ready.
const unrouted = "unrouted"

var classNames = map[admission.Class]string{
	admission.Status: "status", admission.Interactive: "interactive", admission.Batch: "batch",
}

// className returns the name of a class, that of the least urgent for those
// that have none.
func className(c admission.Class) string { return classNames[min(c, admission.Batch)] }

// otherReason stands for the reasons that have no counter of their own.
const otherReason admission.Reason = "other"

var reasonNames = map[admission.Reason]string{
	admission.QueueFull: "queue-full", admission.LinkFull: "link-full", admission.TooLate: "too-late", admission.NotServing: "not-serving",
	admission.Cancelled: "cancelled", admission.DuplicateAttempt: "seen-before", admission.WrongIncarnation: "earlier-life",
	admission.KeyUsed: "key-used", admission.KeysFull: "keys-full",
	otherReason: "other",
}

// maxAccepted bounds the submissions whose time until in force is taken.
const maxAccepted = 1024

// observer counts what goes into and comes out of the reducer, and logs what
// the reducer does not. The node's mutex guards it.
type observer struct {
	log   *eventlog.Logger
	clock Clock

	requests    map[string]metrics.Counter           // by class.outcome
	refusals    map[admission.Reason]metrics.Counter // of attempts
	retries     metrics.Counter
	run         metrics.Counter
	applied     metrics.Counter
	convergence metrics.Timer
	classes     map[core.CallID]string
	accepted    map[string]time.Time // submissions by ID, until in force
	tally       *tally

	loggedAt time.Time // refusals; the counts are those since
	notRun   int
	unknown  int
	noRoute  int
	refused  int // attempts at the own backend server
}

func newObserver(r metrics.Registry, log *eventlog.Logger, clock Clock) *observer {
	o := &observer{
		log: log, clock: clock,
		requests: map[string]metrics.Counter{}, refusals: map[admission.Reason]metrics.Counter{},
		retries:     metrics.GetOrRegisterCounter("requests.retries", r),
		run:         metrics.GetOrRegisterCounter("attempts.run", r),
		applied:     metrics.GetOrRegisterCounter("config.applied", r),
		convergence: metrics.GetOrRegisterTimer("config.convergence", r),
		classes:     map[core.CallID]string{}, accepted: map[string]time.Time{}, tally: newTally(r),
	}
	for _, class := range []string{"status", "interactive", "batch", unrouted} {
		for _, outcome := range []retry.Outcome{retry.Ran, retry.NotRun, retry.Unknown} {
			name := class + "." + outcome.String()
			o.requests[name] = metrics.GetOrRegisterCounter("requests."+name, r)
		}
	}
	for reason, name := range reasonNames {
		o.refusals[reason] = metrics.GetOrRegisterCounter("attempts.refused."+name, r)
	}
	return o
}

func (o *observer) event(e core.Event) {
	switch e := e.(type) {
	case core.AttemptEnded:
		if e.Outcome == retry.Ran && !e.Held {
			o.ended(e.Call, retry.Ran)
		}
	case core.LinkUp:
		o.log.Write(notice.LinkUp, core.Attr{Key: "link", Value: e.Link}, core.Attr{Key: "dialled", Value: e.Dialled})
	case core.Tick:
		o.logRefusals()
	}
}

func (o *observer) effect(e core.Effect) {
	switch e := e.(type) {
	case core.Forward:
		if _, again := o.classes[e.Call]; again {
			o.retries.Inc(1)
		}
		o.classes[e.Call] = className(e.Class)
	case core.PassOn:
		o.ended(e.Call, retry.Ran)
	case core.Finish:
		o.finished(e)
	case core.Run:
		o.run.Inc(1)
	case core.Refuse:
		o.attemptRefused(e)
	case core.Log:
		o.logged(e)
	}
}

// left forgets a call that is over.
func (o *observer) left(call core.CallID) { delete(o.classes, call) }

func (o *observer) ended(call core.CallID, outcome retry.Outcome) {
	class, ok := o.classes[call]
	if !ok {
		class = unrouted
	}
	delete(o.classes, call)
	if c, ok := o.requests[class+"."+outcome.String()]; ok {
		c.Inc(1)
	}
}

func (o *observer) finished(e core.Finish) {
	switch {
	case e.NoRoute:
		o.noRoute++
	case e.Outcome == retry.NotRun:
		o.notRun++
	case e.Outcome == retry.Unknown:
		o.unknown++
	}
	o.ended(e.Call, e.Outcome)
}

func (o *observer) attemptRefused(e core.Refuse) {
	o.refused++
	c, ok := o.refusals[e.Reason]
	if !ok {
		c = o.refusals[otherReason]
	}
	c.Inc(1)
}

// logged counts by the reducer's own events: versions applied, and at the
// publisher the time from acceptance until in force.
func (o *observer) logged(e core.Log) {
	o.tally.event(e)
	switch e.Code {
	case notice.ConfigApplied:
		o.applied.Inc(1)
	case notice.SubmissionAccepted:
		if len(o.accepted) >= maxAccepted {
			clear(o.accepted) // another publisher has taken over meanwhile
		}
		o.accepted[idOf(e)] = o.clock.Now()
	case notice.ConfigInForce:
		if since, ok := o.accepted[idOf(e)]; ok {
			delete(o.accepted, idOf(e))
			o.convergence.Update(o.clock.Now().Sub(since))
		}
	}
}

// idOf returns the submission that an event is about.
func idOf(e core.Log) string {
	for _, a := range e.Attrs {
		if id, ok := a.Value.(string); ok && a.Key == "id" {
			return id
		}
	}
	return ""
}

// logRefusals writes one line for the refusals since the last.
func (o *observer) logRefusals() {
	now := o.clock.Now()
	if now.Sub(o.loggedAt) < refusalsEvery {
		return
	}
	o.loggedAt = now
	if o.notRun+o.unknown+o.noRoute+o.refused == 0 {
		return
	}
	o.log.Write(notice.RequestsRefused,
		core.Attr{Key: "notRun", Value: o.notRun}, core.Attr{Key: "unknown", Value: o.unknown},
		core.Attr{Key: "noRoute", Value: o.noRoute}, core.Attr{Key: "attempts", Value: o.refused})
	o.notRun, o.unknown, o.noRoute, o.refused = 0, 0, 0, 0
}
