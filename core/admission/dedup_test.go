package admission_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestDedupNeverReportsSeenAsUnseen compares a small window with an unbounded
// model, for IDs that arrive in any order.
func TestDedupNeverReportsSeenAsUnseen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := admission.NewDedupWindow(rapid.IntRange(1, 8).Draw(t, "limit"))
		all := map[admission.ID]admission.AttemptState{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := admission.ID{Origin: rapid.Uint64Range(1, 3).Draw(t, "origin"), Number: rapid.Uint64Range(1, 40).Draw(t, "number")}
			m.Tick()
			got, want := m.State(id), all[id]
			switch {
			case want != admission.Unseen && got == admission.Unseen:
				t.Fatalf("State(%v) = Unseen, want %d", id, want)
			case want == admission.Pending && got != admission.Pending:
				t.Fatalf("State(%v) = %d, want Pending", id, got)
			case got != want && got != admission.PossiblySeen:
				t.Fatalf("attempt %v has state %d, State returned %d", id, want, got)
			}
			switch {
			case got == admission.Unseen:
				all[id] = rapid.SampledFrom([]admission.AttemptState{admission.Pending, admission.Refused}).Draw(t, "state")
				m.Add(id, all[id])
			case got == admission.Pending:
				all[id] = rapid.SampledFrom([]admission.AttemptState{admission.Executed, admission.Refused}).Draw(t, "end")
				m.End(id, all[id])
			}
		}
	})
}

// TestDedupWindowIsBounded adds far more attempts than the window holds, from many
// origins.
func TestDedupWindowIsBounded(t *testing.T) {
	is := is.New(t)
	m := admission.NewDedupWindow(100)
	for i := range uint64(10_000) {
		id := admission.ID{Origin: i % 50, Number: i}
		m.Add(id, admission.Pending)
		m.End(id, admission.Executed)
	}
	attempts, origins := m.Len()
	is.Equal(attempts, 100)
	is.Equal(origins, 50)
	is.Equal(m.State(admission.ID{Origin: 3, Number: 3}), admission.PossiblySeen)
	for range 100_000 {
		m.Tick()
	}
	_, origins = m.Len()
	is.Equal(origins, 0) // no copy from these origins can still be in transit
}
