package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/settings"
)

// TestClientLimitsFitHost guards against limits whose sum exceeds the memory of a host, or leaves the
// garbage collector less than clients may hold.
func TestClientLimitsFitHost(t *testing.T) {
	for _, megabytes := range []int{64, 112, 134, 184, 284, 536, 4096} {
		for _, descriptors := range []int{0, 400, 4100, 8192, 1 << 20} {
			t.Run(fmt.Sprint(megabytes, " MiB, ", descriptors, " descriptors"), func(t *testing.T) {
				is := is.New(t)
				s := settings.Settings{MemoryBytes: megabytes << 20, Descriptors: descriptors}
				l := newClientLimits(s)
				held := l.requestBytes + l.bodyBytes + int64(l.connections+l.hopConns)*connBytes + 2*int64(l.idleHops)*idleConnBytes
				is.True(held > 0)
				is.True(fixedBytes+2*held <= int64(s.MemoryBytes))
				is.True(programBytes+l.heapBytes <= int64(s.MemoryBytes))
				is.True(l.heapBytes >= stateBytes+held+held/2)
				if descriptors > 0 {
					is.True(float64(l.connections+l.requests) < socketsOf(descriptors))
				}
			})
		}
	}
}

// TestLimitsOfSmallHostLeaveOrdinaryCallers guards against limits that clients inside the limits of the
// users' pages meet: the smallest host of a deployment has to carry a burst of its callers.
func TestLimitsOfSmallHostLeaveOrdinaryCallers(t *testing.T) {
	const burst = 400 // requests at a time: 160 a second, each for its longest deadline of 2.5 s
	is := is.New(t)
	l := newClientLimits(settings.Settings{MemoryBytes: 112 << 20, Descriptors: 4100})
	is.True(l.requests >= burst)
	is.True(l.connections >= burst)
	is.True(l.hopConns >= burst)
	is.True(l.requestBytes >= burst*36<<10) // with a head of ordinary size
}

func TestNoClientLimitsWithoutSettings(t *testing.T) {
	is.New(t).Equal(newClientLimits(settings.Settings{}), clientLimits{})
}
