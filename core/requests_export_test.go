package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
)

// SetReadyForTest lets the node accept calls without having joined a tree.
func (s *State) SetReadyForTest() { s.member.current = true }

// RequestFault names a safeguard that a test disables.
type RequestFault string

// The safeguards that tests disable.
const (
	ForgetCancelled     RequestFault = "a cancelled attempt is not remembered"
	ForgetSeen          RequestFault = "an attempt seen before runs again"
	IgnoreIncarnation   RequestFault = "a node answers for its earlier incarnations"
	CopiesNotRun        RequestFault = "a copy is refused as not run"
	ForgetUnknown       RequestFault = "not run is reported after an unknown outcome"
	RetryNonIdempotent  RequestFault = "non-idempotent calls are retried"
	UnlimitedRetries    RequestFault = "retries have no budget"
	ServeWhileDraining  RequestFault = "a draining backend server accepts new attempts"
	SkipDrainWait       RequestFault = "a drain does not wait for what is in flight"
	IgnoreExit          RequestFault = "a stopping node accepts calls without regard to the time left"
	ForgetKeys          RequestFault = "a node does not remember idempotency keys"
	AcceptUnknownClaims RequestFault = "a claim with an unknown write result counts as held"
	ForgetNotices       RequestFault = "a node ignores what others, and the platform, know of its backend server"
	IgnoreClaims        RequestFault = "a claim of another request counts as held"
)

// InjectRequestFault disables one safeguard and enables all others; the
// empty fault enables all of them.
func (s *State) InjectRequestFault(f RequestFault) {
	s.requestFaults = requestFaults{
		forgetCancelled: f == ForgetCancelled, forgetSeen: f == ForgetSeen, ignoreIncarnation: f == IgnoreIncarnation,
		copiesNotRun: f == CopiesNotRun, forgetUnknown: f == ForgetUnknown, retryNonIdempotent: f == RetryNonIdempotent,
		unlimitedRetries: f == UnlimitedRetries, serveWhileDraining: f == ServeWhileDraining, skipDrainWait: f == SkipDrainWait,
		ignoreExit: f == IgnoreExit, forgetNotices: f == ForgetNotices, forgetKeys: f == ForgetKeys, acceptUnknownClaims: f == AcceptUnknownClaims, ignoreClaims: f == IgnoreClaims,
	}
}

// SetClaimKeepForTest sets how long claims are kept in the platform.
func (s *State) SetClaimKeepForTest(d time.Duration) { s.cfg.ClaimKeep = d }

// ChooseForTest returns the ID of the backend server that a call gets next, empty for none.
func (s *State) ChooseForTest(service string, tried, barred []string) string {
	policy := &config.Policy{}
	p, ok := s.chooseBackend(&call{service: service, route: &config.Route{Policy: policy}, tried: tried, barred: barred})
	if !ok {
		return ""
	}
	return p.Row.ID
}

// SetConfigForTest puts an empty configuration in force.
func (s *State) SetConfigForTest() {
	s.member.current = true
	s.applyIfNewer(config.NewSet(s.configVersion()+1, nil))
}
