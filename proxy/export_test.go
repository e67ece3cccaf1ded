package proxy

// Faults are the faults that a test can inject.
type Faults struct {
	ReportsUnknownAsNotRun, HidesTruncation, IgnoresAttemptIDs, TransportReplays,
	ResendsUnknown, SkipsResponseCheck, NeverQueries, TrustsIdleConns bool
}

// InjectFaults replaces the injected faults.
func (p *Proxy) InjectFaults(b Faults) {
	p.injected = injectedFaults{
		reportsUnknownAsNotRun: b.ReportsUnknownAsNotRun, hidesTruncation: b.HidesTruncation, ignoresAttemptIDs: b.IgnoresAttemptIDs,
		transportReplays: b.TransportReplays, resendsUnknown: b.ResendsUnknown,
		skipsResponseCheck: b.SkipsResponseCheck, neverQueries: b.NeverQueries, trustsIdleConns: b.TrustsIdleConns,
	}
}
