package quota

import "time"

// Stamp returns the node's clock for its next heartbeat. Borrowed shares are returned by this clock.
func (l *Ledger) Stamp(now time.Time) time.Duration { return now.Sub(l.origin) }

// Loan is what a node lends in a heartbeat to its parent. It replaces the node's last one.
type Loan struct {
	Shares int
	Until  time.Duration // by the parent's clock
	// PassOn allows the parent to lend the shares on. The lender has to know: only the end of the
	// process that uses them returns them before Until.
	PassOn bool
}

// leastLoan is the part of Config.Lease that a share must still be held for to be lent on.
const leastLoan = 0.15

// Lend returns the loan for a heartbeat to the parent. parentClock is a lower bound of the parent's
// clock: the stamp of its last heartbeat plus the time since that arrived.
// passesOn says that the parent has a parent itself.
func (l *Ledger) Lend(now time.Time, parentClock time.Duration, passesOn bool) Loan {
	h := &l.holdings
	if l.parent == 0 || h.lentTo != l.parent && now.Before(h.lentUntil) {
		return Loan{}
	}
	least := time.Duration(leastLoan * float64(l.cfg.Lease))
	shares := h.lendable(now, least, true)
	if shares == 0 {
		return Loan{}
	}
	term := l.cfg.Lease
	for _, b := range h.borrowed {
		if left := b.until.Sub(now); left > least && b.passOn {
			term = min(term, left)
		}
	}
	if l.faults.usesLentShares {
		return Loan{Shares: shares, Until: parentClock + term, PassOn: passesOn}
	}
	h.lentTo, h.passedOn = l.parent, passesOn || h.passedOn && h.lentTo == l.parent
	if until := now.Add(l.reclaimAfter(term)); until.After(h.lentUntil) {
		h.lentUntil = until
	}
	h.empty()
	return Loan{Shares: shares, Until: parentClock + term, PassOn: passesOn}
}

// driftDivisor gives the part of a term by which the clocks of two nodes may drift apart.
const driftDivisor = 20

// reclaimAfter returns the time after which a share that was lent for a term may be used again.
func (l *Ledger) reclaimAfter(term time.Duration) time.Duration { return term + term/driftDivisor }

// Borrow records the loan in a heartbeat of another node. One that lasts longer than Config.Lease
// can't be meant for this process and is ignored.
func (l *Ledger) Borrow(now time.Time, from Peer, loan Loan) {
	l.holdings.advance(now)
	until := l.origin.Add(loan.Until)
	if loan.Shares <= 0 || until.Sub(now) > l.cfg.Lease {
		delete(l.holdings.borrowed, from)
		return
	}
	if l.faults.neverReturns {
		until = until.Add(time.Hour)
	}
	l.holdings.borrowed[from] = lent{shares: loan.Shares, until: until, passOn: loan.PassOn}
}

// Returned makes the shares that were lent to a node usable at once: the node has returned them.
func (l *Ledger) Returned(now time.Time, by Peer) {
	if l.holdings.lentTo != by || !now.Before(l.holdings.lentUntil) {
		return
	}
	l.holdings.advance(now)
	l.holdings.lentUntil = now
}

// Ended makes the shares usable at once that were lent to a node whose process has ended, unless it
// may have lent them on.
func (l *Ledger) Ended(now time.Time, p Peer) {
	if !l.holdings.passedOn {
		l.Returned(now, p)
	}
}

// LentTo returns the node that has the shares of this one, zero for none.
func (l *Ledger) LentTo(now time.Time) Peer {
	if !now.Before(l.holdings.lentUntil) {
		return 0
	}
	return l.holdings.lentTo
}

// UsableIn returns the time until the node may use its own share again, zero if it may.
func (l *Ledger) UsableIn(now time.Time) time.Duration {
	from := l.holdings.ownFrom
	if l.holdings.lentUntil.After(from) {
		from = l.holdings.lentUntil
	}
	return max(from.Sub(now), 0)
}

// MayReturn reports whether no other node uses what this one has borrowed, so that it may return it.
func (l *Ledger) MayReturn(now time.Time) bool { return l.parent == 0 && l.LentTo(now) == 0 }

// PeerGone forgets the shares and the asks of a node whose link has ended.
func (l *Ledger) PeerGone(now time.Time, p Peer) {
	l.holdings.advance(now)
	delete(l.holdings.borrowed, p)
	if l.parent == p {
		l.SetParent(now, 0)
	}
}

// SetHosts sets the number of hosts, including those that can't be reached.
func (l *Ledger) SetHosts(now time.Time, hosts int) {
	l.holdings.advance(now)
	l.holdings.hosts = max(hosts, 1)
}

// SetParent sets the node that this one lends its shares to and asks for tokens; zero for none. What
// was asked of the one before is asked again.
func (l *Ledger) SetParent(now time.Time, p Peer) {
	if l.parent == p {
		return
	}
	l.holdings.advance(now)
	l.parent = p
	if l.flight != nil {
		l.queued = append(l.flight.parts, l.queued...)
		l.flight = nil
	}
}
