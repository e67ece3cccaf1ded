package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/uplink"
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

// TestHopHeaderCarriesRelayLink checks that the state of the entry node's link reaches
// the other node, and that an invalid one is refused.
func TestHopHeaderCarriesRelayLink(t *testing.T) {
	known := uplink.Load{Backlog: 280_000, Rate: 1_187_500}
	tests := []struct {
		name   string
		sent   uplink.Load
		header string
		fails  bool
	}{
		{"known", known, "280000 1187500", false},
		{"not known", uplink.Load{}, "", false},
		{"no rate", uplink.Load{}, "280000", true},
		{"negative", uplink.Load{}, "-1 1187500", true},
		{"rate of zero", uplink.Load{}, "1 0", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			headers := http.Header{}
			hopHeader{attempt: core.AttemptID{Origin: 7, Number: 1}, budget: time.Second, relay: tt.sent}.set(headers)
			if tt.fails {
				headers.Set(headerRelay, tt.header)
			}
			is.Equal(headers.Get(headerRelay), tt.header)
			got, err := readHop(headers)
			is.Equal(err != nil, tt.fails)
			is.Equal(got.relay, tt.sent)
		})
	}
}

// TestBackendNoticeCrossesTheHop checks that what a backend server says of itself is read
// as it was sent, in both directions, and that an invalid header is refused.
func TestBackendNoticeCrossesTheHop(t *testing.T) {
	for _, sent := range []core.BackendNotice{
		{},
		{Backend: "i-1"}, // says nothing, so nothing is sent
		{Backend: "i 1/%", StartMillis: -7, Limited: true, RateLimit: 41.52},
		{Backend: "", Limited: true, RateLimit: 0},
		{Backend: "i-1", StartMillis: 1_800_000_000_000, Leaving: true},
		{Backend: "i-1", Limited: true, RateLimit: 1e-9, Leaving: true},
	} {
		is := is.New(t)
		headers := http.Header{}
		hopHeader{attempt: core.AttemptID{Origin: 7, Number: 1}, budget: time.Second, said: sent}.set(headers)
		want := sent
		if !sent.SaysSomething() {
			want = core.BackendNotice{}
		}
		got, err := readHop(headers)
		is.NoErr(err)
		is.Equal(got.said, want)
		is.Equal(saidIn(headers), want)
	}
	for _, text := range []string{"i-1", "i-1 x - true", "i-1 1 many true", "i-1 1 -4 true", "i-1 1 NaN true", "i-1 1 - perhaps", "%zz 1 - true"} {
		is := is.New(t)
		headers := http.Header{}
		hopHeader{attempt: core.AttemptID{Origin: 7, Number: 1}, budget: time.Second}.set(headers)
		headers.Set(headerSaid, text)
		_, err := readHop(headers)
		is.True(err != nil)
		is.Equal(saidIn(headers), core.BackendNotice{})
	}
}

// TestHopHeaderCarriesAnswerBytes checks that the usual size of answers reaches the other
// node, and that one that can't be read is an error.
func TestHopHeaderCarriesAnswerBytes(t *testing.T) {
	for value, want := range map[string]int64{"": 0, "280000": 280_000} {
		is := is.New(t)
		headers := http.Header{}
		hopHeader{attempt: core.AttemptID{Origin: 7, Number: 1}, budget: time.Second, answerBytes: want}.set(headers)
		is.Equal(headers.Get(headerAnswerBytes), value)
		got, err := readHop(headers)
		is.NoErr(err)
		is.Equal(got.answerBytes, want)
	}
	for _, value := range []string{"-1", "many"} {
		is := is.New(t)
		headers := http.Header{}
		hopHeader{attempt: core.AttemptID{Origin: 7, Number: 1}, budget: time.Second}.set(headers)
		headers.Set(headerAnswerBytes, value)
		_, err := readHop(headers)
		is.True(err != nil)
	}
}
