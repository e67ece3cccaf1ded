package admission

// Fault names a safeguard that a test turns off.
type Fault string

// The safeguards that tests turn off.
const (
	NoBypass    Fault = "no class lets another one go first"
	NoWaitLimit Fault = "nothing is dropped for its wait"
	OverCommit  Fault = "one more runs than there are slots"
	LinkIgnored Fault = "the room on the link is not looked at"
)

// InjectFault turns a safeguard off.
func (q *Queue) InjectFault(f Fault) {
	q.fault = fault{noBypass: f == NoBypass, noWaitLimit: f == NoWaitLimit, overCommit: f == OverCommit, linkIgnored: f == LinkIgnored}
}
