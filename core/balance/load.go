package balance

import "time"

// minSilenceRatio is the silence of an endpoint with requests in flight from which
// it counts as slow, as a multiple of the average latency of the slowest kind of
// request of its group.
const minSilenceRatio = 5

// errorPenalty is by how much the load factor of an endpoint rises if all of its
// answers are errors and none of its group's are.
const errorPenalty = 10

// load returns the estimated load of an endpoint per slot: the requests in flight
// from this node, which the endpoint can't misreport, and the queue length reported
// by its last answer. Each consecutive failed attempt counts as a full load. The sum
// is multiplied if answers take longer, or are errors more often, than those of the
// group. All observations decay with age, so that an endpoint that got no requests
// is tried again.
func (b *Balancer) load(now time.Time, e *Endpoint) float64 {
	slots := float64(max(e.Row.Slots, 1))
	total := float64(e.inFlight + 1)
	if e.queue > 0 {
		total += float64(e.queue) * decay(now.Sub(e.answeredAt), b.cfg.QueueStale)
	}
	if e.failures > 0 {
		total += float64(e.failures) * slots * decay(now.Sub(e.failedAt), b.cfg.HealthStale)
	}
	return total * b.slowdown(now, e) * b.errorFactor(now, e) / slots
}

// slowdown returns the factor by which requests take longer at an endpoint than at
// the others of its group. It is based on the latency of its answers, or on how long
// the requests in flight have been without an answer.
func (b *Balancer) slowdown(now time.Time, e *Endpoint) float64 {
	slow := 1.0
	if e.relativeLatency > 0 {
		slow += (e.relativeLatency - 1) * decay(now.Sub(e.timedAt), b.cfg.HealthStale)
	}
	if ratio := e.silenceRatio(now); ratio > minSilenceRatio {
		fresh := 1.0
		if e.inFlight == 0 {
			fresh = decay(now.Sub(e.givenUpAt), b.cfg.HealthStale)
		}
		slow = max(slow, min(ratio, maxRelativeLatency)*fresh)
	}
	return slow
}

// errorFactor returns the factor by which the load of an endpoint is raised because
// its share of errors exceeds that of its group.
func (b *Balancer) errorFactor(now time.Time, e *Endpoint) float64 {
	if e.group == nil || e.errorShare <= e.group.errorShare {
		return 1
	}
	return 1 + errorPenalty*(e.errorShare-e.group.errorShare)*decay(now.Sub(e.errorAt), b.cfg.HealthStale)
}

// decay returns the weight of an observation of a given age. It falls linearly from
// one to zero at the age stale.
func decay(age, stale time.Duration) float64 {
	if age >= stale {
		return 0
	}
	return 1 - float64(age)/float64(stale)
}
