package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"gonum.org/v1/plot/plotter"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/load"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/settings"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// latency holds the latency of calls at one rate, in microseconds, directly to
// the backend server and through two nodes, both measured in one run.
type latency struct {
	Rate                 float64 // calls per second on each path
	DirectP50, DirectP99 int64
	MeshP50, MeshP99     int64
}

// AddedP50 returns the difference of the medians.
func (l latency) AddedP50() int64 { return l.MeshP50 - l.DirectP50 }

// AddedP99 returns the difference of the 99th percentiles.
func (l latency) AddedP99() int64 { return l.MeshP99 - l.DirectP99 }

// latencyRates are the measured rates, in calls per second. At the target size
// 245 calls per second enter at a node; with calls nested 8 deep, about 2,000 per
// second reach it in all.
var latencyRates = []float64{250, 500, 1000, 2000}

// latencyWindow is how long each rate is measured.
const latencyWindow = 6 * time.Second

// runLatency measures every rate on a mesh of two nodes: an entry node and a node
// with a backend server.
func runLatency() ([]latency, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for platform stand-in: %w", err)
	}
	store := storetest.NewStore()
	server := &http.Server{Handler: storetest.Handler(store), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	backend, err := sample.Start("measured", "measured")
	if err != nil {
		return nil, err
	}
	defer backend.Close()
	var entryAddress string
	for i, b := range []settings.Backend{{}, {Service: "measured", Address: backend.Address(), Slots: 256}} {
		address, stop, err := startNode(fmt.Sprintf("node-%d", i), "http://"+l.Addr().String(), b)
		if err != nil {
			return nil, err
		}
		defer stop()
		if i == 0 {
			entryAddress = address
		}
	}
	if err := publishRoute(operator.New(store)); err != nil {
		return nil, err
	}
	time.Sleep(slowStartWait)
	var out []latency
	for _, rate := range latencyRates {
		result, err := latencyAt(rate, "http://"+backend.Address(), "http://"+entryAddress)
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	return out, nil
}

// slowStartWait is the wait before latency is measured, so that slow start is over.
const slowStartWait = 7 * time.Second

// startNode starts a node and returns the address on which it serves callers.
func startNode(name, platform string, b settings.Backend) (callersAddress string, stop func(), err error) {
	var listeners *node.Listeners
	s := settings.Settings{
		Node: name, DataCentre: "centre-00", DataCentres: []string{"centre-00"}, Platform: platform, Backend: b,
		Listen: settings.Listen{Callers: "127.0.0.1:0", Hop: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Log:    settings.Log{Format: "json", Level: "error"},
	}
	app := fx.New(fx.Supply(s), node.Module, node.Standalone, fx.NopLogger, fx.Populate(&listeners))
	if err := app.Start(context.Background()); err != nil {
		return "", nil, fmt.Errorf("start node %s: %w", name, err)
	}
	return listeners.Callers.Addr().String(), func() { _ = app.Stop(context.Background()) }, nil
}

// publishRoute submits one service and a route to it, and waits until both are in
// force.
func publishRoute(client *operator.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	sub := config.Submission{ID: "latency", Puts: []config.Put{
		{Object: config.Object{Kind: config.KindService, Name: "measured", Spec: []byte(`{}`)}},
		{Object: config.Object{Kind: config.KindRoute, Name: "measured", Spec: []byte(`{"pathPrefix":"/","service":"measured"}`)}},
	}}
	if err := client.Submit(ctx, sub); err != nil {
		return err
	}
	st, err := client.Wait(ctx, sub.ID)
	if err == nil && st.Phase != status.InForce {
		err = fmt.Errorf("submission of the route ended in phase %s: %v", st.Phase, st.Faults)
	}
	return err
}

// latencyAt measures the latency of both paths at one rate.
func latencyAt(rate float64, direct, mesh string) (latency, error) {
	report, err := load.Run(context.Background(), load.Config{
		Targets: []string{direct, mesh}, Rate: 2 * rate, Duration: latencyWindow, WarmUp: time.Second,
		Timeout: 10 * time.Second, InFlight: 256,
		Requests: []load.Request{{Class: "get", Method: http.MethodGet, Path: "/items/7"}},
	})
	if err != nil {
		return latency{}, err
	}
	if report.ErrorShare > 0 {
		return latency{}, fmt.Errorf("at %v calls per second, a share of %v of the calls failed", rate, report.ErrorShare)
	}
	out := latency{Rate: rate}
	for _, c := range report.Classes {
		if c.Target == direct {
			out.DirectP50, out.DirectP99 = c.Latency.P50, c.Latency.P99
			continue
		}
		out.MeshP50, out.MeshP99 = c.Latency.P50, c.Latency.P99
	}
	return out, nil
}

// drawLatency plots latency against the call rate.
func drawLatency(file string, runs []latency) error {
	curves := []curve{{name: "direct, p50"}, {name: "two nodes, p50"}, {name: "direct, p99"}, {name: "two nodes, p99"}}
	for _, l := range runs {
		for i, y := range []int64{l.DirectP50, l.MeshP50, l.DirectP99, l.MeshP99} {
			curves[i].points = append(curves[i].points, plotter.XY{X: l.Rate, Y: float64(y) / 1000})
		}
	}
	return draw(file, "Latency against load", "calls a second", "ms", curves...)
}
