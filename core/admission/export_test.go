package admission

// Fault identifies a safeguard that a test disables.
type Fault string

// The faults that tests inject.
const (
	NoBypass    Fault = "strict priority without guaranteed starts"
	NoWaitLimit Fault = "no attempt dropped because of its wait"
	OverCommit  Fault = "one more attempt running than slots"
	LinkIgnored Fault = "link capacity not checked"
	RateIgnored Fault = "rate limit not checked"
)

// InjectFault disables a safeguard.
func (q *Queue) InjectFault(f Fault) {
	q.fault = fault{
		noBypass: f == NoBypass, noWaitLimit: f == NoWaitLimit, overCommit: f == OverCommit,
		linkIgnored: f == LinkIgnored, rateIgnored: f == RateIgnored,
	}
}
