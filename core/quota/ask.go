package quota

import (
	"cmp"
	"slices"
	"time"
)

// Ask is a request for tokens to the parent. At most one is unanswered on a link.
type Ask struct {
	Number uint64
	Wants  []Want
}

// Want is what a node and those below it want of one account.
type Want struct {
	Account string
	Need    int // requests that wait
	Spare   int // tokens for requests that are expected
}

// Grant is the answer to the Ask of the same number.
type Grant struct {
	Number uint64
	Given  []Given
}

// Given is what was granted of one account.
type Given struct {
	Account    string
	Tokens     int
	RetryAfter time.Duration // for what was needed and not granted
	None       bool          // the node that was asked holds no shares, or knows no limit of the account
}

// Output is an action that the owner of a Ledger executes: one of the types below.
type Output interface{ isOutput() }

// AskParent sends an Ask to the parent.
type AskParent struct{ Ask Ask }

// Answer sends a Grant to a node that asked.
type Answer struct {
	To    Peer
	Grant Grant
}

// Settled is the verdict on a request that waited.
type Settled struct {
	ID         Waiter
	Verdict    Verdict
	RetryAfter time.Duration // after Denied
}

func (AskParent) isOutput() {}
func (Answer) isOutput()    {}
func (Settled) isOutput()   {}

// part is what one asker contributes to the ask of this node.
type part struct {
	from   Peer // zero: this node
	number uint64
	wants  []Want
	since  time.Time
}

// flight is the unanswered ask of this node.
type flight struct {
	number uint64
	at     time.Time
	parts  []part
}

// Asked receives the Ask of a node. Poll answers it, or passes it on.
func (l *Ledger) Asked(now time.Time, from Peer, a Ask) {
	l.queued = slices.DeleteFunc(l.queued, func(p part) bool { return p.from == from })
	l.queued = append(l.queued, part{from: from, number: a.Number, wants: a.Wants, since: now})
}

// Answered receives the answer to an ask of this node. One that came too late is ignored: its tokens
// are lost, since they may be too old to be spent.
func (l *Ledger) Answered(now time.Time, from Peer, g Grant) {
	f := l.flight
	if f == nil || from != l.parent || g.Number != f.number {
		return
	}
	l.flight = nil
	given := map[string]Given{}
	for _, x := range g.Given {
		given[x.Account] = x
	}
	l.distribute(now, f, given)
}

// Poll sends what has to be sent and settles what can be settled.
func (l *Ledger) Poll(now time.Time) []Output {
	l.holdings.advance(now)
	if f := l.flight; f != nil && now.Sub(f.at) > l.cfg.AskTimeout {
		l.flight = nil
		l.answerAlone(now, f.parts)
	}
	l.queued = slices.DeleteFunc(l.queued, func(p part) bool { return now.Sub(p.since) > l.cfg.AskTimeout })
	l.giveUp(now)
	switch {
	case l.parent == 0:
		parts := l.queued
		l.queued = nil
		l.answerAlone(now, append(parts, l.ownPart(now)))
	case l.flight == nil:
		l.askParent(now)
	}
	out := l.out
	l.out = nil
	return out
}

// ownPart returns what the requests of this node want.
func (l *Ledger) ownPart(now time.Time) part {
	p := part{since: now}
	for name, a := range l.pending {
		need := len(a.waiting)
		p.wants = append(p.wants, Want{Account: name, Need: need, Spare: max(0, int(a.demand(now))-need-a.stocked(now))})
	}
	slices.SortFunc(p.wants, func(x, y Want) int { return cmp.Compare(x.Account, y.Account) })
	return p
}

// askParent sends one ask for this node and all that asked it.
func (l *Ledger) askParent(now time.Time) {
	parts := l.queued
	if own := l.ownPart(now); len(own.wants) > 0 {
		parts = append(parts, own)
	}
	if len(parts) == 0 {
		return
	}
	l.queued = nil
	l.number++
	l.counts.Asks++
	l.flight = &flight{number: l.number, at: now, parts: parts}
	l.out = append(l.out, AskParent{Ask{Number: l.number, Wants: sumOf(parts)}})
}

