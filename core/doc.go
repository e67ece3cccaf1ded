// Package core implements the decision logic of a node as a single reducer:
// events in, effects (as data) out.
//
// A State is driven by Reduce, which takes an event and the time at which
// it happened and returns effects. Reduce does no I/O, reads no clock,
// starts no goroutine, takes no lock and writes no log; its random numbers
// come from a seed. The caller executes the effects and passes their
// results to Reduce as further events:
//
//	s := core.New(cfg)
//	for _, effect := range s.Reduce(now, core.Tick{}) {
//		// send, dial, read, write, answer …; later:
//		// s.Reduce(now, core.StoreDone{Call: effect.Call, …})
//	}
//
// The caller must pass a Tick every Config.TickEvery; all timers are
// deadlines in State that are checked on a Tick. Reduce must not be called
// concurrently.
//
// These packages below this one can be used on their own: config, lease,
// endpoint, balance, admission, retry and status.
package core
