// Package retry decides whether a call is retried, by whether the last attempt may
// have run, and within a budget that limits retries to a share of calls.
package retry

// Outcome is the outcome of an attempt as far as it is known.
type Outcome uint8

// The outcomes of an attempt.
const (
	Ran     Outcome = iota + 1 // an answer was received
	NotRun                     // it did not run and never will
	Unknown                    // it may have run, or may still run
)

// String returns the outcome as written in the Agatekeel-Outcome header.
func (o Outcome) String() string {
	names := [...]string{Ran: "ran", NotRun: "not-run", Unknown: "unknown"}
	if int(o) >= len(names) || o == 0 {
		return "invalid"
	}
	return names[o]
}

// MaxDepth is the maximum number of nested calls for which the reruns of all hops
// together stay within Config.Share.
const MaxDepth = 8

// Config holds the settings of a Budget. A rerun is a retry after an attempt with
// Outcome Unknown, so it may execute a call a second time.
type Config struct {
	Share           float64 // retries earned per call
	Reserve         float64 // maximum of saved retries, for when there are few calls
	RerunShare      float64 // reruns earned per call; zero: Share / (MaxDepth+1)
	RerunReserve    float64 // maximum of saved reruns; zero: a quarter of Reserve, but at least 1
	NoInitialReruns bool    // a new budget has no saved reruns
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

// defaultRerunFactor divides Share among the MaxDepth hops and the caller's entry
// node: (1 + share/9)^8 is below 1 + share.
const defaultRerunFactor = 1.0 / (MaxDepth + 1)

// Budget limits retries to a share of calls. It is a token bucket that is filled by
// calls, not by time.
//
// A retry after Unknown may execute a call twice, with all the calls that it causes at
// the hops below, so the reruns of all hops multiply. Reruns therefore have a smaller
// budget of their own, chosen so that the product over all hops stays within the share
// without any hop knowing its depth.
type Budget struct {
	cfg         Config
	tokens      float64
	rerunTokens float64
}

// NewBudget returns a Budget whose reserves are full, except with NoInitialReruns.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	b := &Budget{cfg: cfg, tokens: cfg.Reserve, rerunTokens: cfg.RerunReserve}
	if cfg.NoInitialReruns {
		b.rerunTokens = 0
	}
	return b
}

// defaultRerunReserveFactor is the part of the reserve that reruns may use at once. It
// covers a few calls in flight to one node that fails.
const defaultRerunReserveFactor = 0.25

// AddCall counts a call, which earns a fraction of a retry and of a rerun.
func (b *Budget) AddCall() {
	b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Reserve)
	b.rerunTokens = min(b.rerunTokens+b.cfg.RerunShare, max(b.cfg.RerunReserve, 1))
}

// Take spends one retry if the budget allows it. after is the outcome of the previous
// attempt; after Unknown it spends a rerun as well.
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

// GiveBack returns what Take spent after Unknown. It is for a rerun that was refused before a
// backend server saw it: it repeats nothing.
func (b *Budget) GiveBack() {
	b.tokens = min(b.tokens+1, b.cfg.Reserve)
	b.rerunTokens = min(b.rerunTokens+1, max(b.cfg.RerunReserve, 1))
}

// TakeSpare spends one retry if as many are left as there are saved reruns. It is for
// retries after refusals, which in an overload are so frequent that they would take all.
func (b *Budget) TakeSpare() bool {
	if b.tokens < 1+b.rerunTokens {
		return false
	}
	b.tokens--
	return true
}

// Allowed reports whether the outcome of the last attempt permits another one: always
// after NotRun, and after Unknown only if the call is idempotent and no part of an
// answer has been passed on.
func Allowed(o Outcome, idempotent, answerStarted bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return idempotent && !answerStarted
	}
	return false
}

// SetRerunReserve sets Config.RerunReserve. The minimum is one, since otherwise no
// rerun could ever be earned.
func (b *Budget) SetRerunReserve(reserve float64) {
	b.cfg.RerunReserve = max(reserve, 1)
	b.rerunTokens = min(b.rerunTokens, b.cfg.RerunReserve)
}

// TakeRerun spends a rerun if the budget allows it. It is for an idempotent call that
// its backend server answered with an error, if nothing has been passed on.
func (b *Budget) TakeRerun() bool { return b.Take(Unknown) }

// Tokens returns the number of saved retries.
func (b *Budget) Tokens() float64 { return b.tokens }
