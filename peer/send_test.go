package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/peer"
)

const (
	largeSetRoutes = 1600 // of the largest deployment
	children       = 8    // as many as a node may have
)

// largeSet returns the configuration of the largest deployment.
func largeSet(version uint64) message.ConfigWhole {
	rng := rand.New(rand.NewPCG(1, 1))
	var objects []config.Object
	for range largeSetRoutes {
		name := fmt.Sprintf("route-%08x", rng.Uint32())
		objects = append(objects,
			config.Object{Kind: config.KindPolicy, Name: name, Version: version, Spec: json.RawMessage(
				`{"rank":1,"timeoutMillis":1200,"targetMillis":500,"idempotent":true,"maxAttempts":2,"idempotencyKey":"none"}`)},
			config.Object{Kind: config.KindRoute, Name: name, Version: version, Spec: json.RawMessage(fmt.Sprintf(
				`{"host":"%04x.example","pathPrefix":"/%08x/","service":"orders","policy":%q}`, rng.IntN(50), rng.Uint32(), name))})
	}
	set := config.NewSet(version, objects)
	return message.ConfigWhole{Version: version, Hash: set.Hash(), Objects: set.Sorted()}
}

// setCounter is a Handler that counts the complete sets received.
type setCounter struct{ sets, objects atomic.Int64 }

func (*setCounter) Accepted(l *peer.Link) any { return l }
func (*setCounter) Down(any, string)          {}
func (c *setCounter) Received(_ any, m message.Message) {
	whole := m.(message.ConfigWhole)
	c.objects.Add(int64(len(whole.Objects)))
	c.sets.Add(1)
}

// openChildren opens links from one node to several children, all of which report to c.
func openChildren(tb testing.TB, c *setCounter) (links []*peer.Link) {
	tb.Helper()
	is := is.New(tb)
	server := peer.NewTransport(peer.Config{}, c)
	client := peer.NewTransport(peer.Config{Compress: true}, c)
	tb.Cleanup(server.Stop)
	tb.Cleanup(client.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	for range children {
		is.NoErr(client.Dial(ctx, l.Addr().String(), func(l *peer.Link) any {
			links = append(links, l)
			return l
		}))
	}
	return links
}

// sendToAll sends a message over all links and returns how long that held up the caller.
func sendToAll(tb testing.TB, links []*peer.Link, m message.Message) time.Duration {
	tb.Helper()
	began := time.Now()
	for _, l := range links {
		if err := l.Send(m); err != nil {
			tb.Fatal(err)
		}
	}
	return time.Since(began)
}

func waitForSets(c *setCounter, n int64) bool {
	for end := time.Now().Add(testTimeout); c.sets.Load() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// TestSendHoldsUpCallerWhileSetIsCompressed guards against answers that wait for the encoding of a set for each child.
func TestSendHoldsUpCallerWhileSetIsCompressed(t *testing.T) {
	const rounds = 10
	is := is.New(t)
	received := &setCounter{}
	links := openChildren(t, received)
	sent, packed := time.Hour, time.Hour // the shortest of all rounds: other processes make some longer
	for round := range int64(rounds) {
		set := largeSet(uint64(round + 1))
		began := time.Now()
		frame, err := peer.Encode(set)
		is.NoErr(err)
		_, err = peer.Compress(frame)
		is.NoErr(err)
		packed = min(packed, time.Since(began))
		sent = min(sent, sendToAll(t, links, set))
		is.True(waitForSets(received, (round+1)*children))
	}
	is.Equal(received.objects.Load(), int64(rounds*children*2*largeSetRoutes)) // all arrived whole
	t.Logf("sending to %d children: %v; encoding and compressing once: %v", children, sent, packed)
	is.True(sent < packed/2)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSendSetToChildren measures for how long sending a set to all children holds up
// the caller, and the processor time until they have it, with that of the receiving ends.
func BenchmarkSendSetToChildren(b *testing.B) {
	received := &setCounter{}
	links := openChildren(b, received)
	set := largeSet(1)
	var held time.Duration
	before := cpuTime()
	for b.Loop() {
		set.Version++
		held += sendToAll(b, links, set)
		if !waitForSets(received, int64(set.Version-1)*children) {
			b.Fatal("sets are missing")
		}
	}
	b.ReportMetric(float64(held.Microseconds())/float64(b.N), "held-µs/op")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
}
