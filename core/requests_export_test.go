package core

import "time"

// SetReadyForTest lets the node serve without a tree.
func (s *State) SetReadyForTest() { s.member.current = true }

// RequestFault names a safeguard that a test turns off.
type RequestFault string

// The safeguards that tests turn off.
const (
	ForgetCancelled     RequestFault = "a cancelled attempt is not remembered"
	ForgetSeen          RequestFault = "an attempt seen before runs again"
	IgnoreIncarnation   RequestFault = "a node answers for its earlier lives"
	CopiesNotRun        RequestFault = "a copy is refused as not run"
	ForgetUnknown       RequestFault = "not run is said after an unknown fate"
	RetryNonIdempotent  RequestFault = "non-idempotent calls are repeated"
	UnlimitedRetries    RequestFault = "retries have no budget"
	ServeWhileDraining  RequestFault = "a leaving backend server takes new attempts"
	SkipDrainWait       RequestFault = "a drain does not wait for what is in flight"
	ForgetKeys          RequestFault = "a node forgets idempotency keys"
	AcceptUnknownClaims RequestFault = "a claim of unknown fate counts as held"
	IgnoreClaims        RequestFault = "a claim of another counts as held"
)

// BreakForTest turns a safeguard off.
func (s *State) BreakForTest(f RequestFault) {
	s.requestFaults = requestFaults{
		forgetCancelled: f == ForgetCancelled, forgetSeen: f == ForgetSeen, ignoreIncarnation: f == IgnoreIncarnation,
		copiesNotRun: f == CopiesNotRun, forgetUnknown: f == ForgetUnknown, retryNonIdempotent: f == RetryNonIdempotent,
		unlimitedRetries: f == UnlimitedRetries, serveWhileDraining: f == ServeWhileDraining, skipDrainWait: f == SkipDrainWait,
		forgetKeys: f == ForgetKeys, acceptUnknownClaims: f == AcceptUnknownClaims, ignoreClaims: f == IgnoreClaims,
	}
}

// SetClaimKeepForTest sets how long claims stay in the platform.
func (s *State) SetClaimKeepForTest(d time.Duration) { s.cfg.ClaimKeep = d }
