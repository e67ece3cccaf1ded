package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/quota"
	"github.com/agatekeel/agatekeel/core/retry"
)

// quotas enforces the quotas of client accounts. The tree of nodes carries it: a node asks its
// parent, and the root of a data centre that of the data centre with the smallest name.
type quotas struct {
	ledger *quota.Ledger // nil until the configuration has client accounts

	borrower string // address of the node that the shares were lent to last

	changes uint64 // of the endpoint table when the hosts were last counted
	version uint64 // of the configuration when accounts without a limit were last forgotten
}

func newQuotas() quotas { return quotas{} }

// quotaLeaseHeartbeats is the number of heartbeats for which a share is lent. Each level of the tree
// uses up one of them. After the sudden end of the node that grants nothing is granted for as long.
const quotaLeaseHeartbeats = 3

// quotaAskTimeout is the longest wait for a grant. Callers wait for it, so it is short beside their
// target latencies, and long beside the way through the tree.
const quotaAskTimeout = 300 * time.Millisecond

// quotaLedger returns the ledger, nil while there are no client accounts.
func (s *State) quotaLedger() *quota.Ledger {
	if s.quotas.ledger == nil && s.holder.snapshot.HasAccounts() {
		s.quotas.ledger = quota.New(quota.Config{
			Lease: quotaLeaseHeartbeats * s.cfg.HeartbeatEvery, AskTimeout: quotaAskTimeout,
			Window: s.cfg.QuotaWindow, Overage: s.cfg.QuotaOverage, Slack: s.cfg.QuotaSlack, FirstStart: s.cfg.FirstStart,
		}, s.started, s.countHosts(), s.quotaOf)
	}
	return s.quotas.ledger
}

func (s *State) quotaOf(account string) (quota.Limit, bool) {
	a, ok := s.holder.snapshot.Account(account)
	if !ok || !a.Limited() {
		return quota.Limit{}, false
	}
	return quota.Limit{PerSecond: a.RatePerSecond, Burst: a.Burst}, true
}

// countHosts returns the number of hosts whose nodes may hold a share. One that ended as announced
// holds none. One that was removed because nobody could reach it may go on, unless another process
// has its address.
func (s *State) countHosts() int {
	taken := map[string]bool{}
	rows := s.table.Rows()
	for _, row := range rows {
		if row.State != endpoint.Gone {
			taken[row.Peer] = true
		}
	}
	n := len(taken)
	for _, row := range rows {
		if row.State == endpoint.Gone && row.Suspect && !taken[row.Peer] {
			n++
		}
	}
	return n
}

// charge charges the account of a call, and begins the call once that is done.
func (s *State) charge(id CallID, c *call) {
	ledger := s.quotaLedger()
	if !c.account.Limited() || ledger == nil {
		s.begin(id, c)
		return
	}
	s.followQuotaParent()
	verdict, after := ledger.Take(s.now, quota.Waiter(id), int(c.class), c.account.Name)
	c.awaitsQuota = verdict == quota.Waits
	if c.awaitsQuota {
		s.quotaPoll()
		return
	}
	s.chargeSettled(id, c, verdict, after)
}

// chargeSettled begins a call whose account was charged, and ends any other.
func (s *State) chargeSettled(id CallID, c *call, verdict quota.Verdict, after time.Duration) {
	c.awaitsQuota = false
	left := c.callerDeadline.Sub(s.now)
	switch verdict {
	case quota.Granted:
		c.charged = s.now
		s.begin(id, c)
	case quota.Denied:
		s.refuseCharge(c, Finish{Call: id, Outcome: retry.NotRun, OverQuota: true, Reason: "quota of client account " + c.account.Name + " is used up", RetryAfter: s.retryAfter(after, left)})
	default:
		after = s.quotas.ledger.UsableIn(s.now) // at the latest then this node, or the one that it asks, grants again
		s.refuseCharge(c, Finish{Call: id, Outcome: retry.NotRun, Reason: "quota of client account " + c.account.Name + " can't be checked", RetryAfter: s.retryAfter(after, left)})
	}
}

// refuseCharge ends a call that has reached no backend server. It does not count as pressure on
// its service.
func (s *State) refuseCharge(c *call, f Finish) {
	s.logEnded(c, f)
	s.endCall(f.Call, c, f.Outcome, 0)
	s.emit(f)
}

// endCharge returns what a call that has ended did not use.
func (s *State) endCharge(id CallID, c *call, o retry.Outcome) {
	switch {
	case c.awaitsQuota:
		s.quotas.ledger.Cancel(quota.Waiter(id), c.account.Name)
	case !c.charged.IsZero() && o == retry.NotRun:
		s.quotas.ledger.Refund(s.now, c.account.Name, c.charged)
	}
}

