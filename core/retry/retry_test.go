package retry_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/retry"
)

func TestAllowed(t *testing.T) {
	tests := []struct {
		outcome                   retry.Outcome
		idempotent, answerStarted bool
		want                      bool
	}{
		{retry.Ran, true, false, false},
		{retry.NotRun, false, false, true},
		{retry.Unknown, true, false, true},
		{retry.Unknown, true, true, false},
		{retry.Unknown, false, false, false},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(retry.Allowed(tt.outcome, tt.idempotent, tt.answerStarted), tt.want)
	}
}

// TestBudgetLimitsRetryShare requests a retry after every call and checks that the
// budget grants nearly its share and no more.
func TestBudgetLimitsRetryShare(t *testing.T) {
	const calls = 100_000
	tests := []struct {
		after retry.Outcome
		limit float64 // retries per call
	}{
		{retry.NotRun, 0.1},
		{retry.Unknown, math.Pow(1.1, 1.0/retry.MaxDepth) - 1},
	}
	for _, tt := range tests {
		is := is.New(t)
		b := retry.NewBudget(retry.Config{Share: 0.1, Reserve: 10})
		taken := 0
		for range calls {
			b.AddCall()
			if b.Take(tt.after) {
				taken++
			}
		}
		is.True(float64(taken) <= tt.limit*calls+10)
		is.True(float64(taken) >= 0.9*tt.limit*calls)
	}
}

// TestRefusalsLeaveNoReruns guards against refusals that use up the retries which reruns have
// earned.
func TestRefusalsLeaveNoReruns(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.Config{Share: 0.1, Reserve: 10, RerunReserve: 3})
	refusals := 0
	for b.TakeSpare() {
		refusals++
	}
	is.Equal(refusals, 7)
	for range 3 {
		is.True(b.Take(retry.Unknown))
	}
	is.True(!b.Take(retry.Unknown))
}

// TestRefusedRerunIsGivenBack guards against calls whose reruns are refused again and again, and
// use up those of all others.
func TestRefusedRerunIsGivenBack(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.Config{Share: 0.1, Reserve: 10, RerunReserve: 1})
	for range 100 {
		is.True(b.TakeRerun())
		b.GiveBack()
	}
	is.Equal(b.Tokens(), 10.0)
	is.True(b.TakeRerun())
	is.True(!b.TakeRerun())
	for range 20 {
		b.GiveBack()
	}
	is.Equal(b.Tokens(), 10.0) // never above what can be saved
	is.True(b.TakeRerun())
	is.True(!b.TakeRerun())
}
