package proxy

import "github.com/rcrowley/go-metrics"

// Names of the counters of bytes that the proxy sends over the host's network
// link: all of them, and those of large responses.
const (
	UplinkSentMetric  = "uplink.sent"
	UplinkLargeMetric = "uplink.large"
)

// uplinkCounters count the bytes sent to callers and to other nodes, without those
// of TLS and TCP.
type uplinkCounters struct{ sent, large metrics.Counter }

func newUplinkCounters(r metrics.Registry) uplinkCounters {
	return uplinkCounters{
		sent:  metrics.GetOrRegisterCounter(UplinkSentMetric, r),
		large: metrics.GetOrRegisterCounter(UplinkLargeMetric, r),
	}
}

func (c uplinkCounters) countSent(n int) { c.sent.Inc(int64(n)) }
