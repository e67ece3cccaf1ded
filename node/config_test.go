package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/settings"
)

func TestCoreConfigMapsEverySetting(t *testing.T) {
	is := is.New(t)
	seconds := func(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Second) }
	s := settings.Settings{
		Node: "n", DataCentre: "derby", Seeds: []string{"10.0.0.1:1"},
		Backend: settings.Backend{
			Service: "orders", Slots: 11, StatusSlots: 10, ProbeEvery: seconds(13), SlowStart: seconds(14),
			Queue: settings.Queue{Length: 12, MaxWait: seconds(15), Target: seconds(16), Interval: seconds(17)},
		},
		Distribution: settings.Distribution{
			Favour: "bytes", Fanout: 21, HeartbeatEvery: seconds(22), MissedHeartbeats: 23, JoinJitter: seconds(24), WatchWait: seconds(25),
			ReportEvery: seconds(26), BatchWindow: seconds(27), JoinsPerSecond: 28, Grace: seconds(29), SuspectLimit: seconds(30),
			TombstoneFor: seconds(39),
		},
		Lease:     settings.Lease{TTL: seconds(33), Renew: seconds(31), Margin: seconds(32)},
		Publisher: settings.Publisher{SweepEvery: seconds(71), StatusKeep: seconds(72)},
		Requests:  settings.Requests{RetryShare: 0.41, KeyKeep: seconds(42), ClaimKeep: seconds(43), ClaimsPerSecond: 44},
		Drain:     settings.Drain{AtLeast: seconds(51), AtMost: seconds(52)},
	}
	incarnation := endpoint.Incarnation{Start: 61, Random: 62}
	got := CoreConfig(s, "peer", "hop", incarnation, 63)
	want := core.Config{
		Node: "n", DataCentre: "derby", Peer: "peer", Hop: "hop", Service: "orders", Slots: 11, MaxQueue: 12, StatusSlots: 10,
		QueueMaxWait: 15 * time.Second, QueueTarget: 16 * time.Second, QueueInterval: 17 * time.Second,
		KeyKeep: 42 * time.Second, ClaimKeep: 43 * time.Second, ClaimsPerSecond: 44,
		ProbeEvery: 13 * time.Second, SlowStart: 14 * time.Second, Fanout: 21, HeartbeatEvery: 22 * time.Second, MissedLimit: 23,
		JoinJitter: 24 * time.Second, WatchWait: 25 * time.Second, LeaseRenew: 31 * time.Second, LeaseMargin: 32 * time.Second,
		ReportEvery: 26 * time.Second, BatchWindow: 27 * time.Second, JoinsPerSecond: 28, Grace: 29 * time.Second,
		SuspectLimit: 30 * time.Second, TombstoneFor: 39 * time.Second,
		LeaseTTL: 33 * time.Second, RetryShare: 0.41, DrainAtLeast: 51 * time.Second, DrainAtMost: 52 * time.Second,
		SweepEvery: 71 * time.Second, StatusKeep: 72 * time.Second, Incarnation: incarnation, Seed: 63,
		Seeds: []string{"10.0.0.1:1"}, Favour: core.FavourBytes,
	}.WithDefaults()
	is.Equal(got, want)
}

func TestProxyConfigMapsEverySetting(t *testing.T) {
	is := is.New(t)
	got := ProxyConfig(settings.Settings{
		Backend:  settings.Backend{Address: "a", Connections: 130},
		Requests: settings.Requests{MaxBodyBytes: 1, MaxDepth: 2, SilenceAfter: settings.Duration(time.Second)},
	})
	is.Equal(got.HopDial == nil, true)
	is.Equal(got.Backend, "a")
	is.Equal(got.Connections, 130)
	is.Equal(got.MaxBodyBytes, int64(1))
	is.Equal(got.MaxDepth, 2)
	is.Equal(got.SilenceAfter, time.Second)
}
