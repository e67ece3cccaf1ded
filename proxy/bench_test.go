package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/load"
	"github.com/agatekeel/agatekeel/proxy"
)

// manySlots sets so many slots that admission does not affect the measurement.
func manySlots(c *core.Config, _ *proxy.Config) { c.Slots = 1000 }

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// paths returns the URLs by which a backend server is reached in the
// comparison: directly, through the node beside it and through another node.
func (m *mesh) paths() map[string]string {
	return map[string]string{
		"direct":    "http://" + m.nodes[1].backend.Address(),
		"one-node":  "http://" + m.nodes[1].callers,
		"two-nodes": "http://" + m.nodes[0].callers,
	}
}

var pathNames = []string{"direct", "one-node", "two-nodes"}

// BenchmarkCall measures CPU time and allocations of one call over each path,
// including those of the client and of the sample backend server.
func BenchmarkCall(b *testing.B) {
	m := newMesh(b, manySlots, "", "orders")
	for _, method := range []string{"GET", "POST"} {
		for _, name := range pathNames {
			url := m.paths()[name] + "/orders/7"
			b.Run(method+"/"+name, func(b *testing.B) {
				b.ReportAllocs()
				before := cpuTime()
				for b.Loop() {
					m.call(b, method, url)
				}
				b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}

func (m *mesh) call(b *testing.B, method, url string) {
	body := ""
	if method == "POST" {
		body = `{"flour":2}`
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}

// BenchmarkOpenLoop measures latency at a fixed rate. The requests of one run
// alternate between the paths. Run it with -benchtime 1x.
func BenchmarkOpenLoop(b *testing.B) {
	m := newMesh(b, func(c *core.Config, p *proxy.Config) {
		manySlots(c, p)
		p.SilenceAfter = proxy.DefaultSilenceAfter // that of other tests is shorter than a busy machine takes
	}, "", "orders")
	paths := m.paths()
	for _, rate := range []float64{500, 2000, 5000} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			for range b.N {
				report, err := load.Run(context.Background(), load.Config{
					Targets: []string{paths["direct"], paths["two-nodes"]}, Rate: 2 * rate, Duration: 6 * time.Second,
					WarmUp: time.Second, Timeout: 10 * time.Second, InFlight: 512,
					Requests: []load.Request{{Class: "get", Method: "GET", Path: "/orders/7", Header: http.Header{sample.HeaderID: {"x"}}}},
				})
				if err != nil || report.ErrorShare > 0 {
					b.Fatal(err, report)
				}
				m.reportAdded(b, report, paths)
			}
		})
	}
}

// reportAdded reports the latency of the direct path and what the mesh adds to
// it.
func (m *mesh) reportAdded(b *testing.B, report *load.Report, paths map[string]string) {
	by := map[string]load.Latency{}
	for _, c := range report.Classes {
		by[c.Target] = c.Latency
	}
	direct, mesh := by[paths["direct"]], by[paths["two-nodes"]]
	b.ReportMetric(float64(direct.P50), "direct-p50-µs")
	b.ReportMetric(float64(direct.P99), "direct-p99-µs")
	b.ReportMetric(float64(mesh.P50-direct.P50), "added-p50-µs")
	b.ReportMetric(float64(mesh.P99-direct.P99), "added-p99-µs")
	b.ReportMetric(0, "ns/op")
}