// quotaParent returns the link to the node that this one asks, zero for none.
func (s *State) quotaParent() LinkID {
	switch s.member.phase {
	case phaseJoined:
		return s.member.parent
	case phaseRoot:
		best, dc := LinkID(0), s.cfg.DataCentre
		for id, l := range s.links {
			if l.role == roleRoot && l.open && l.established && l.dc < dc {
				best, dc = id, l.dc
			}
		}
		return best
	}
	return 0
}

func (s *State) followQuotaParent() {
	s.quotas.ledger.SetParent(s.now, quota.Peer(s.quotaParent()))
}

func (s *State) quotaTick() {
	ledger := s.quotaLedger()
	if ledger == nil {
		return
	}
	if n := s.table.Changes(); n != s.quotas.changes {
		s.quotas.changes = n
		ledger.SetHosts(s.now, s.countHosts())
	}
	if v := s.configVersion(); v != s.quotas.version {
		s.quotas.version = v
		ledger.Forget()
	}
	s.followQuotaParent()
	s.quotaPoll()
}

// quotaPoll executes what the ledger asks for. A call that is begun may change the ledger again.
func (s *State) quotaPoll() {
	for _, o := range s.quotas.ledger.Poll(s.now) {
		switch o := o.(type) {
		case quota.AskParent:
			s.send(s.quotaParent(), message.QuotaAsk{Ask: o.Ask})
		case quota.Answer:
			if l, ok := s.links[LinkID(o.To)]; ok && l.open {
				s.send(LinkID(o.To), message.QuotaGrant{Grant: o.Grant})
			}
		case quota.Settled:
			if c, ok := s.requests.calls[CallID(o.ID)]; ok && c.awaitsQuota {
				s.chargeSettled(CallID(o.ID), c, o.Verdict, o.RetryAfter)
			}
		}
	}
}

// quotaHeartbeat returns the part of a heartbeat about quotas, nil while there are no client accounts.
func (s *State) quotaHeartbeat(id LinkID, l *link) *message.QuotaHeartbeat {
	ledger := s.quotaLedger()
	if ledger == nil {
		return nil
	}
	parent := s.quotaParent()
	h := &message.QuotaHeartbeat{Stamp: ledger.Stamp(s.now), PassesOn: parent != 0}
	if id == parent && !l.quotaStampAt.IsZero() {
		s.followQuotaParent()
		h.Loan = ledger.Lend(s.now, l.quotaStamp+s.now.Sub(l.quotaStampAt), l.quotaPassesOn)
		if h.Loan.Shares > 0 {
			s.quotas.borrower = l.peer
		}
	}
	return h
}

func (s *State) quotaHeartbeatReceived(id LinkID, l *link, h *message.QuotaHeartbeat) {
	ledger := s.quotaLedger()
	if h == nil || ledger == nil {
		return
	}
	l.quotaStamp, l.quotaStampAt, l.quotaPassesOn = h.Stamp, s.now, h.PassesOn
	if l.role == roleChild || l.role == roleRoot {
		ledger.Borrow(s.now, quota.Peer(id), h.Loan)
	}
}

// quotaLinkDown forgets what another node has lent or asked. The root that has this one's shares is
// dialled again at once: if it refuses, its process has ended, and they are free.
func (s *State) quotaLinkDown(id LinkID, l *link) {
	ledger := s.quotas.ledger
	if ledger == nil {
		return
	}
	ledger.PeerGone(s.now, quota.Peer(id))
	if l.role == roleRoot && s.member.phase == phaseRoot && !l.leaving && ledger.LentTo(s.now) == quota.Peer(id) {
		s.links[s.dial(l.peer, roleRoot)].dc = l.dc
	}
}

// quotaDialRefused returns the shares of this node if the process that has them has ended.
func (s *State) quotaDialRefused(id LinkID) {
	l, ok := s.links[id]
	if !ok || s.quotas.ledger == nil || l.peer != s.quotas.borrower {
		return
	}
	s.quotas.ledger.Ended(s.now, s.quotas.ledger.LentTo(s.now))
}

// returnsShares reports whether no node uses the shares that were lent to this one, once the link over
// which they were has ended.
func (s *State) returnsShares() bool {
	return s.quotas.ledger != nil && s.quotas.ledger.MayReturn(s.now)
}

func (s *State) quotaSharesReturned(id LinkID, m message.Leaving) {
	if s.quotas.ledger != nil && m.ReturnsShares {
		s.quotas.ledger.Returned(s.now, quota.Peer(id))
	}
}

func (s *State) quotaAsked(id LinkID, l *link, m message.QuotaAsk) {
	if s.quotaLedger() == nil || l.role != roleChild && l.role != roleRoot {
		return
	}
	s.followQuotaParent()
	s.quotas.ledger.Asked(s.now, quota.Peer(id), m.Ask)
	s.quotaPoll()
}

func (s *State) quotaGranted(id LinkID, m message.QuotaGrant) {
	if s.quotaLedger() == nil {
		return
	}
	s.quotas.ledger.Answered(s.now, quota.Peer(id), m.Grant)
	s.quotaPoll()
}
