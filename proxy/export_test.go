package proxy

import "net"

// Faults are the faults that a test can inject.
type Faults struct {
	ReportsUnknownAsNotRun, HidesTruncation, IgnoresAttemptIDs, TransportReplays,
	ResendsUnknown, SkipsResponseCheck, NeverQueries, TrustsIdleConns bool
}

// InjectFaults replaces the injected faults.
func (p *Proxy) InjectFaults(f Faults) {
	p.injected = injectedFaults{
		reportsUnknownAsNotRun: f.ReportsUnknownAsNotRun, hidesTruncation: f.HidesTruncation, ignoresAttemptIDs: f.IgnoresAttemptIDs,
		transportReplays: f.TransportReplays, resendsUnknown: f.ResendsUnknown,
		skipsResponseCheck: f.SkipsResponseCheck, neverQueries: f.NeverQueries, trustsIdleConns: f.TrustsIdleConns,
	}
}

// PutCallersElsewhere makes all callers count as being on other hosts.
func (p *Proxy) PutCallersElsewhere() {
	p.sameHost = func(net.Addr, net.Addr) bool { return false }
}

// HeldBytes returns the memory that responses take which are read before they are relayed.
func (p *Proxy) HeldBytes() int64 { return p.bodies.reserved.Load() }
