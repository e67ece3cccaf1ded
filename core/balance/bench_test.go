package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

func rows(n int) []*endpoint.Row {
	out := make([]*endpoint.Row, n)
	for i := range out {
		out[i] = &endpoint.Row{Entry: endpoint.Entry{ID: fmt.Sprintf("n%04d", i), DataCentre: fmt.Sprintf("dc%d", i%11), Slots: 6, State: endpoint.Ready}}
	}
	return out
}

func BenchmarkPick(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, n := range []int{10, 100, 5300} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			bal := balance.New(balance.DefaultConfig("dc1"), rand.New(rand.NewPCG(1, 1)))
			group := bal.Group(nil, rows(n))
			b.ReportAllocs()
			for b.Loop() {
				e, _ := bal.Pick(now, group, nil)
				bal.Sent(now, e)
				bal.Done(now, e, balance.Result{Queue: 0})
			}
		})
	}
}

// BenchmarkGroup measures the cost of rebuilding a group after a table change.
func BenchmarkGroup(b *testing.B) {
	for _, n := range []int{10, 41, 100, 5300} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			bal := balance.New(balance.DefaultConfig("dc1"), rand.New(rand.NewPCG(1, 1)))
			all := rows(n)
			group := bal.Group(nil, all)
			b.ReportAllocs()
			for b.Loop() {
				group = bal.Group(group, all)
			}
		})
	}
}
