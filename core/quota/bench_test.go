package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// BenchmarkMesh plays calm seconds of a mesh, and reports what the quotas cost it.
func BenchmarkMesh(b *testing.B) {
	for _, hosts := range []int{59, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m := newTestMesh(1, hosts, faults{})
			for i := range 72 { // a few accounts are large
				rate := 400 / float64(1+i)
				m.limits[fmt.Sprint("account-", i)] = Limit{PerSecond: rate, Burst: rate}
			}
			m.tree()
			m.run(5*time.Second, 0, func(int) {})
			before := m.sent
			b.ResetTimer()
			for range b.N {
				m.runAll(time.Second, 0.6)
			}
			b.ReportMetric(float64(m.sent-before)/float64(b.N), "messages/s")
			b.ReportMetric(float64(m.counts[Denied]+m.counts[Unavailable])/float64(max(m.last, 1)), "refused/request")
			b.ReportMetric(float64(m.last)/float64(b.N), "requests/s")
		})
	}
}

// runAll plays some time in which callers ask for a part of every limit.
func (m *mesh) runAll(length time.Duration, demand float64) {
	accounts := slices.Sorted(maps.Keys(m.limits))
	for range int(length / testStep) {
		for _, account := range accounts {
			if due := demand * m.limits[account].PerSecond * testStep.Seconds(); m.rng.Float64() < due-float64(int(due)) {
				m.take(m.nodes[m.rng.IntN(len(m.nodes))], account)
			}
			for range int(demand * m.limits[account].PerSecond * testStep.Seconds()) {
				m.take(m.nodes[m.rng.IntN(len(m.nodes))], account)
			}
		}
		m.step()
	}
}
