package core

import "time"

// callerTime is the time that callers give their requests of one kind. One that comes back
// after a refusal has less left than it had at first, and nothing else tells it from others.
type callerTime struct {
	usualLeast time.Duration // time that all but few callers have at their first try; zero: unknown
}

const (
	// fewShare is the share of callers that have less than callerTime.usualLeast.
	fewShare = 0.05
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
	if t.usualLeast == 0 {
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
	if budget <= 0 {
		return 0
	}
	waited := t.usualLeast - budget
	if float64(waited) < unsureShare*float64(t.usualLeast) {
		return 0
	}
	return waited
}
