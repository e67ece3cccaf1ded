package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// Event is an input of Reduce: one of the types below.
type Event interface{ isEvent() }

// StoreCallID matches the result of a platform call to the call.
type StoreCallID uint64

// LinkID identifies a link between two nodes within one process. Links
// dialled by core have even IDs, accepted links odd ones.
type LinkID uint64

// CallID identifies a caller's request within one process.
type CallID uint64

// ReportID identifies a BackendReported, a BackendDraining or a BackendDrainCancelled within
// one process.
type ReportID uint64

// AttemptID identifies one attempt of a call across all nodes.
type AttemptID = admission.ID

// StoreError is the error class of a platform call.
type StoreError uint8

// The error classes of a platform call. After StoreFailed it is unknown
// whether a write took effect; after the other errors nothing was written.
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
	Created uint64 // version of the write that created the key
	Data    []byte
	Source  *config.SourceSet // what Data would hold, if it has been read already
	Deleted bool              // only set in the result of a watch
}

// Tick reports that time has passed.
type Tick struct{}

// StoreDone is the result of a platform call. Objects holds what a get,
// list or watch returned, Version the version that a put created.
type StoreDone struct {
	Call     StoreCallID
	Err      StoreError
	Detail   string
	Objects  []StoreObject
	Revision uint64
	Version  uint64
}

// PlatformRestored reports that the platform was restored from a copy, which begins an era. It has
// lost what was written since the copy was made.
type PlatformRestored struct{ Era uint64 }

// LinkUp reports that a link is open.
type LinkUp struct {
	Link    LinkID
	Dialled bool
}

// LinkDown reports that a link was closed, or that a dial failed. Refused is set if the
// address refused the connection: no process listens there.
type LinkDown struct {
	Link    LinkID
	Refused bool
	Reason  string
}

// LinkMessage is a message received over a link.
type LinkMessage struct {
	Link    LinkID
	Message message.Message
}

// BackendProbed is the result of a health probe of the local backend
// server. Refused is set if the connection was refused: no process listens
// there, so the backend server is dead rather than slow.
type BackendProbed struct {
	OK      bool
	Refused bool
	Backend string // ID that the backend server gave; empty: none
	Leaving bool   // it said that it takes no new requests
}

// BackendReported is a status report that the local backend server sent.
type BackendReported struct {
	Report        ReportID // AnswerReport follows, immediately or later; zero: nobody waits for it
	Backend       string   // ID of the backend server; it usually changes with a restart
	Service       string
	StartMillis   int64          // start time in Unix milliseconds; zero if not reported
	Sequence      uint64         // increases with each report of one process; zero if not reported
	State         endpoint.State // Ready, Draining or Gone
	Slots         int
	ColdRemaining time.Duration // time until its slow start is over
}

// BackendDraining reports that an operator takes the backend server out of service. That holds
// over ends of this process too, until BackendDrainCancelled or the next instance.
type BackendDraining struct {
	Report ReportID // as in BackendReported
}

// BackendDrainCancelled cancels a BackendDraining. It is also needed after a
// restart of the backend server between two probes: no probe was refused, so
// the new process would still count as draining.
type BackendDrainCancelled struct {
	Report ReportID // as in BackendReported
}

// Stop requests that the node drain and shut down.
type Stop struct{}

// CallArrived is a request from a caller.
type CallArrived struct {
	Call       CallID
	Request    string // request ID for logs, the same at the caller and at all nodes
	Method     string
	Host       string
	Path       string
	Key        string            // Idempotency-Key; empty if none was given
	Budget     time.Duration     // the caller's time limit, if shorter than the policy's; zero if not given
	Replayable bool              // the body can be sent again
	FromMesh   bool              // sent by a backend server of the mesh, not by an external caller
	Credential *config.KeyDigest // digest of the client account's key that came with the request; nil: none
}

// AttemptEnded reports at the entry node how an attempt of a call ended.
type AttemptEnded struct {
	Call              CallID
	Attempt           AttemptID
	Outcome           retry.Outcome
	Failed            bool          // counts against the endpoint's health
	Queue             int           // queue length at the target, from the answer; -1 if not given
	LinkOpensIn       time.Duration // as in Refuse, from the answer; zero if not given
	Bytes             int64         // size of the answer's body as far as it was passed on
	AnswerStarted     bool          // part of the answer was already sent to the caller
	AnswerHeld        bool          // the answer is a complete failure response that is held back until ReleaseAnswer or another Forward follows
	ReachedBackend    bool          // the backend server may have seen the request, whether or not it ran it
	ConnectionRefused bool          // Outcome is NotRun because the target's address refused the connection: no process listens there
	Unreachable       bool          // Outcome is NotRun because no connection to the target could be opened
	BodyDiscarded     bool          // the request body can't be sent again
	Said              BackendNotice // what the backend server says of itself, according to its node; the zero value if that did not tell
	Status            int           // HTTP status of the answer; zero if unknown
	Reason            string
}

// CallClosed reports that the caller disconnected or has received the full
// answer.
type CallClosed struct{ Call CallID }

// AttemptArrived is an attempt that reached the backend server's node. Run
// or Refuse follows, immediately or later. ForIncarnation is the
// incarnation of the node to which it was sent (Forward.Incarnation); zero
// if the sender did not give it. The data path itself may answer a copy of
// an attempt that is still open at this node, with outcome unknown. Key is
// that of the Forward; an attempt with a key that was used before is
// refused with the outcome of the first attempt.
type AttemptArrived struct {
	Attempt        AttemptID
	Request        string // as in CallArrived
	Class          admission.Class
	Budget         time.Duration // time left until the call's deadline
	SoftBudget     time.Duration // as in Forward
	Waited         time.Duration // as in Forward
	AnswerBytes    int64         // as in Forward
	ForIncarnation endpoint.Incarnation
	Key            idempotency.Key
	Link           uplink.Load   // state of the host's network link
	OnHost         bool          // the caller is on this host: the answer does not go over the host's network link
	Relay          uplink.Load   // state of the network link over which the entry node passes the answer on; zero: none, or unknown
	Said           BackendNotice // as in Forward
}

// AttemptDone reports that an attempt that ran has ended.
type AttemptDone struct {
	Attempt   AttemptID
	Request   string        // as in CallArrived
	Took      time.Duration // run time at the backend server
	Refused   bool          // the backend server's address refused the connection
	Truncated bool          // no complete answer was received: it is unknown whether the backend server ran the request
	Status    int           // HTTP status of the answer; zero if unknown
	Bytes     int64         // size of the answer's body as far as it was received
}

// RelayBegan reports that this node begins to send a large answer of its
// backend server to another node. Its attempt may be done long before the
// answer is sent: the backend server is read as fast as it answers. RelayEnded
// follows.
type RelayBegan struct{}

// RelayEnded reports the end of what RelayBegan reported.
type RelayEnded struct{}

// AttemptCancelled requests that an attempt not run. It is answered with
// Refuse if it is certain that the attempt does not run, and not answered
// otherwise. ForIncarnation is as in AttemptArrived: a node has no record
// of what an earlier incarnation of it ran.
type AttemptCancelled struct {
	Attempt        AttemptID
	ForIncarnation endpoint.Incarnation
}

func (Tick) isEvent()                  {}
func (PlatformRestored) isEvent()      {}
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
func (RelayBegan) isEvent()            {}
func (RelayEnded) isEvent()            {}
