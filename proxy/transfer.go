package proxy

import (
	"context"
	"io"
	"net/http"

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

// bodyTransfer is the sending of a response's body. It takes part in the scheduling of
// the host's network link from the part on that makes the response a large one.
type bodyTransfer struct {
	proxy    *Proxy
	declared int64 // declared length of the body, -1: not declared
	body     io.Reader
	passedOn int64            // bytes of the body that were passed on
	transfer *uplink.Transfer // nil: the response is not large so far
}

// mayBeLarge reports whether a response is large or does not declare its length.
func mayBeLarge(resp *http.Response) bool {
	return resp.ContentLength < 0 || resp.ContentLength > largeResponseBytes
}

// becomesLarge reports whether a response is large from the next part on, which has n
// bytes: because of its declared length, or of what was passed on so far.
func (b *bodyTransfer) becomesLarge(n int) bool {
	return b.transfer == nil && max(b.declared, b.passedOn+int64(n)) > largeResponseBytes
}

// awaitLink waits until a part of n bytes may be sent.
func (b *bodyTransfer) awaitLink(ctx context.Context, n int) error {
	if b.becomesLarge(n) {
		b.transfer = b.proxy.link.begin(ctx)
	}
	if b.transfer == nil {
		return nil
	}
	b.proxy.sent.large.Inc(int64(n))
	return b.proxy.link.wait(ctx, b.transfer, n, b.left(n))
}

// left returns how many bytes are known to be left to send, with n of them at hand.
func (b *bodyTransfer) left(n int) int64 {
	if ahead, ok := b.body.(interface{ buffered() int }); ok && b.declared < 0 {
		return int64(n + ahead.buffered())
	}
	return max(b.declared-b.passedOn, int64(n))
}

func (b *bodyTransfer) end() {
	if b.transfer != nil {
		b.proxy.link.end(b.transfer)
	}
}
