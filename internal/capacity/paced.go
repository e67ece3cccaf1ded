package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/store"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// pacedRates are the rates, in operations per second, at which processor time is
// measured. Control messages arrive one at a time, so each costs a wake-up of both
// processes; batches or higher rates would hide this cost.
var pacedRates = []int{10, 30, 90}

// pacedWindow is how long each rate is measured.
const pacedWindow = 4 * time.Second

// pacedCPU calls do at a steady rate and returns the processor time that the
// process used, in nanoseconds per second.
func pacedCPU(rate int, do func()) float64 {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	before, started := sizes.CPUTime(), time.Now()
	for time.Since(started) < pacedWindow {
		<-tick.C
		do()
	}
	return float64(sizes.CPUTime()-before) / time.Since(started).Seconds()
}

// countingHandler is a peer.Handler that counts messages.
type countingHandler struct{ received atomic.Int64 }

func (*countingHandler) Accepted(*peer.Link) any         { return nil }
func (c *countingHandler) Received(any, message.Message) { c.received.Add(1) }
func (*countingHandler) Down(any, string)                {}

// linkSlope measures the processor time of sending and receiving one endpoint
// entry over a real link, both ends together.
func linkSlope() (Slope, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Slope{}, fmt.Errorf("listen: %w", err)
	}
	server := peer.NewTransport(peer.Config{}, &countingHandler{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	var link *peer.Link
	client := peer.NewTransport(peer.Config{}, &countingHandler{})
	err = client.Dial(context.Background(), l.Addr().String(), func(l *peer.Link) any {
		link = l
		return nil
	})
	if err != nil {
		return Slope{}, fmt.Errorf("dial: %w", err)
	}
	defer link.Close()
	m := message.Endpoints{Entries: []endpoint.Entry(sizes.Entries(1))}
	return measure("link message sent and received, by messages a second", "ns", pacedRates, func(rate int) float64 {
		return pacedCPU(rate, func() { _ = link.Send(m) })
	}), nil
}

// platformSlope measures the processor time of one small platform call, including
// that of the platform stand-in.
func platformSlope() (Slope, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Slope{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: storetest.Handler(storetest.NewStore()), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	client, err := store.NewClient("http://" + l.Addr().String())
	if err != nil {
		return Slope{}, err
	}
	return measure("platform call, by calls a second", "ns", pacedRates, func(rate int) float64 {
		return pacedCPU(rate, func() { _, _, _ = client.List(context.Background(), keyspace.Leases) })
	}), nil
}

// tickSlope measures the processor time of the timer that drives a reducer.
func tickSlope() (Slope, error) {
	s, now := sizes.JoinedState(sizes.TargetEndpoints, 1000)
	return measure("timer and tick, by ticks a second", "ns", pacedRates, func(rate int) float64 {
		return pacedCPU(rate, func() { s.Reduce(now, core.Tick{}) })
	}), nil
}
