package node

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/proxy"
	"github.com/agatekeel/agatekeel/settings"
)

// CoreConfig returns the configuration of a core.State for one run of a node:
// the values from its settings, the addresses at which it listens, the
// incarnation that identifies the run, and the seed of its random numbers.
func CoreConfig(s settings.Settings, peer, hop string, incarnation endpoint.Incarnation, seed uint64) core.Config {
	cfg := core.Config{
		Node: s.Node, DataCentre: s.DataCentre, Peer: peer, Hop: hop,
		Service: s.Backend.Service, Slots: s.Backend.Slots, StatusSlots: s.Backend.StatusSlots,
		MaxQueue: s.Backend.Queue.Length, QueueMaxWait: time.Duration(s.Backend.Queue.MaxWait),
		QueueTarget: time.Duration(s.Backend.Queue.Target), QueueInterval: time.Duration(s.Backend.Queue.Interval),
		ProbeEvery: time.Duration(s.Backend.ProbeEvery), SlowStart: time.Duration(s.Backend.SlowStart),
		Announced: s.Backend.Announces, SilentAfter: time.Duration(s.Backend.SilentAfter), FirstStart: s.Backend.FirstStart,
		Source: s.Distribution.Source == settings.SourceStore, SourceWait: time.Duration(s.Distribution.SourceWait),
		Fanout: s.Distribution.Fanout, Favour: core.Favour(s.Distribution.Favour), Seeds: s.Seeds,
		HeartbeatEvery: time.Duration(s.Distribution.HeartbeatEvery), MissedLimit: s.Distribution.MissedHeartbeats,
		JoinJitter: time.Duration(s.Distribution.JoinJitter), WatchWait: time.Duration(s.Distribution.WatchWait),
		ReportEvery: time.Duration(s.Distribution.ReportEvery), BatchWindow: time.Duration(s.Distribution.BatchWindow),
		JoinsPerSecond: s.Distribution.JoinsPerSecond, Grace: time.Duration(s.Distribution.Grace),
		SuspectLimit: time.Duration(s.Distribution.SuspectLimit), TombstoneFor: time.Duration(s.Distribution.TombstoneFor),
		LeaseTTL: time.Duration(s.Lease.TTL), LeaseRenew: time.Duration(s.Lease.Renew), LeaseMargin: time.Duration(s.Lease.Margin),
		SweepEvery: time.Duration(s.Publisher.SweepEvery), StatusKeep: time.Duration(s.Publisher.StatusKeep),
		RetryShare: s.Requests.RetryShare, RerunShare: s.Requests.RerunShare, RerunReserve: s.Requests.RerunReserve,
		QuotaWindow: time.Duration(s.Requests.QuotaWindow), QuotaOverage: s.Requests.QuotaOverage, QuotaSlack: s.Requests.QuotaSlack,
		KeyKeep:   time.Duration(s.Requests.KeyKeep),
		ClaimKeep: time.Duration(s.Requests.ClaimKeep), ClaimsPerSecond: s.Requests.ClaimsPerSecond,
		DrainAtLeast: time.Duration(s.Drain.AtLeast), DrainAtMost: time.Duration(s.Drain.AtMost),
		Incarnation: incarnation, Seed: seed,
	}
	return cfg.WithDefaults()
}

// bytesPerMegabit converts Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// usableShare is the share of the host's network link that requests and answers may
// use. The rest is left for the headers of TCP and IP, acknowledgements and the links
// between nodes: what is given to a full link waits in a queue that no short answer can
// overtake.
const usableShare = 0.9

// ProxyConfig returns the configuration of a Proxy without TLS.
func ProxyConfig(s settings.Settings) proxy.Config {
	limits := newClientLimits(s)
	return proxy.Config{
		Service: s.Backend.Service,
		Backend: s.Backend.Address, Connections: s.Backend.Connections,
		MaxBodyBytes: int64(s.Requests.MaxBodyBytes), MaxDepth: s.Requests.MaxDepth,
		SilenceAfter:   time.Duration(s.Requests.SilenceAfter),
		ReadAheadBytes: limits.bodyBytes,
		RequestBytes:   limits.requestBytes,
		MaxConnections: limits.connections,
		MaxHopConns:    limits.hopConns,
		MaxRequests:    limits.requests,
		MaxIdle:        limits.idleHops,
		LinkBytes:      s.LinkMbps * bytesPerMegabit * usableShare,
	}
}

// newCoreConfig identifies this run of the node by its start time and a random
// number. A counter is not possible, since hosts keep no state across restarts.
func newCoreConfig(s settings.Settings, l *Listeners) core.Config {
	var random [12]byte
	_, _ = rand.Read(random[:]) // never fails
	incarnation := endpoint.Incarnation{Start: time.Now().UnixMilli(), Random: binary.LittleEndian.Uint32(random[:4])}
	return CoreConfig(s, l.Peer.Addr().String(), l.Hop.Addr().String(), incarnation, binary.LittleEndian.Uint64(random[4:]))
}
