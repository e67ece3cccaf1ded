package proxy

import (
	"context"
	"io"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// Names of the counters of bytes that the proxy sends over the host's network
// link: all of them, and those of large responses.
const (
	UplinkSentMetric  = "uplink.sent"
	UplinkLargeMetric = "uplink.large"
)

// sentCounters count the bytes sent to callers and to other nodes, without those
// of TLS and TCP.
type sentCounters struct{ all, large metrics.Counter }

func newSentCounters(r metrics.Registry) sentCounters {
	return sentCounters{
		all:   metrics.GetOrRegisterCounter(UplinkSentMetric, r),
		large: metrics.GetOrRegisterCounter(UplinkLargeMetric, r),
	}
}

// recordSent records bytes that were written to a caller or another node.
func (p *Proxy) recordSent(n int) {
	p.sent.all.Inc(int64(n))
	p.link.recordSent(n)
}

// bodyTransfer is the sending of a response's body over the host's network link. It
// begins with the first part that makes the response a large one.
type bodyTransfer struct {
	proxy    *Proxy
	declared int64 // declared length of the body, -1: not declared
	body     io.Reader
	passedOn int64            // bytes of the body that were passed on
	transfer *uplink.Transfer // nil: the response is not large so far
}

// becomesLarge reports whether a response is large from the next part on, which has n
// bytes: because of its declared length, or of what was passed on so far.
func (l *bodyTransfer) becomesLarge(n int) bool {
	return l.transfer == nil && max(l.declared, l.passedOn+int64(n)) > largeResponseBytes
}

// awaitLink waits until a part of n bytes may be sent.
func (l *bodyTransfer) awaitLink(ctx context.Context, n int) error {
	if l.becomesLarge(n) {
		l.transfer = l.proxy.link.begin()
	}
	if l.transfer == nil {
		return nil
	}
	l.proxy.sent.large.Inc(int64(n))
	return l.proxy.link.wait(ctx, l.transfer, n, l.left(n))
}

// left returns how many bytes are known to be left to send, with n of them at hand.
func (l *bodyTransfer) left(n int) int64 {
	if ahead, ok := l.body.(interface{ buffered() int }); ok && l.declared < 0 {
		return int64(n + ahead.buffered())
	}
	return max(l.declared-l.passedOn, int64(n))
}

func (l *bodyTransfer) end() {
	if l.transfer != nil {
		l.proxy.link.end(l.transfer)
	}
}
