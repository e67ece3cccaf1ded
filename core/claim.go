package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/retry"
)

// maxKeys bounds the idempotency keys that one node remembers.
const maxKeys = 64 << 10

// Limits of the load that claims put on the platform.
const (
	claimBurst       = 20          // claims at once after an idle period
	claimSweepEvery  = time.Minute // time between two listings of claims, one shard each
	claimSweepBatch  = 600         // deletes after each listing, one per tick: at most ten a second on average
	claimSweepShards = 256         // shards of the claims, by the first byte of the key's hash
)

// ClaimRecord is the stored value of a claim: the right of one call to run
// under an Idempotency-Key, and the outcome of that call.
type ClaimRecord struct {
	Owner         string `json:"owner"`             // ID of the call across all nodes
	CreatedMillis int64  `json:"made"`              // creation time in Unix milliseconds
	Outcome       string `json:"outcome,omitempty"` // "ran" if the call is known to have run, empty otherwise
	Status        int    `json:"status,omitempty"`  // HTTP status of its answer; zero if unknown
}

// claim is a call's claim on its Idempotency-Key. No attempt is sent before
// the claim is held.
type claim struct {
	record  ClaimRecord
	version uint64 // version in the platform; zero if not held yet
}

// claims holds the state of all claims of a node.
type claims struct {
	tokens     float64         // token bucket for Config.ClaimsPerSecond
	lastRefill time.Time       // when tokens was last refilled
	pending    map[CallID]bool // calls whose claim is being written
	nextSweep  time.Time       // when the next shard is to be listed
	shard      int             // the shard to list next
	expired    []expiredClaim  // to be deleted, one per tick
}

// expiredClaim is a claim older than Config.ClaimKeep.
type expiredClaim struct {
	key     string
	version uint64
}

func claimKey(c *call) string { return keyspace.Claims + c.key.String() }

// claim requests from the platform the right to run a call under its key.
func (s *State) claim(id CallID, c *call) {
	c.claim = &claim{record: ClaimRecord{
		Owner: fmt.Sprintf("%s/%x/%d", s.cfg.Node, s.requests.origin, id), CreatedMillis: s.now.UnixMilli(),
	}}
	if !s.requests.claims.take(s.now, s.cfg.ClaimsPerSecond) {
		s.finish(id, retry.NotRun, "claims on idempotency keys are over this node's rate")
		return
	}
	if s.requests.claims.pending == nil {
		s.requests.claims.pending = map[CallID]bool{}
	}
	s.requests.claims.pending[id] = true
	s.storePut(claimKey(c), mustJSON(c.claim.record), 0, storeCall{purpose: forClaimWrite, request: id, name: claimKey(c)})
}

