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

// Effect is something that the caller of Reduce is to do: one of the types
// below. Effects of one Reduce are carried out in order.
type Effect interface{ isEffect() }

// StoreGet reads one object of the platform.
type StoreGet struct {
	Call StoreCallID
	Key  string
}

// StoreList reads all objects under a prefix.
type StoreList struct {
	Call   StoreCallID
	Prefix string
}

// StorePut writes an object if it is at version Base (zero: not there).
type StorePut struct {
	Call StoreCallID
	Key  string
	Data []byte
	Base uint64
}

// StoreDelete removes an object if it is at version Base.
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

// Dial opens a link to another node. It ends in LinkUp or LinkDown.
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

// ProbeBackend asks the own backend server for its health.
type ProbeBackend struct{}

// Forward sends an attempt of a call to a backend server's node. The data
// path writes it to one connection, once. Incarnation goes with it, and with a
// cancel of it, to be handed over as For; so does Key, zero for none.
type Forward struct {
	Call        CallID
	Attempt     AttemptID
	Target      string // ID of the backend server
	Incarnation endpoint.Incarnation
	Hop         string // address of its node
	Local       bool   // it is the node's own
	Class       admission.Class
	Budget      time.Duration // time left until the call's deadline
	SoftBudget  time.Duration // time left until the latency that callers are content with, the shortest if it has passed; zero: not told
	Key         idempotency.Key
	MayRetry    bool // another attempt may follow, as long as nothing of an answer was passed on
}

// ReleaseAnswer lets the answer that is held go to the caller, which ends the call.
type ReleaseAnswer struct{ Call CallID }

// Finish ends a call without, or instead of, a backend server's answer.
// Outcome Ran says that an earlier request with the same Idempotency-Key ran;
// Status is that of its answer, zero if it is not known.
type Finish struct {
	Call       CallID
	Outcome    retry.Outcome
	NoRoute    bool
	Status     int
	RetryAfter time.Duration // when the caller may come back after NotRun; zero: not told
	Reason     string
}

// Run lets an attempt run at the own backend server. Backend is the ID by which
// that one knows itself, empty if it has not told.
type Run struct {
	Attempt AttemptID
	Backend string
}

// Refuse answers an attempt without running it. Outcome is what the sender is
// to be told, and what it may conclude: NotRun when no copy of the attempt ran
// or will, Unknown when another copy of it may have run, or may yet, Ran when
// an earlier request with the same Idempotency-Key ran; Status is that of the
// earlier answer, zero if it is not known.
type Refuse struct {
	Attempt AttemptID
	Reason  admission.Reason
	Outcome retry.Outcome
	Status  int
}

// LimitCallers says what callers are bound by from now on.
type LimitCallers struct{ Limits config.LimitsSpec }

// DrainStarted says that the process has begun to drain.
type DrainStarted struct{}

// Drained says that nothing is left in flight and the process may end.
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
func (Forward) isEffect()       {}
func (ReleaseAnswer) isEffect() {}
func (Finish) isEffect()        {}
func (Run) isEffect()           {}
func (Refuse) isEffect()        {}
func (LimitCallers) isEffect()  {}
func (DrainStarted) isEffect()  {}
func (Drained) isEffect()       {}
func (Log) isEffect()           {}
