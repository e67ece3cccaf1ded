package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var limitStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// countCalls counts the platform calls among effects, by key.
func countCalls(effects []Effect) map[string]int {
	calls := map[string]int{}
	for _, e := range effects {
		switch e := e.(type) {
		case StoreGet:
			calls[e.Key]++
		case StorePut:
			calls[e.Key]++
		}
	}
	return calls
}

// TestUrgentCallsSkipTheQueue lets less urgent calls use up the limit and then
// checks the order in which the waiting ones are sent.
func TestUrgentCallsSkipTheQueue(t *testing.T) {
	is := is.New(t)
	s := New(Config{Node: "a", DataCentre: "a"})
	s.now = limitStart
	s.setPhase(phaseRoot)
	for range rootCallBurst + 50 {
		s.storeGet("read", storeCall{purpose: forChunk})
	}
	is.Equal(countCalls(s.effects)["read"], rootCallBurst)
	s.storePut("garbage", nil, 0, storeCall{purpose: forPublisher, step: stepDeleteGarbage})
	s.storePut("publish", nil, 0, storeCall{purpose: forPublisher, step: stepWriteChunk})
	s.storePut("lease", nil, 0, storeCall{purpose: forRootLeaseWrite})
	s.storePut("claim", nil, 0, storeCall{purpose: forClaimWrite})
	is.Equal(countCalls(s.effects)["lease"], 0)
	is.Equal(countCalls(s.effects)["claim"], 1) // claims have their own limit

	s.effects = nil
	s.now = s.now.Add(30 * time.Millisecond) // enough for three calls
	s.releaseCalls()
	is.Equal(countCalls(s.effects), map[string]int{"lease": 1, "publish": 1, "read": 1})

	s.effects = nil
	s.now = s.now.Add(time.Second)
	s.releaseCalls()
	is.Equal(countCalls(s.effects), map[string]int{"read": 49, "garbage": 1}) // garbage collection comes last
}

func TestThrottledCallsBackOff(t *testing.T) {
	is := is.New(t)
	s := New(Config{Node: "a", DataCentre: "a"})
	s.now = limitStart
	s.setPhase(phaseRoot)
	calls := 0
	for at := limitStart; at.Before(limitStart.Add(time.Minute)); at = at.Add(50 * time.Millisecond) {
		s.now, s.effects = at, nil
		if len(s.platform.limit.waiting[classRead]) == 0 {
			s.storeGet("read", storeCall{purpose: forChunk})
		}
		s.releaseCalls()
		for range countCalls(s.effects)["read"] {
			calls++
			s.platformAnswered(StoreDone{Err: StoreThrottled})
		}
	}
	is.True(calls > 10) // retried repeatedly
	is.True(calls < 90) // in a minute, with an average delay of 2 s after a few shorter ones
	s.storePut("lease", nil, 0, storeCall{purpose: forRootLeaseWrite})
	is.Equal(countCalls(s.effects)["lease"], 1) // leases are not held back
}