// take reports whether the rate of claims allows another one, and counts it.
func (c *claims) take(now time.Time, perSecond float64) bool {
	if !c.lastRefill.IsZero() {
		c.tokens = min(c.tokens+perSecond*now.Sub(c.lastRefill).Seconds(), claimBurst)
	}
	c.lastRefill = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// claimWritten handles the result of writing a claim. If the result is
// unknown, or the claim exists, the stored claim is read to find its owner.
func (s *State) claimWritten(id CallID, sc storeCall, done StoreDone) {
	c, ok := s.requests.calls[id]
	switch {
	case !ok && done.Err == StoreOK: // the call ended in the meantime and never ran
		s.storeDelete(sc.name, done.Version, storeCall{purpose: forClaimEnd})
	case !ok:
	case done.Err == StoreOK:
		s.claimHeld(id, c, done.Version)
	case done.Err == StoreFailed && s.requestFaults.acceptUnknownClaims, done.Err == StoreConflict && s.requestFaults.ignoreClaims:
		s.claimHeld(id, c, 1)
	case done.Err == StoreFailed, done.Err == StoreConflict:
		s.storeGet(claimKey(c), storeCall{purpose: forClaimRead, request: id})
	default:
		s.finish(id, retry.NotRun, "claim on the idempotency key: "+done.Detail)
	}
}

func (s *State) claimHeld(id CallID, c *call, version uint64) {
	delete(s.requests.claims.pending, id)
	c.claim.version = version
	if !s.answerFits(c) {
		s.finish(id, retry.NotRun, endsTooSoon)
		return
	}
	s.forward(id, c)
}

// claimRead decides by the stored claim whether the call runs. If there is
// none, the call ends as not run, since its own write may still take effect.
func (s *State) claimRead(id CallID, done StoreDone) {
	c, ok := s.requests.calls[id]
	if !ok {
		return
	}
	var rec ClaimRecord
	if done.Err != StoreOK || len(done.Objects) != 1 || json.Unmarshal(done.Objects[0].Data, &rec) != nil {
		s.finish(id, retry.NotRun, "claim on the idempotency key can't be read: "+done.Detail)
		return
	}
	switch {
	case rec.Owner == c.claim.record.Owner:
		s.claimHeld(id, c, done.Objects[0].Version)
	case rec.Outcome == retry.Ran.String():
		s.finishWith(Finish{Call: id, Outcome: retry.Ran, Status: rec.Status, Reason: "a request with this Idempotency-Key ran"})
	default:
		s.finish(id, retry.Unknown, "a request with this Idempotency-Key may have run")
	}
}

// endClaim records how a call ended: the claim is deleted if the call did
// not run, and left unchanged if its outcome is unknown.
func (s *State) endClaim(id CallID, c *call, o retry.Outcome, status int) {
	delete(s.requests.claims.pending, id)
	switch {
	case c.claim.version == 0:
	case o == retry.NotRun:
		s.storeDelete(claimKey(c), c.claim.version, storeCall{purpose: forClaimEnd})
	case o == retry.Ran:
		c.claim.record.Outcome, c.claim.record.Status = o.String(), status
		s.storePut(claimKey(c), mustJSON(c.claim.record), c.claim.version, storeCall{purpose: forClaimEnd})
	}
}

// claimTick ends calls whose claim was not written before their deadline, and
// collects expired claims.
func (s *State) claimTick() {
	for _, id := range sortedNames(s.requests.claims.pending) {
		if c, ok := s.requests.calls[id]; ok && !s.now.Before(c.deadline) {
			s.finish(id, retry.NotRun, "the platform did not answer in time")
		}
	}
	s.sweepClaims()
}

// sweepClaims deletes expired claims if this node is the publisher. It
// lists one shard at a time and deletes one claim per tick, to spread both
// the bytes read and the writes to the platform over time.
func (s *State) sweepClaims() {
	cl := &s.requests.claims
	if !s.publisher.lease.Held(s.now) {
		cl.expired = nil
		return
	}
	if n := len(cl.expired); n > 0 {
		last := cl.expired[n-1]
		cl.expired = cl.expired[:n-1]
		s.storeDelete(last.key, last.version, storeCall{purpose: forClaimEnd})
	}
	if !s.now.Before(cl.nextSweep) {
		cl.nextSweep = s.now.Add(claimSweepEvery)
		s.storeList(fmt.Sprintf("%s%02x", keyspace.Claims, cl.shard), storeCall{purpose: forClaimSweep})
	}
}

func (s *State) claimsListed(done StoreDone) {
	cl := &s.requests.claims
	if done.Err != StoreOK || len(cl.expired) > 0 {
		return
	}
	for _, o := range done.Objects {
		var rec ClaimRecord
		if err := json.Unmarshal(o.Data, &rec); err == nil && s.now.UnixMilli()-rec.CreatedMillis < s.cfg.ClaimKeep.Milliseconds() {
			continue
		}
		if len(cl.expired) == claimSweepBatch {
			return // the same shard is listed again next time
		}
		cl.expired = append(cl.expired, expiredClaim{key: o.Key, version: o.Version})
	}
	cl.shard = (cl.shard + 1) % claimSweepShards
}
