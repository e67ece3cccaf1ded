package core

import "time"

// pressure is how many calls to a service end without room, as seen by this node.
type pressure struct {
	refused float64 // smoothed share of the calls that ended as not run
	at      time.Time
}

// pressureTime is the time in which what was seen of a service counts for less than half.
// A burst is over, or lasts, within some of it.
const pressureTime = 500 * time.Millisecond

// pressureCalls is the number of calls over which the share is smoothed at least, if many
// of them end at once.
const pressureCalls = 16

// observe adds a call that has ended.
func (p *pressure) observe(now time.Time, refused bool) {
	share := 0.0
	if refused {
		share = 1
	}
	weight := max(1-p.kept(now), 1.0/pressureCalls)
	p.refused += (share - p.refused) * min(weight, 1)
	p.at = now
}

// kept returns the weight that the share still has, which falls with its age.
func (p *pressure) kept(now time.Time) float64 {
	age := now.Sub(p.at)
	return 1 / (1 + float64(age)/float64(pressureTime))
}

// share returns the share of calls that end without room.
func (p *pressure) share(now time.Time) float64 { return p.refused * p.kept(now) }

// pressure returns the pressure on a service.
func (s *State) pressure(service string) *pressure {
	p, ok := s.requests.pressures[service]
	if !ok {
		p = &pressure{}
		s.requests.pressures[service] = p
	}
	return p
}

// othersPressed reports whether calls of this host to other services than that of its backend
// server find no room.
func (s *State) othersPressed() bool {
	for service, p := range s.requests.pressures {
		if service != s.backend.entry.Service && p.share(s.now) >= calmShare {
			return true
		}
	}
	return false
}
