package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
)

// TestHopHeaderCarriesSoftBudget checks that a soft budget is never sent as
// zero, which would mean that none is set: the least is one microsecond, also
// for a target latency that has passed.
func TestHopHeaderCarriesSoftBudget(t *testing.T) {
	tests := []struct {
		name   string
		sent   time.Duration
		header string
		read   time.Duration
		fails  bool
	}{
		{"set", 250 * time.Millisecond, "250000", 250 * time.Millisecond, false},
		{"below a microsecond", 1, "1", time.Microsecond, false},
		{"not set", 0, "", 0, false},
		{"not a number", 0, "soon", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sent, headers := hopHeader{attempt: core.AttemptID{Origin: 7, Number: 1}, budget: time.Second, softBudget: tt.sent}, http.Header{}
			sent.set(headers)
			if tt.fails {
				headers.Set(headerSoftBudget, tt.header)
			}
			is.Equal(headers.Get(headerSoftBudget), tt.header)
			got, err := readHop(headers)
			is.Equal(err != nil, tt.fails)
			is.Equal(got.softBudget, tt.read)
			is.Equal(got.attempt, sent.attempt)
		})
	}
}
