package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
)

// TestDoneReturnsWait checks the returned wait of an attempt that starts at once
// and of one that waits for its end.
func TestDoneReturnsWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := admission.New(admission.DefaultConfig(1))
	first, second := admission.ID{Number: 1}, admission.ID{Number: 2}
	for _, id := range []admission.ID{first, second} {
		q.Arrive(now, admission.Attempt{ID: id, Class: admission.Interactive, Deadline: now.Add(time.Minute)})
	}
	now = now.Add(30 * time.Millisecond)
	waited, start, _ := q.Done(now, first, admission.Run{Took: 30 * time.Millisecond})
	is.Equal(waited, time.Duration(0))
	is.Equal(len(start), 1)
	waited, _, _ = q.Done(now.Add(20*time.Millisecond), second, admission.Run{Took: 20 * time.Millisecond})
	is.Equal(waited, 30*time.Millisecond)
}
