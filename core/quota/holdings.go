package quota

import "time"

// holdings are the shares that a node may use: its own and those that other nodes have lent it.
// While it has lent them on it may use none.
type holdings struct {
	hosts     int // number of shares there are
	ownFrom   time.Time
	lentTo    Peer
	lentUntil time.Time
	passedOn  bool // lentTo was allowed to lend them on
	borrowed  map[Peer]lent

	// filled is the integral of the fraction held over time, in seconds, since the node last had
	// lent its shares. It lets the pools of all accounts be filled without visiting them.
	filled     float64
	filledAt   time.Time
	fractionAt float64 // at filledAt
	generation uint64  // number of times that the pools were emptied
}

// lent is a number of shares that another node has lent to this one.
type lent struct {
	shares int
	until  time.Time
	passOn bool // this node may lend them on
}

func newHoldings(now time.Time, hosts int, ownFrom time.Time) holdings {
	return holdings{hosts: max(hosts, 1), ownFrom: ownFrom, borrowed: map[Peer]lent{}, filledAt: now, generation: 1}
}

// shares returns the number of shares that may be used at a time.
func (h *holdings) shares(now time.Time) int {
	if now.Before(h.lentUntil) {
		return 0
	}
	return h.lendable(now, 0, false)
}

// lendable returns the number of shares that this node holds for at least some more time, whether
// or not it has lent them on. With passOn only those count that it may lend on.
func (h *holdings) lendable(now time.Time, atLeast time.Duration, passOn bool) int {
	n := 0
	if !now.Before(h.ownFrom) {
		n = 1
	}
	for _, l := range h.borrowed {
		if l.until.Sub(now) > atLeast && (l.passOn || !passOn) {
			n += l.shares
		}
	}
	return n
}

// advance fills the pools up to a time. For the time since the last call the smaller fraction of
// both ends counts, so that a loan that has ended in between is not used any longer.
func (h *holdings) advance(now time.Time) {
	fraction := min(float64(h.shares(now))/float64(h.hosts), 1)
	if elapsed := now.Sub(h.filledAt); elapsed > 0 {
		h.filled += min(fraction, h.fractionAt) * elapsed.Seconds()
	}
	h.filledAt, h.fractionAt = now, fraction
}

// fraction returns the part of each limit that the node may grant, as of the last advance.
func (h *holdings) fraction() float64 { return h.fractionAt }

// empty empties all pools.
func (h *holdings) empty() {
	h.filled, h.fractionAt = 0, 0
	h.generation++
}

// pool holds the tokens of one account at the node that grants them.
type pool struct {
	level      float64
	filled     float64 // holdings.filled when level was computed
	generation uint64
	promised   time.Time // when the last denied request was told to come back
}

// refill computes the level. A pool that was never used has filled since the node holds shares.
func (p *pool) refill(h *holdings, limit Limit) {
	if p.generation != h.generation {
		*p = pool{generation: h.generation, promised: p.promised}
	}
	p.level = min(p.level+(h.filled-p.filled)*limit.PerSecond, limit.Burst*h.fraction())
	p.filled = h.filled
}

// take takes up to a number of tokens and returns how many it took.
func (p *pool) take(h *holdings, limit Limit, tokens int) int {
	p.refill(h, limit)
	n := max(0, min(tokens, int(p.level)))
	p.level -= float64(n)
	return n
}

// takeSpare takes tokens that nobody waits for, as long as the pool stays half full.
func (p *pool) takeSpare(h *holdings, limit Limit, tokens int) int {
	p.refill(h, limit)
	return p.take(h, limit, min(tokens, int(p.level-limit.Burst*h.fraction()/2)))
}

// maxPromise bounds the time after which a denied request is told to come back.
const maxPromise = 10 * time.Second

// promise returns the time after which a denied request will find a token. Each gets a time of its
// own, as tokens come one after the other.
func (p *pool) promise(now time.Time, h *holdings, limit Limit) time.Duration {
	rate := limit.PerSecond * h.fraction()
	if rate <= 0 {
		return maxPromise
	}
	next := now.Add(seconds((1 - p.level) / rate))
	if later := p.promised.Add(seconds(1 / rate)); later.After(next) {
		next = later
	}
	p.promised = next
	if after := next.Sub(now); after < maxPromise {
		return max(after, 0)
	}
	p.promised = now.Add(maxPromise)
	return maxPromise
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxPromise.Seconds()) * float64(time.Second))
}
