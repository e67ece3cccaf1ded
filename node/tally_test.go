package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
)

func answered(service string, status int) core.Log {
	return core.Log{Code: notice.RequestAnswered, Attrs: []core.Attr{
		{Key: "service", Value: service}, {Key: "status", Value: status}, {Key: "tookMillis", Value: int64(12)},
	}}
}

// TestMetricsAsText checks the counters by service, outcome and reason, and the
// text format of metrics.
func TestMetricsAsText(t *testing.T) {
	is := is.New(t)
	n, r := newTestNode()
	n.SetRegistry(r)
	n.observer.effect(answered("orders", 200))
	n.observer.effect(answered("orders", 500))
	n.observer.effect(core.Log{Code: notice.RequestEnded, Attrs: []core.Attr{
		{Key: "service", Value: "orders"}, {Key: "outcome", Value: "not-run"}, {Key: "reason", Value: "node x: queue full"},
	}})
	n.observer.effect(core.Log{Code: notice.AttemptSent, Attrs: []core.Attr{{Key: "route", Value: "r1"}}})
	code, text := get(admin(n, r), "/metrics.txt")
	is.Equal(code, http.StatusOK)
	for _, line := range []string{
		"service.orders.answered.200 1", "service.orders.answered.500 1", "service.orders.ended.not-run 1",
		"ended.queue-full 1", "route.r1.sent 1", "service.orders.time.count 2", "service.orders.time.p99 12000", "node.ready 0",
	} {
		is.True(strings.Contains(text, line+"\n"))
	}
}

// TestDynamicMetricsAreBounded checks that the number of metrics with names from
// configuration does not grow without bound.
func TestDynamicMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	tallies := newTally(r)
	for i := range 2 * maxDynamicMetrics {
		tallies.event(answered(strings.Repeat("x", i+1), 200))
	}
	count := 0
	r.Each(func(string, any) { count++ })
	is.True(count <= maxDynamicMetrics+2)
	is.True(metrics.GetOrRegisterCounter("service."+otherName, r).Count() > 0)
}
