package core

import "time"

// SetReadyForTest lets the node serve without a tree.
func (s *State) SetReadyForTest() { s.member.current = true }

// RequestFault names a safeguard that a test turns off.
type RequestFault string

// The safeguards that tests turn off.
const (
	ForgetCancelled RequestFault = "a cancelled attempt is not remembered"
	ForgetSeen      RequestFault = "an attempt seen before runs again"
	IgnoreLife      RequestFault = "a node answers for its earlier lives"
	VouchForCopies  RequestFault = "a copy is refused as not run"
	ForgetUnknown   RequestFault = "not run is said after an unknown fate"
	RepeatAll       RequestFault = "non-idempotent calls are repeated"
	RetryFreely     RequestFault = "retries have no budget"
	ServeLeaving    RequestFault = "a leaving backend server takes new attempts"
	CutDrain        RequestFault = "a drain does not wait for what is in flight"
	ForgetKeys      RequestFault = "a node forgets idempotency keys"
	TakeLostClaims  RequestFault = "a claim of unknown fate counts as held"
	IgnoreClaims    RequestFault = "a claim of another counts as held"
)

// BreakForTest turns a safeguard off.
func (s *State) BreakForTest(f RequestFault) {
	s.fault = requestFault{
		forgetCancelled: f == ForgetCancelled, forgetSeen: f == ForgetSeen, ignoreLife: f == IgnoreLife,
		vouchForCopies: f == VouchForCopies, forgetUnknown: f == ForgetUnknown, repeatAll: f == RepeatAll,
		retryFreely: f == RetryFreely, serveLeaving: f == ServeLeaving, cutDrain: f == CutDrain,
		forgetKeys: f == ForgetKeys, takeLostClaims: f == TakeLostClaims, ignoreClaims: f == IgnoreClaims,
	}
}

// SetClaimKeepForTest sets how long claims stay in the platform.
func (s *State) SetClaimKeepForTest(d time.Duration) { s.cfg.ClaimKeep = d }
