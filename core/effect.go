package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
)

// Effect is an action that the caller of Reduce executes: one of the types
// below. The effects of one Reduce are executed in order.
type Effect interface{ isEffect() }

// StoreGet reads one object from the platform.
type StoreGet struct {
	Call StoreCallID
	Key  string
}

// StoreList reads all objects under a prefix.
type StoreList struct {
	Call   StoreCallID
	Prefix string
}

// StorePut writes an object if its current version is Base (zero: it must
// not exist).
type StorePut struct {
	Call StoreCallID
	Key  string
	Data []byte
	Base uint64
}

// StoreDelete deletes an object if its current version is Base.
type StoreDelete struct {
	Call StoreCallID
	Key  string
	Base uint64
}

// StoreWatch waits for changes under a prefix.
type StoreWatch struct {
	Call   StoreCallID
	Prefix string
	After  uint64
	Wait   time.Duration
}

// Dial opens a link to another node. LinkUp or LinkDown follows.
type Dial struct {
	Link    LinkID
	Address string
}

// Send sends a message over a link.
type Send struct {
	Link    LinkID
	Message message.Message
}

// CloseLink closes a link. No LinkDown follows.
type CloseLink struct {
	Link   LinkID
	Reason string
}

// ProbeBackend requests a health probe of the local backend server. Path is that of its health
// endpoint, empty for the one of the settings.
type ProbeBackend struct{ Path string }

// AnswerReport answers an event with a ReportID. Reason is empty for ReportApplied.
type AnswerReport struct {
	Report  ReportID
	Verdict ReportVerdict
	Reason  string
}

// ReportVerdict is what became of an event with a ReportID.
type ReportVerdict uint8

// The verdicts on reports.
const (
	ReportApplied ReportVerdict = iota // for good: if the backend server leaves, also the next process knows it
	ReportRefused                      // not applied, for the reason given
	ReportNotKept                      // applied by this process, but a next one might not know it
)

// Forward sends an attempt of a call to a backend server's node. The data
// path writes it to one connection, once. Incarnation is sent with it and
// with its cancellation, and arrives as ForIncarnation; Key is sent too,
// zero for none.
type Forward struct {
	Call        CallID
	Attempt     AttemptID
	Target      string // ID of the backend server
	Incarnation endpoint.Incarnation
	Hop         string // address of its node
	Local       bool   // the target is the node's own backend server
	Class       admission.Class
	Budget      time.Duration // time left until the call's deadline
	SoftBudget  time.Duration // time left until the policy's target latency, at least 1 ns if that has passed; zero if the policy has none
	Waited      time.Duration // how long before this call its caller asked first, at least
	AnswerBytes int64         // usual size of the answers to this kind of request; zero: unknown
	Key         idempotency.Key
	Said        BackendNotice // what the backend server said in the last answer from there
	Account     string        // client account of the caller; empty: none
	MayRetry    bool          // another attempt may follow, as long as no part of an answer was sent to the caller
}

// ReleaseAnswer sends the held answer to the caller, which ends the call.
type ReleaseAnswer struct{ Call CallID }

// Finish ends a call without, or instead of, a backend server's answer.
// Outcome Ran means that an earlier request with the same Idempotency-Key
// ran; Status is the status of its answer, zero if unknown.
type Finish struct {
	Call       CallID
	Outcome    retry.Outcome
	NoRoute    bool // no route matches the request
	NoAccount  bool // the route needs a key, and the caller has none that an account holds
	OverQuota  bool // the caller's account has used up its quota
	Status     int
	RetryAfter time.Duration // when the caller may retry after NotRun; zero if not given
	Reason     string
}

// Run starts an attempt at the local backend server. Backend is the ID that
// the backend server reported, empty if it reported none, and StartMillis its
// start in Unix milliseconds, zero if it reported none.
type Run struct {
	Attempt     AttemptID
	Backend     string
	StartMillis int64
}

// Refuse answers an attempt without running it. Outcome is returned to the
// sender: NotRun if no copy of the attempt ran or will run, Unknown if
// another copy of it may have run or may still run, Ran if an earlier
// request with the same Idempotency-Key ran; Status is the status of that
// earlier answer, zero if unknown.
type Refuse struct {
	Attempt     AttemptID
	Reason      admission.Reason
	Outcome     retry.Outcome
	Status      int
	LinkOpensIn time.Duration // if Reason is LinkFull: time until the link will have room if no other request comes
}

// LimitCallers sets the limits that apply to callers from now on.
type LimitCallers struct{ Limits config.LimitsSpec }

// DrainStarted reports that the process has begun to drain.
type DrainStarted struct{}

// Drained reports that nothing is left in flight and the process may exit.
type Drained struct{}

// Attr is one field of a log line.
type Attr struct {
	Key   string
	Value any
}

// Log writes a numbered event to the log.
type Log struct {
	Code  notice.Code
	Attrs []Attr
}

func (StoreGet) isEffect()      {}
func (StoreList) isEffect()     {}
func (StorePut) isEffect()      {}
func (StoreDelete) isEffect()   {}
func (StoreWatch) isEffect()    {}
func (Dial) isEffect()          {}
func (Send) isEffect()          {}
func (CloseLink) isEffect()     {}
func (ProbeBackend) isEffect()  {}
func (AnswerReport) isEffect()  {}
func (Forward) isEffect()       {}
func (ReleaseAnswer) isEffect() {}
func (Finish) isEffect()        {}
func (Run) isEffect()           {}
func (Refuse) isEffect()        {}
func (LimitCallers) isEffect()  {}
func (DrainStarted) isEffect()  {}
func (Drained) isEffect()       {}
func (Log) isEffect()           {}
