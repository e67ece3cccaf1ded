package quota

import (
	"math"
	"slices"
	"time"
)

// Limit is the rate limit of an account over all nodes.
type Limit struct {
	PerSecond float64
	Burst     float64 // tokens that a full pool holds
}

// Config holds the settings of a Ledger.
type Config struct {
	Lease      time.Duration // how long a share is lent
	AskTimeout time.Duration // longest wait for the answer to an Ask

	// Tolerance by which the requests of an account may exceed its limit in a window. It decides how
	// long a granted token may be kept: tokens that were granted before a window are spent in it.
	Window  time.Duration
	Overage float64 // share of what the limit allows
	Slack   float64 // requests

	FirstStart bool // no earlier process of this node can have lent its share
}

// Peer identifies the node at the other end of a link.
type Peer uint64

// Waiter identifies a request of this node.
type Waiter uint64

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Granted     Verdict = iota + 1
	Denied              // the account has used up its quota
	Waits               // Settled follows
	Unavailable         // no node that holds shares could be asked in time
)

// Ledger is the state of one node.
type Ledger struct {
	cfg      Config
	limitOf  func(account string) (Limit, bool)
	origin   time.Time // zero of the clock that Stamp reports
	accounts map[string]*account
	pending  map[string]*account // those with requests that wait
	holdings holdings
	parent   Peer // zero: none
	number   uint64
	flight   *flight
	queued   []part
	out      []Output
	counts   Counts
	faults   faults
}

// faults disables single safeguards. Tests set it to verify that their checks detect this.
type faults struct {
	usesLentShares bool // shares that were lent are used by their lender too
	neverReturns   bool // borrowed shares are used after the end of the loan
	keepsTokens    bool // granted tokens don't expire
}

// Counts are totals since the start of the process.
type Counts struct {
	Granted, Denied, Unavailable uint64 // requests of this node
	Asks                         uint64 // sent
	Refunded                     uint64
}

// account is what a node knows of one account.
type account struct {
	pool    pool
	stock   []batch // tokens granted to this node, oldest first
	waiting []waiter
	recent  float64 // requests of late, decayed by demandDecay
	seenAt  time.Time
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Time
}

type waiter struct {
	id    Waiter
	class int // zero is the most urgent
	since time.Time
}

// New returns the Ledger of a node that started at a time. An earlier process of the node may have
// lent its share, so it is used only once that loan has ended. limitOf returns the limit of an account, false if it
// has none.
func New(cfg Config, started time.Time, hosts int, limitOf func(account string) (Limit, bool)) *Ledger {
	l := &Ledger{cfg: cfg, limitOf: limitOf, origin: started, accounts: map[string]*account{}, pending: map[string]*account{}}
	ownFrom := started
	if !cfg.FirstStart {
		ownFrom = started.Add(l.reclaimAfter(cfg.Lease))
	}
	l.holdings = newHoldings(started, hosts, ownFrom)
	return l
}

// Counts returns the totals.
func (l *Ledger) Counts() Counts { return l.counts }

// Take charges a request to an account. After Waits, Poll settles it.
func (l *Ledger) Take(now time.Time, id Waiter, class int, name string) (Verdict, time.Duration) {
	limit, limited := l.limitOf(name)
	if !limited {
		return l.count(Granted), 0
	}
	a := l.account(name)
	a.noteDemand(now)
	if a.takeStock(now) {
		return l.count(Granted), 0
	}
	if l.parent != 0 {
		a.waiting = append(a.waiting, waiter{id: id, class: class, since: now})
		l.pending[name] = a
		return Waits, 0
	}
	return l.takeFromPool(now, a, limit)
}

// takeFromPool charges a request to the node's own pool.
func (l *Ledger) takeFromPool(now time.Time, a *account, limit Limit) (Verdict, time.Duration) {
	l.holdings.advance(now)
	if l.holdings.fraction() == 0 {
		return l.count(Unavailable), 0
	}
	if a.pool.take(&l.holdings, limit, 1) == 1 {
		return l.count(Granted), 0
	}
	return l.count(Denied), a.pool.promise(now, &l.holdings, limit)
}

func (l *Ledger) count(v Verdict) Verdict {
	switch v {
	case Granted:
		l.counts.Granted++
	case Denied:
		l.counts.Denied++
	case Unavailable:
		l.counts.Unavailable++
	}
	return v
}

// Refund returns the token of a request that was charged at a time and did not run. A token that
// would have expired by now is lost: spending it now could exceed the limit of the current window.
func (l *Ledger) Refund(now time.Time, name string, charged time.Time) {
	limit, limited := l.limitOf(name)
	expires := charged.Add(l.tokenLife(limit))
	if !limited || !now.Before(expires) {
		return
	}
	a := l.account(name)
	a.stock = append(a.stock, batch{tokens: 1, expires: expires})
	l.counts.Refunded++
}

// Cancel removes a request that waits.
func (l *Ledger) Cancel(id Waiter, name string) {
	if a, ok := l.pending[name]; ok {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.id == id })
		l.updatePending(name, a)
	}
}

// Forget removes the accounts that no longer have a limit.
func (l *Ledger) Forget() {
	for name, a := range l.accounts {
		if _, limited := l.limitOf(name); !limited && len(a.waiting) == 0 {
			delete(l.accounts, name)
		}
	}
}

func (l *Ledger) updatePending(name string, a *account) {
	if len(a.waiting) == 0 {
		delete(l.pending, name)
	}
}

func (l *Ledger) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{}
		l.accounts[name] = a
	}
	return a
}

// maxTokenLife bounds the time for which tokens are kept where the tolerance would allow more.
const maxTokenLife = 2 * time.Second

// tokenLifePart is the part of the tolerance that tokens kept by nodes may use up. The rest is for
// the time between a grant and the first use of its tokens.
const tokenLifePart = 0.7

// tokenLife returns how long a token may be kept: in a window of the tolerance, the tokens granted
// in the time before it that are spent in it must not exceed the tolerance.
func (l *Ledger) tokenLife(limit Limit) time.Duration {
	if l.faults.keepsTokens {
		return time.Hour
	}
	window := l.cfg.Window.Seconds()
	excess := l.cfg.Overage*(limit.PerSecond*window+limit.Burst) + l.cfg.Slack
	seconds := tokenLifePart * excess / max(limit.PerSecond, math.SmallestNonzeroFloat64)
	return time.Duration(min(seconds, maxTokenLife.Seconds()) * float64(time.Second))
}

// demandDecay is the time in which the demand that a node remembers falls to a third.
const demandDecay = 500 * time.Millisecond

func (a *account) noteDemand(now time.Time) {
	a.recent = a.demand(now) + 1
	a.seenAt = now
}

func (a *account) demand(now time.Time) float64 {
	return a.recent * math.Exp(-now.Sub(a.seenAt).Seconds()/demandDecay.Seconds())
}

// takeStock takes a token that the node was granted.
func (a *account) takeStock(now time.Time) bool {
	a.expireStock(now)
	if len(a.stock) == 0 {
		return false
	}
	a.stock[0].tokens--
	if a.stock[0].tokens == 0 {
		a.stock = slices.Delete(a.stock, 0, 1)
	}
	return true
}

func (a *account) expireStock(now time.Time) {
	a.stock = slices.DeleteFunc(a.stock, func(b batch) bool { return !now.Before(b.expires) })
}

func (a *account) stocked(now time.Time) int {
	a.expireStock(now)
	n := 0
	for _, b := range a.stock {
		n += b.tokens
	}
	return n
}
