package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/retry"
)

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// StoreCallID ties a platform call to its result.
type StoreCallID uint64

// LinkID names a link between two nodes within one process. IDs of links
// that core dials are even, those of accepted links odd.
type LinkID uint64

// CallID names a caller's request within one process.
type CallID uint64

// AttemptID names one attempt of a call everywhere.
type AttemptID = admission.ID

// StoreError says how a platform call failed.
type StoreError uint8

// The ways in which a platform call fails. After Failed its fate is unknown;
// after the others nothing was written.
const (
	StoreOK StoreError = iota
	StoreNotFound
	StoreConflict
	StoreTooLarge
	StoreThrottled
	StoreCompacted
	StoreFailed
)

// StoreObject is an object read from the platform.
type StoreObject struct {
	Key     string
	Version uint64
	Created uint64
	Data    []byte
	Deleted bool // in the result of a watch
}

// Tick says that time has passed.
type Tick struct{}

// StoreDone is the result of a platform call. Objects holds what a get, list
// or watch returned, Version what a put made.
type StoreDone struct {
	Call     StoreCallID
	Err      StoreError
	Detail   string
	Objects  []StoreObject
	Revision uint64
	Version  uint64
}

// LinkUp says that a link is open.
type LinkUp struct {
	Link    LinkID
	Dialled bool
}

// LinkDown says that a link ended, or that a dial failed.
type LinkDown struct {
	Link   LinkID
	Reason string
}

// LinkMessage is a message that came over a link.
type LinkMessage struct {
	Link    LinkID
	Message message.Message
}

// BackendProbed is the result of a probe of the own backend server. Refused
// says that nothing listens there: the process is dead, not slow.
type BackendProbed struct {
	OK      bool
	Refused bool
}

// BackendReported is what the own backend server says of itself.
type BackendReported struct {
	Backend       string // its ID, another one after most restarts
	Service       string
	StartMillis   int64          // when it started, in Unix milliseconds; zero: not told
	Sequence      uint64         // grows with what one life of it says; zero: not told
	State         endpoint.State // Ready, Draining or Gone
	Slots         int
	ColdRemaining time.Duration // how much longer it is slow after its start
}

// BackendDraining says that the backend server announced its end itself, or
// that an operator takes it out of service.
type BackendDraining struct{}

// BackendDrainCancelled takes BackendLeaving back. It is also how a backend server that
// was started anew between two probes says that it is there.
type BackendDrainCancelled struct{}

// Stop asks the node to drain and end.
type Stop struct{}

// CallArrived is a caller's request.
type CallArrived struct {
	Call       CallID
	Request    string // ID by which caller and nodes know the request, for the log
	Method     string
	Host       string
	Path       string
	Key        string        // Idempotency-Key, empty for none
	Budget     time.Duration // what the caller allows, zero: what the policy says
	Replayable bool          // the body can be sent again
	FromMesh   bool          // sent by a backend server of the mesh, not from outside
}

// AttemptEnded says how an attempt of a call ended at this, its entry node.
type AttemptEnded struct {
	Call           CallID
	Attempt        AttemptID
	Outcome        retry.Outcome
	Failed         bool  // counts against the endpoint's health
	Queue          int   // waiting there, as the answer told; -1: not told
	Bytes          int64 // of a whole answer
	AnswerStarted  bool  // part of the answer was passed on
	AnswerHeld     bool  // the answer is whole and a failure, and waits: PassOn or another Forward follows
	ReachedBackend bool  // the backend server may have seen the request, whether it ran it or not
	TargetGone     bool  // NotRun, since no process listens at the target's address
	BodyDiscarded  bool  // the request body can't be sent again
	Status         int   // HTTP status of an answer, zero: not known
	Reason         string
}

// CallClosed says that the caller is gone or fully answered.
type CallClosed struct{ Call CallID }

// AttemptArrived is an attempt that reached the backend server's node. Run or
// Refuse follows, at once or later. For says which life of the node it was
// sent to (Forward.Incarnation); zero: the sender does not tell. A copy of an
// attempt that is still open at this node may be answered by the data path
// itself, as unknown. Key is that of the Forward; an attempt whose key was
// used before is refused with the outcome of the first.
type AttemptArrived struct {
	Attempt        AttemptID
	Request        string // as in CallArrived
	Class          admission.Class
	Budget         time.Duration // time left until the call's deadline
	SoftBudget     time.Duration // as in Forward
	ForIncarnation endpoint.Incarnation
	Key            idempotency.Key
}

// AttemptDone says that an attempt that ran has ended.
type AttemptDone struct {
	Attempt   AttemptID
	Request   string // as in CallArrived
	Took      time.Duration
	Refused   bool  // the backend server's address refused the connection
	Truncated bool  // no whole answer came: what the backend server did is not known
	Status    int   // HTTP status of the answer, zero: not known
	Bytes     int64 // of its body, as declared
}

// AttemptCancelled asks that an attempt not run. It is answered by Refuse
// when that is certain, and by nothing otherwise. For is as in AttemptArrived:
// a node can't vouch for what an earlier life of it did.
type AttemptCancelled struct {
	Attempt        AttemptID
	ForIncarnation endpoint.Incarnation
}

func (Tick) isEvent()                  {}
func (StoreDone) isEvent()             {}
func (LinkUp) isEvent()                {}
func (LinkDown) isEvent()              {}
func (LinkMessage) isEvent()           {}
func (BackendProbed) isEvent()         {}
func (BackendReported) isEvent()       {}
func (BackendDraining) isEvent()       {}
func (BackendDrainCancelled) isEvent() {}
func (Stop) isEvent()                  {}
func (CallArrived) isEvent()           {}
func (AttemptEnded) isEvent()          {}
func (CallClosed) isEvent()            {}
func (AttemptArrived) isEvent()        {}
func (AttemptDone) isEvent()           {}
func (AttemptCancelled) isEvent()      {}
