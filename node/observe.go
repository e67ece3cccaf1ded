package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/eventlog"
)

// refusalLogInterval is the shortest time between two log lines with the number
// of refusals.
const refusalLogInterval = 10 * time.Second

// unrouted is the class name for requests that matched no route or arrived before
// the node was ready.
const unrouted = "unrouted"

var classNames = map[admission.Class]string{
	admission.Status: "status", admission.Interactive: "interactive", admission.Batch: "batch",
}

// className returns the name of a class. A class without a name counts as the
// least urgent one.
func className(c admission.Class) string { return classNames[min(c, admission.Batch)] }

// otherReason is the reason under which refusals are counted whose own reason has
// no counter.
const otherReason admission.Reason = "other"

var reasonNames = map[admission.Reason]string{
	admission.QueueFull: "queue-full", admission.LinkFull: "link-full", admission.RateLimited: "rate-limited", admission.TooLate: "too-late", admission.NotServing: "not-serving",
	admission.Cancelled: "cancelled", admission.DuplicateAttempt: "seen-before", admission.WrongIncarnation: "earlier-life",
	admission.KeyUsed: "key-used", admission.KeysFull: "keys-full",
	otherReason: "other",
}

// maxTimedSubmissions is the largest number of submissions whose time until in
// force is being measured.
const maxTimedSubmissions = 1024

// observer updates metrics from the events and effects of the reducer, and logs
// events that the reducer does not log. It is guarded by the node's mutex.
type observer struct {
	log   *eventlog.Logger
	clock Clock

	requests    map[string]metrics.Counter           // by class.outcome
	refusals    map[admission.Reason]metrics.Counter // of attempts, by reason
	retries     metrics.Counter
	noAccount   metrics.Counter
	overQuota   metrics.Counter
	quotaAsks   metrics.Counter
	attemptsRun metrics.Counter
	applied     metrics.Counter
	convergence metrics.Timer
	classes     map[core.CallID]string // class names of open calls that were forwarded
	acceptedAt  map[string]time.Time   // acceptance times of submissions by ID, until in force
	tally       *tally

	refusalsLoggedAt time.Time // when refusals were last logged; the counts below are since then
	notRun           int       // calls that ended as not run
	unknown          int       // calls that ended with an unknown outcome
	noRoute          int       // calls without a matching route
	attemptsRefused  int       // attempts refused at the node's backend server
	overloadedBefore int64     // count of overloaded at refusalsLoggedAt

	overloaded metrics.Counter // requests and attempts refused for lack of room in this process

	uplink uplinkLog
}

func newObserver(r metrics.Registry, log *eventlog.Logger, clock Clock) *observer {
	o := &observer{
		log: log, clock: clock,
		requests: map[string]metrics.Counter{}, refusals: map[admission.Reason]metrics.Counter{},
		retries:     metrics.GetOrRegisterCounter("requests.retries", r),
		noAccount:   metrics.GetOrRegisterCounter("accounts.unknown", r),
		overQuota:   metrics.GetOrRegisterCounter("accounts.exceeded", r),
		quotaAsks:   metrics.GetOrRegisterCounter("quota.asks", r),
		attemptsRun: metrics.GetOrRegisterCounter("attempts.run", r),
		applied:     metrics.GetOrRegisterCounter("config.applied", r),
		convergence: metrics.GetOrRegisterTimer("config.convergence", r),
		overloaded:  metrics.GetOrRegisterCounter("proxy.overloaded", r),
		uplink:      newUplinkLog(r),
		classes:     map[core.CallID]string{}, acceptedAt: map[string]time.Time{}, tally: newTally(r),
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
		if e.Outcome == retry.Ran && !e.AnswerHeld {
			o.requestEnded(e.Call, retry.Ran)
		}
	case core.LinkUp:
		o.log.Write(notice.LinkUp, core.Attr{Key: "link", Value: e.Link}, core.Attr{Key: "dialled", Value: e.Dialled})
	case core.Tick:
		o.logRefusals()
		o.uplink.write(o.log, o.clock.Now())
	}
}

