package node

import (
	"testing"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// BenchmarkObserver measures the observer's cost for one request from its arrival
// to its answer.
func BenchmarkObserver(b *testing.B) {
	n, _ := newTestNode()
	o := n.observer
	var call core.CallID
	b.ReportAllocs()
	for b.Loop() {
		call++
		o.event(core.CallArrived{Call: call})
		o.effect(core.Forward{Call: call, Class: admission.Interactive})
		o.event(core.AttemptArrived{})
		o.effect(core.Run{})
		o.event(core.AttemptDone{})
		o.event(core.AttemptEnded{Call: call, Outcome: retry.Ran})
		o.callClosed(call)
	}
}
