package coretest

import "time"

// The rule for a backend server that names a limit of requests per second: in any time
// of limitWindow it gets at most limitFactor times what that allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// AllowedInWindow returns the number of requests that a limit per second allows in any
// window.
func AllowedInWindow(limit float64) float64 {
	return limitFactor*limit*limitWindow.Seconds() + limitSlack
}

// MostInWindow returns the largest number of requests in any window, by the times at
// which they began, in order.
func MostInWindow(at []time.Time) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
