// Package retry decides whether a call is tried again: by what is certain
// about the attempt that ended, and within a budget that bounds the extra
// load to a share of calls.
package retry

// Outcome is what is known of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	Ran     Outcome = iota + 1 // an answer came
	NotRun                     // it certainly did not run and never will
	Unknown                    // it may have run, or may yet
)

// String returns the outcome as it stands in the Agatekeel-Outcome header.
func (o Outcome) String() string {
	names := [...]string{Ran: "ran", NotRun: "not-run", Unknown: "unknown"}
	if int(o) >= len(names) || o == 0 {
		return "invalid"
	}
	return names[o]
}

// Config holds the settings of a Budget.
type Config struct {
	Share   float64 // retries for each call
	Reserve float64 // retries allowed when there are few calls
}

// Budget allows retries as a share of calls (a token bucket filled by calls,
// not by time).
type Budget struct {
	cfg    Config
	tokens float64
}

// NewBudget returns a Budget with a full reserve.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.Reserve} }

// Call counts a call, which earns a share of a retry.
func (b *Budget) Call() { b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Reserve) }

// Take spends one retry if the budget has one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Allowed reports whether what is known of the last attempt permits another:
// after NotRun always, after Unknown only when the call may run more than
// once and nothing of an answer was passed on.
func Allowed(o Outcome, idempotent, answerStarted bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return idempotent && !answerStarted
	}
	return false
}

// Tokens returns the retries left.
func (b *Budget) Tokens() float64 { return b.tokens }
