package admission

import (
	"strconv"
	"time"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// Class is a priority class of the queue. A smaller value is more urgent.
type Class uint8

// The named priority classes. Those between Batch and MaxClass have no name; the
// higher the value, the less urgent the class.
const (
	Status Class = iota
	Interactive
	Batch

	MaxClass   Class = 7
	numClasses       = MaxClass + 1
)

// Reason is the reason for which an attempt was refused.
type Reason string

// The reasons for a refusal. With DuplicateAttempt and WrongIncarnation, another
// copy of the attempt may have run; with KeyUsed, another request with the same
// key may have run. With any other reason the attempt has not run.
const (
	Admitted         Reason = ""
	QueueFull        Reason = "queue full"
	RateLimited      Reason = "the limit of requests that the backend server named leaves no room"
	LinkFull         Reason = "the host's link has no room for the answer in time"
	TooLate          Reason = "deadline would pass before it could finish"
	NotServing       Reason = "backend server takes no new requests"
	Cancelled        Reason = "cancelled before it started"
	DuplicateAttempt Reason = "attempt was seen before"
	KeyUsed          Reason = "a request with this Idempotency-Key came before"
	KeysFull         Reason = "too many idempotency keys are held"
	WrongIncarnation Reason = "attempt was meant for an earlier life of this node"
	UnknownRoute     Reason = "no route"
)

// ID identifies an attempt across the whole mesh.
type ID struct {
	Origin uint64 // random number of the process that created the attempt
	Number uint64 // sequence number of the attempt within that process
}

// String formats the ID as in headers and logs.
func (id ID) String() string {
	return strconv.FormatUint(id.Origin, 16) + "-" + strconv.FormatUint(id.Number, 16)
}

// Attempt is an attempt that arrives, waits in the queue or runs.
type Attempt struct {
	ID         ID
	Request    string // ID of the caller's request, for the log
	Class      Class
	Deadline   time.Time
	TargetTime time.Time // time at which the answer meets the request's target latency; zero: no target
	// Waited is how long before this call its caller asked first: with it, the target latency
	// is passed as much earlier. Room on links does not depend on it.
	Waited time.Duration
	// AnswerBytes is the usual size of the answers to this kind of request, as the entry
	// node knows it; zero: unknown. Requests of one class can differ in it.
	AnswerBytes int64
	OnHost      bool        // the caller is on this host: the answer does not go over the host's link
	Relay       uplink.Load // state of the network link over which the answer goes on from the entry node; zero: none, or unknown
	arrived     time.Time
	started     time.Time // start of its run
}
