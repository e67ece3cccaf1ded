// Package core is the decision-making of a node as one reducer over all
// events, with effects as data.
//
// A State is driven by Reduce: an event goes in with the time at which it
// happened, effects come out. Reduce does no I/O, reads no clock, starts no
// goroutine, takes no lock and writes no log; its random numbers come from a
// seed. The caller carries the effects out and steps their results in as
// further events:
//
//	s := core.New(cfg)
//	for _, effect := range s.Reduce(now, core.Tick{}) {
//		// send, dial, read, write, answer …; later:
//		// s.Reduce(now, core.StoreDone{Call: effect.Call, …})
//	}
//
// A Tick is due every Config.TickEvery; all timers are deadlines in State
// that are looked at on a Tick. Reduce must not be called concurrently.
//
// The parts that others may embed on their own are packages below this one:
// config, lease, endpoint, balance, admission, retry and status.
package core
