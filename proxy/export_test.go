package proxy

// Breaks are the faults that a test may put in.
type Breaks struct {
	UnknownAsNotRun, CutEndsCleanly, AttemptsUnnamed, TransportReplays, ResendsUnknown, AnswersUnchecked, NeverAsks, TrustsIdle bool
}

// Break puts faults in.
func (p *Proxy) Break(b Breaks) {
	p.broken = breaks{
		unknownAsNotRun: b.UnknownAsNotRun, cutEndsCleanly: b.CutEndsCleanly, attemptsUnnamed: b.AttemptsUnnamed,
		transportReplays: b.TransportReplays, resendsUnknown: b.ResendsUnknown,
		answersUnchecked: b.AnswersUnchecked, neverAsks: b.NeverAsks, trustsIdle: b.TrustsIdle,
	}
}
