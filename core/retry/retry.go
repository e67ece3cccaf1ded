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

// MaxDepth is the number of calls, one caused by the other, for which the
// reruns of all hops together stay within Config.Share.
const MaxDepth = 8

// Config holds the settings of a Budget.
type Config struct {
	Share           float64 // retries for each call
	Reserve         float64 // retries allowed when there are few calls
	RerunShare      float64 // the part of Share that may follow an attempt that may have run; zero: rerunShare
	RerunReserve    float64 // the same of Reserve; zero: rerunReserveShare
	NoInitialReruns bool    // the budget begins without reruns
}

func (c Config) withDefaults() Config {
	if c.RerunShare == 0 {
		c.RerunShare = c.Share * defaultRerunFactor
	}
	if c.RerunReserve == 0 {
		c.RerunReserve = max(c.Reserve*defaultRerunReserveFactor, 1)
	}
	return c
}

// defaultRerunFactor is the share of each hop in the reruns of MaxDepth hops and the
// one that a caller enters by: (1 + share/9)^8 is below 1 + share.
const defaultRerunFactor = 1.0 / (MaxDepth + 1)

// Budget allows retries as a share of calls (a token bucket filled by calls,
// not by time). Retries after Unknown may run a call twice, and all that it
// causes at the hops below; each hop multiplies those of the hops below it.
// They have a budget of their own, so small that its power over all hops stays
// within the share. No hop needs to know how deep it is.
type Budget struct {
	cfg         Config
	tokens      float64
	rerunTokens float64
}

// NewBudget returns a Budget with a full reserve.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	b := &Budget{cfg: cfg, tokens: cfg.Reserve, rerunTokens: cfg.RerunReserve}
	if cfg.NoInitialReruns {
		b.rerunTokens = 0
	}
	return b
}

// defaultRerunReserveFactor is the part of the reserve that reruns may spend at once: a
// few calls in flight to one node that dies.
const defaultRerunReserveFactor = 0.25

// AddCall counts a call, which earns a share of a retry.
func (b *Budget) AddCall() {
	b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Reserve)
	b.rerunTokens = min(b.rerunTokens+b.cfg.RerunShare, max(b.cfg.RerunReserve, 1))
}

// Take spends one retry if the budget has one. After says how the attempt
// before it ended.
func (b *Budget) Take(after Outcome) bool {
	switch {
	case b.tokens < 1:
		return false
	case after == Unknown && b.rerunTokens < 1:
		return false
	case after == Unknown:
		b.rerunTokens--
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

// SetRerunReserve changes Config.RerunReserve; below one it counts as one, or
// no rerun could ever be earned.
func (b *Budget) SetRerunReserve(reserve float64) {
	b.cfg.RerunReserve = max(reserve, 1)
	b.rerunTokens = min(b.rerunTokens, b.cfg.RerunReserve)
}

// TakeRerun reports whether an idempotent call whose backend server answered
// with a failure of its own may run once more, nothing having been passed on,
// and spends a rerun for it.
func (b *Budget) TakeRerun() bool { return b.Take(Unknown) }

// Tokens returns the retries left.
func (b *Budget) Tokens() float64 { return b.tokens }
