package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// TestBackendVouchesWithoutPlatform starts a process while the platform is away. A backend server
// whose health endpoint says that it is in service gets requests; one that leaves does not.
func TestBackendVouchesWithoutPlatform(t *testing.T) {
	for _, tt := range []struct {
		name  string
		probe core.BackendProbed
		want  string
	}{
		{"healthy", core.BackendProbed{OK: true, Backend: "a"}, "a"},
		{"not healthy", core.BackendProbed{Backend: "a"}, ""},
		{"another", core.BackendProbed{OK: true, Backend: "b"}, ""},
		{"without a name", core.BackendProbed{OK: true}, ""},
		{"leaves", core.BackendProbed{OK: true, Backend: "a", Leaving: true}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newAnnouncedNode(t)
			h.records.down = true
			h.restart()
			h.state.SetConfigForTest()
			is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
			is.Equal(h.runs(), "")
			h.advance(5 * time.Second)
			is.Equal(h.probes, 1)
			h.step(tt.probe)
			_, refused := h.sendAttempt() // before the next tick
			is.Equal(refused == "", tt.want != "")
			is.Equal(h.runs(), tt.want)
			is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
			is.Equal(h.runs(), tt.want)
			h.records.down = false
			h.advance(10 * time.Second)
			is.True(h.report(heartbeat("a", 10, 9, endpoint.Ready)))
			is.Equal(h.runs(), "a") // the platform knows of no leaving
		})
	}
}

// TestVouchedServerHasLeft lets the platform return after a backend server that had left has
// answered as healthy.
func TestVouchedServerHasLeft(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Draining)))
	h.records.down = true
	h.restart()
	h.state.SetConfigForTest()
	is.True(h.report(heartbeat("a", 10, 6, endpoint.Ready)))
	h.now = h.now.Add(5 * time.Second)
	h.step(core.Tick{})
	h.step(core.BackendProbed{OK: true, Backend: "a"})
	is.Equal(h.runs(), "a")
	h.records.down = false
	h.advance(4 * time.Second) // the platform is asked again, and the backend server is not silent for long yet
	is.Equal(h.runs(), "")
}
