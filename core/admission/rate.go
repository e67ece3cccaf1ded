package admission

import (
	"math"
	"time"
)

// RateLimit is the number of requests per second that a backend server takes.
type RateLimit struct {
	PerSecond float64
	Named     bool // false: there is no limit
}

const (
	// rateBurstTime is the time whose requests may start at once. Callers come in
	// bursts, and the rate over some seconds is what relieves a backend server.
	rateBurstTime = time.Second
	// rateBurstExtra is the number of requests by which the burst is larger, so that
	// the classes differ under a limit below one request per second too.
	rateBurstExtra = 2
	// minRate is the rate in requests per second that is used for lower limits. Only
	// an answer can tell that a limit has ended, so there has to be one from time to time.
	minRate = 0.25
	// urgentShare is the share of the burst that is kept from the least urgent class.
	urgentShare = 0.5
	// spentLoad is the queue length per slot that RateQueue reports once no request
	// has room: twice of what makes an endpoint fully loaded.
	spentLoad = 2
)

// rate is a token bucket. Each start of an attempt takes a token, and as many tokens
// as attempts wait are reserved for them.
type rate struct {
	limit    RateLimit
	tokens   float64
	filledAt time.Time
}

func (r *rate) perSecond() float64 { return max(r.limit.PerSecond, minRate) }

// burst returns the capacity of the bucket in tokens.
func (r *rate) burst() float64 { return r.perSecond()*rateBurstTime.Seconds() + rateBurstExtra }

func (r *rate) fill(now time.Time) {
	r.tokens = min(r.burst(), r.tokens+r.perSecond()*max(now.Sub(r.filledAt), 0).Seconds())
	r.filledAt = now
}

// reserved returns the number of tokens that a class leaves to more urgent ones.
func (r *rate) reserved(c Class) float64 {
	return (r.burst() - 1) * urgentShare * float64(c) / float64(MaxClass)
}

// SetRateLimit sets the limit on starts from now on, and returns the waiting attempts
// that have no room, the least urgent first. A limit that another follows keeps the
// tokens left; one that follows none begins with all tokens if full is set, and with a
// single one otherwise. The slice is valid until the next call.
func (q *Queue) SetRateLimit(now time.Time, l RateLimit, full bool) []Attempt {
	if l == q.rate.limit {
		return nil
	}
	if r := &q.rate; r.limit.Named {
		r.fill(now)
		r.limit = l
		r.tokens = min(r.tokens, r.burst())
	} else {
		*r = rate{limit: l, tokens: 1, filledAt: now}
		if full {
			r.tokens = r.burst()
		}
	}
	q.dropped = q.dropped[:0]
	q.evictBeyondRate(0)
	return q.dropped
}

// rateHasRoom reports whether the rate limit has room for an attempt of a class beside
// the waiting ones that are as urgent.
func (q *Queue) rateHasRoom(now time.Time, c Class) bool {
	r := &q.rate
	if !r.limit.Named || q.fault.rateIgnored {
		return true
	}
	r.fill(now)
	left := r.tokens
	for i := range c + 1 {
		left -= float64(q.waiting[i].len())
	}
	return left >= 1+r.reserved(c)
}

// takeToken counts a start.
func (q *Queue) takeToken() {
	if q.rate.limit.Named {
		q.rate.tokens--
	}
}

// evictBeyondRate adds waiting attempts to q.dropped until those left, and the given
// number of others, have a token each. The newest of the least urgent class goes first.
func (q *Queue) evictBeyondRate(others int) {
	if !q.rate.limit.Named || q.fault.rateIgnored {
		return
	}
	for c := int(MaxClass); c >= 0; c-- {
		for l := &q.waiting[c]; l.len() > 0 && float64(q.numWaiting+others) > q.rate.tokens; q.numWaiting-- {
			q.dropped = append(q.dropped, l.popLast())
		}
	}
}

// RateRoom returns the number of attempts that the rate limit has room for, negative
// if there is no limit.
func (q *Queue) RateRoom(now time.Time) float64 {
	if !q.rate.limit.Named {
		return -1
	}
	q.rate.fill(now)
	return max(q.rate.tokens-float64(q.numWaiting), 0)
}

// RateQueue returns the queue length that stands for the part of the rate limit that
// is used up, zero if there is no limit. Whoever chooses between backend servers by
// their queues then uses each up to its limit.
func (q *Queue) RateQueue(now time.Time) int {
	if !q.rate.limit.Named {
		return 0
	}
	used := 1 - q.RateRoom(now)/q.rate.burst()
	return int(math.Round(spentLoad * float64(q.cfg.Slots) * used))
}
