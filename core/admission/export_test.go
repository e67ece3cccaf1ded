package admission

// Fault names a safeguard that a test turns off.
type Fault string

// The safeguards that tests turn off.
const (
	Strict      Fault = "no class lets another one go first"
	WaitOn      Fault = "nothing is dropped for its wait"
	OverCommit  Fault = "one more runs than there are slots"
	LinkIgnored Fault = "the room on the link is not looked at"
)

// BreakForTest turns a safeguard off.
func (q *Queue) BreakForTest(f Fault) {
	q.fault = fault{strict: f == Strict, waitOn: f == WaitOn, overCommit: f == OverCommit, linkIgnored: f == LinkIgnored}
}
