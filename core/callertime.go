package core

import "time"

// callerTime is the time that callers give their requests of one kind. One that comes back
// after a refusal has less left than it had at first, and nothing else tells it from others.
type callerTime struct {
	usualLeast time.Duration // time that all but few callers have at their first try
	callers    int           // observed, at most enoughCallers
}

const (
	// fewShare is the share of callers that have less than callerTime.usualLeast.
	fewShare = 0.05
	// enoughCallers is the number of callers from which usualLeast counts.
	enoughCallers = 64
	// callerTimeStep is the divisor of usualLeast that gives by how much one caller moves it.
	callerTimeStep = 64
	// unsureShare is the part of usualLeast that a caller may have less without being taken
	// for one that comes back: what usualLeast varies by, and the way to this node.
	unsureShare = 0.04
	// calmShare is the share of refused calls below which callers are taken for new ones.
	calmShare = 0.02
)

// observe adds the time that a new caller has (stochastic approximation of a quantile).
func (t *callerTime) observe(budget time.Duration) {
	t.callers = min(t.callers+1, enoughCallers)
	if t.callers == 1 {
		t.usualLeast = budget
		return
	}
	step := float64(t.usualLeast) / callerTimeStep
	if budget < t.usualLeast {
		t.usualLeast -= time.Duration((1 - fewShare) * step)
		return
	}
	t.usualLeast += time.Duration(fewShare * step)
}

// waited returns how long ago a caller with some time left asked first, at least.
func (t *callerTime) waited(budget time.Duration) time.Duration {
	if t.callers < enoughCallers {
		return 0
	}
	waited := t.usualLeast - budget
	if float64(waited) < unsureShare*float64(t.usualLeast) {
		return 0
	}
	return waited
}

// maxCallerTimes bounds the routes whose callers' time is known. Beyond it all are learned anew.
const maxCallerTimes = 4096

// waited returns how long before a call its caller asked first, at least. A backend server of
// the mesh does not come back: its calls have what is left of their request's time.
func (s *State) waited(e CallArrived, route, service string) time.Duration {
	if e.Budget <= 0 || e.FromMesh {
		return 0
	}
	t, ok := s.requests.callerTimes[route]
	if !ok {
		if len(s.requests.callerTimes) >= maxCallerTimes {
			clear(s.requests.callerTimes)
		}
		t = &callerTime{}
		s.requests.callerTimes[route] = t
	}
	waited := t.waited(e.Budget)
	if s.pressure(service).share(s.now) < calmShare {
		t.observe(e.Budget)
	}
	return waited
}