func (o *observer) effect(e core.Effect) {
	switch e := e.(type) {
	case core.Forward:
		if _, again := o.classes[e.Call]; again {
			o.retries.Inc(1)
		}
		o.classes[e.Call] = className(e.Class)
	case core.ReleaseAnswer:
		o.requestEnded(e.Call, retry.Ran)
	case core.Finish:
		o.requestFinished(e)
	case core.Run:
		o.attemptsRun.Inc(1)
	case core.Refuse:
		o.attemptRefused(e)
	case core.Log:
		o.countLogEvent(e)
	case core.Send:
		if _, asks := e.Message.(message.QuotaAsk); asks {
			o.quotaAsks.Inc(1)
		}
	}
}

// callClosed deletes the class name of a call that has ended.
func (o *observer) callClosed(call core.CallID) { delete(o.classes, call) }

func (o *observer) requestEnded(call core.CallID, outcome retry.Outcome) {
	class, ok := o.classes[call]
	if !ok {
		class = unrouted
	}
	delete(o.classes, call)
	if c, ok := o.requests[class+"."+outcome.String()]; ok {
		c.Inc(1)
	}
}

func (o *observer) requestFinished(e core.Finish) {
	switch {
	case e.NoAccount:
		o.noAccount.Inc(1)
	case e.OverQuota:
		o.overQuota.Inc(1)
	case e.NoRoute:
		o.noRoute++
	case e.Outcome == retry.NotRun:
		o.notRun++
	case e.Outcome == retry.Unknown:
		o.unknown++
	}
	o.requestEnded(e.Call, e.Outcome)
}

func (o *observer) attemptRefused(e core.Refuse) {
	o.attemptsRefused++
	c, ok := o.refusals[e.Reason]
	if !ok {
		c = o.refusals[otherReason]
	}
	c.Inc(1)
}

// countLogEvent updates metrics from the log events of the reducer: versions
// applied and, at the publisher, the time from acceptance until in force.
func (o *observer) countLogEvent(e core.Log) {
	o.tally.event(e)
	switch e.Code {
	case notice.ConfigApplied:
		o.applied.Inc(1)
	case notice.SubmissionAccepted:
		if len(o.acceptedAt) >= maxTimedSubmissions {
			clear(o.acceptedAt) // entries remain if another node has become publisher
		}
		o.acceptedAt[submissionID(e)] = o.clock.Now()
	case notice.ConfigInForce:
		if since, ok := o.acceptedAt[submissionID(e)]; ok {
			delete(o.acceptedAt, submissionID(e))
			o.convergence.Update(o.clock.Now().Sub(since))
		}
	}
}

// submissionID returns the ID of the submission to which an event relates.
func submissionID(e core.Log) string {
	for _, a := range e.Attrs {
		if id, ok := a.Value.(string); ok && a.Key == "id" {
			return id
		}
	}
	return ""
}

// logRefusals writes one log line for the refusals since the previous one.
func (o *observer) logRefusals() {
	now := o.clock.Now()
	if now.Sub(o.refusalsLoggedAt) < refusalLogInterval {
		return
	}
	o.refusalsLoggedAt = now
	overloaded := o.overloaded.Count()
	noRoom := overloaded - o.overloadedBefore
	o.overloadedBefore = overloaded
	if o.notRun+o.unknown+o.noRoute+o.attemptsRefused == 0 && noRoom == 0 {
		return
	}
	o.log.Write(notice.RequestsRefused,
		core.Attr{Key: "notRun", Value: o.notRun}, core.Attr{Key: "unknown", Value: o.unknown},
		core.Attr{Key: "noRoute", Value: o.noRoute}, core.Attr{Key: "attempts", Value: o.attemptsRefused},
		core.Attr{Key: "noRoom", Value: noRoom})
	o.notRun, o.unknown, o.noRoute, o.attemptsRefused = 0, 0, 0, 0
}
