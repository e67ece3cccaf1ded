package core

import (
	"math"
	"time"
)

// Rates of a node's calls to the platform. At the target size of 11 data
// centres the roots and the publisher together stay below 1,100 calls per
// second, which leaves room for nodes that join. Of these calls, only the
// publisher's write anything besides leases. Claims and reads of the source
// are not included, see limited.
const (
	rootCallsPerSecond = 100
	rootCallBurst      = 200
	nodeCallsPerSecond = 0.5
	nodeCallBurst      = 4
)

// callClass orders the calls that wait for the rate limit.
type callClass uint8

const (
	classLease   callClass = iota // a lease that isn't renewed in time is lost
	classPublish                  // changes of configuration
	classRead                     // all other calls
	classGarbage                  // garbage collection
	callClasses
)

// callLimit limits the rate of platform calls (token bucket). After the
// platform has throttled a call, it holds back all calls except those for
// leases for some time.
type callLimit struct {
	tokens     float64
	lastRefill time.Time
	resumeAt   time.Time // after a throttled call, only lease calls are sent before this time
	backoff    backoff
	waiting    [callClasses][]Effect
}

func (c storeCall) class() callClass {
	switch c.purpose {
	case forRootLeaseWrite, forPublisherLease:
		return classLease
	case forLeavingSweep, forLeavingDelete:
		return classGarbage
	case forPublisher:
		if c.step == stepListGarbage || c.step == stepDeleteGarbage {
			return classGarbage
		}
		return classPublish
	}
	return classRead
}

// limited reports whether callLimit applies to a call. Claims have a limit of
// their own.
func (c storeCall) limited() bool {
	switch c.purpose {
	case forClaimWrite, forClaimRead, forClaimEnd, forClaimSweep:
		return false
	case forSourceRead, forSourceWatch:
		return false // one at a time; a watch is answered by a change or when its wait ends, and failed reads back off
	case forLeavingRead, forLeavingWrite:
		return false // one at a time, few in the life of a backend server; failed ones back off
	}
	return true
}

// callPlatform emits a call now, or once the limit allows it.
func (s *State) callPlatform(c storeCall, e Effect) {
	if !c.limited() {
		s.emit(e)
		return
	}
	l := &s.platform.limit
	l.waiting[c.class()] = append(l.waiting[c.class()], e)
	s.releaseCalls()
}

// releaseCalls emits waiting calls in order of urgency, as far as the limit
// allows.
func (s *State) releaseCalls() {
	l := &s.platform.limit
	rate, burst := float64(nodeCallsPerSecond), float64(nodeCallBurst)
	if s.member.phase == phaseRoot || s.publisher.active {
		rate, burst = rootCallsPerSecond, rootCallBurst
	}
	l.tokens = math.Min(burst, l.tokens+rate*max(s.now.Sub(l.lastRefill), 0).Seconds())
	l.lastRefill = s.now
	for class := range l.waiting {
		for len(l.waiting[class]) > 0 && l.tokens >= 1 {
			if callClass(class) != classLease && s.now.Before(l.resumeAt) {
				return
			}
			l.tokens--
			s.emit(l.waiting[class][0])
			l.waiting[class] = l.waiting[class][1:]
		}
	}
}

// platformAnswered adapts the limit to the result of a call.
func (s *State) platformAnswered(done StoreDone) {
	l := &s.platform.limit
	switch done.Err {
	case StoreThrottled:
		l.resumeAt = s.nextTry(&l.backoff)
	case StoreOK:
		l.backoff.reset()
	}
}