// sumOf returns the wants of all parts by account.
func sumOf(parts []part) []Want {
	var sum []Want
	index := map[string]int{}
	for _, p := range parts {
		for _, w := range p.wants {
			i, ok := index[w.Account]
			if !ok {
				i, index[w.Account] = len(sum), len(sum)
				sum = append(sum, Want{Account: w.Account})
			}
			sum[i].Need += max(w.Need, 0)
			sum[i].Spare += max(w.Spare, 0)
		}
	}
	return sum
}

// answerAlone answers parts from the node's own pools, without asking the parent.
func (l *Ledger) answerAlone(now time.Time, parts []part) {
	l.holdings.advance(now)
	given := map[string]Given{}
	for _, w := range sumOf(parts) {
		given[w.Account] = l.give(now, w)
	}
	l.distribute(now, &flight{at: now, parts: parts}, given)
}

// give takes tokens from the pool of an account. What is needed goes before what is spare.
func (l *Ledger) give(now time.Time, w Want) Given {
	limit, limited := l.limitOf(w.Account)
	if !limited || l.holdings.fraction() == 0 {
		return Given{Account: w.Account, None: true}
	}
	p := &l.account(w.Account).pool
	g := Given{Account: w.Account, Tokens: p.take(&l.holdings, limit, w.Need)}
	if g.Tokens < w.Need {
		g.RetryAfter = p.promise(now, &l.holdings, limit)
		for range w.Need - g.Tokens - 1 {
			p.promise(now, &l.holdings, limit)
		}
		return g
	}
	g.Tokens += p.takeSpare(&l.holdings, limit, w.Spare)
	return g
}

// distribute divides what was given among the parts of an ask.
func (l *Ledger) distribute(now time.Time, f *flight, given map[string]Given) {
	grants := make([]Grant, len(f.parts))
	for account, shares := range divide(f.parts, given) {
		for i, tokens := range shares {
			if tokens >= 0 {
				g := given[account]
				grants[i].Given = append(grants[i].Given, Given{Account: account, Tokens: tokens, RetryAfter: g.RetryAfter, None: g.None || g.Account == ""})
			}
		}
	}
	for i, p := range f.parts {
		if p.from != 0 {
			grants[i].Number = p.number
			slices.SortFunc(grants[i].Given, func(a, b Given) int { return cmp.Compare(a.Account, b.Account) })
			l.out = append(l.out, Answer{To: p.from, Grant: grants[i]})
			continue
		}
		for _, g := range grants[i].Given {
			l.settle(now, f.at, g, needOf(p, g.Account))
		}
	}
}

func needOf(p part, account string) int {
	for _, w := range p.wants {
		if w.Account == account {
			return w.Need
		}
	}
	return 0
}

// settle decides on the requests of this node that wait for tokens of an account, of which need
// were asked for at a time. The most urgent get the tokens, the least urgent are denied.
func (l *Ledger) settle(now, asked time.Time, g Given, need int) {
	a := l.account(g.Account)
	slices.SortStableFunc(a.waiting, func(x, y waiter) int { return cmp.Compare(x.class, y.class) })
	granted := min(g.Tokens, len(a.waiting))
	for _, w := range a.waiting[:granted] {
		l.out = append(l.out, Settled{ID: w.id, Verdict: l.count(Granted)})
	}
	a.waiting = slices.Delete(a.waiting, 0, granted)
	if spare := g.Tokens - granted; spare > 0 {
		limit, _ := l.limitOf(g.Account)
		a.stock = append(a.stock, batch{tokens: spare, expires: asked.Add(l.tokenLife(limit))})
	}
	verdict := Denied
	if g.None {
		verdict = Unavailable
	}
	refused := min(max(need-g.Tokens, 0), len(a.waiting))
	for _, w := range a.waiting[len(a.waiting)-refused:] {
		l.out = append(l.out, Settled{ID: w.id, Verdict: l.count(verdict), RetryAfter: g.RetryAfter})
	}
	a.waiting = slices.Delete(a.waiting, len(a.waiting)-refused, len(a.waiting))
	l.updatePending(g.Account, a)
}

// giveUp settles the requests of this node that have waited through two asks: the parent changed, or
// the tree is broken above.
func (l *Ledger) giveUp(now time.Time) {
	for name, a := range l.pending {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool {
			late := now.Sub(w.since) > 2*l.cfg.AskTimeout
			if late {
				l.out = append(l.out, Settled{ID: w.id, Verdict: l.count(Unavailable)})
			}
			return late
		})
		l.updatePending(name, a)
	}
}
