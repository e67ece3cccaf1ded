package admission_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestMemoryNeverTakesASeenAttemptForFresh compares a small memory with one
// that keeps all, for numbers that come in any order.
func TestMemoryNeverTakesASeenAttemptForFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := admission.NewMemory(rapid.IntRange(1, 8).Draw(t, "limit"))
		all := map[admission.ID]admission.Fate{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := admission.ID{Origin: rapid.Uint64Range(1, 3).Draw(t, "origin"), Number: rapid.Uint64Range(1, 40).Draw(t, "number")}
			m.Age()
			got, want := m.Fate(id), all[id]
			switch {
			case want != admission.Fresh && got == admission.Fresh:
				t.Fatalf("%v was seen (%d) and counts as fresh", id, want)
			case want == admission.Open && got != admission.Open:
				t.Fatalf("%v is open and counts as %d", id, got)
			case got != want && got != admission.Forgotten:
				t.Fatalf("%v is %d and counts as %d", id, want, got)
			}
			switch {
			case got == admission.Fresh:
				all[id] = rapid.SampledFrom([]admission.Fate{admission.Open, admission.Refused}).Draw(t, "fate")
				m.Add(id, all[id])
			case got == admission.Open:
				all[id] = rapid.SampledFrom([]admission.Fate{admission.Started, admission.Refused}).Draw(t, "end")
				m.End(id, all[id])
			}
		}
	})
}

// TestMemoryIsBounded sends far more attempts, from far more processes, than
// are kept.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := admission.NewMemory(100)
	for i := range uint64(10_000) {
		id := admission.ID{Origin: i % 50, Number: i}
		m.Add(id, admission.Open)
		m.End(id, admission.Started)
	}
	attempts, origins := m.Len()
	is.Equal(attempts, 100)
	is.Equal(origins, 50)
	is.Equal(m.Fate(admission.ID{Origin: 3, Number: 3}), admission.Forgotten)
	for range 100_000 {
		m.Age()
	}
	_, origins = m.Len()
	is.Equal(origins, 0) // nothing can be under way from them any more
}
