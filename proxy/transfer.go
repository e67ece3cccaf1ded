package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// Names of the counters of bytes that the proxy sends over the host's network
// link: all of them, and parts of them by purpose.
const (
	UplinkSentMetric     = "uplink.sent"
	UplinkLargeMetric    = "uplink.large"         // large responses, whether own or relayed
	UplinkOwnMetric      = "uplink.large.own"     // large responses of this node's backend server
	UplinkRelayedMetric  = "uplink.large.relayed" // large responses of other nodes, sent on as the entry node
	UplinkCutMetric      = "uplink.large.cut"     // the part of UplinkLargeMetric that belongs to responses that were not sent whole
	UplinkRefusalsMetric = "uplink.refusals"      // responses to other nodes with the outcome not-run
)

// OnHostMetric is the name of the counter of bytes that the proxy sends to callers on its
// own host, and so not over the host's network link.
const OnHostMetric = "onhost.sent"

// sentCounters count the bytes sent to callers and to other nodes, without those of TLS
// and TCP. All but onHost count only what goes over the host's network link.
type sentCounters struct{ all, large, own, relayed, cut, refusals, onHost metrics.Counter }

func newSentCounters(r metrics.Registry) sentCounters {
	return sentCounters{
		all:      metrics.GetOrRegisterCounter(UplinkSentMetric, r),
		large:    metrics.GetOrRegisterCounter(UplinkLargeMetric, r),
		own:      metrics.GetOrRegisterCounter(UplinkOwnMetric, r),
		relayed:  metrics.GetOrRegisterCounter(UplinkRelayedMetric, r),
		cut:      metrics.GetOrRegisterCounter(UplinkCutMetric, r),
		refusals: metrics.GetOrRegisterCounter(UplinkRefusalsMetric, r),
		onHost:   metrics.GetOrRegisterCounter(OnHostMetric, r),
	}
}

// origin returns the counter of large responses from this node's backend server, or
// of those from other nodes.
func (c sentCounters) origin(ownBackend bool) metrics.Counter {
	if ownBackend {
		return c.own
	}
	return c.relayed
}

// responseBytes returns the size of a response with the given header and body length,
// as h1 writes it.
func responseBytes(status int, h http.Header, body int) int64 {
	line := len("HTTP/1.1 000 \r\n\r\n") + len(http.StatusText(status))
	n := line + len("Content-Length: \r\n") + len(strconv.Itoa(body)) + body
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return int64(n)
}

// recordSent records bytes that were sent over the host's network link.
func (p *Proxy) recordSent(n int) {
	p.sent.all.Inc(int64(n))
	p.link.recordSent(n)
}

// recordSentToCaller records bytes that were written to a caller.
func (p *Proxy) recordSentToCaller(to net.Conn, n int) {
	if p.sameHost(to.LocalAddr(), to.RemoteAddr()) {
		p.sent.onHost.Inc(int64(n))
		return
	}
	p.recordSent(n)
}

// recordSentToNode records bytes that were written to another node.
func (p *Proxy) recordSentToNode(_ net.Conn, n int) { p.recordSent(n) }

// bodyTransfer is the sending of a response's body. It takes part in the scheduling of
// the host's network link from the part on that makes the response a large one.
type bodyTransfer struct {
	proxy    *Proxy
	declared int64 // declared length of the body, -1: not declared
	body     io.Reader
	origin   metrics.Counter  // bytes of large responses from the same origin; nil: the response does not go over the link
	counted  int64            // bytes that were counted as those of a large response
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
	return b.origin != nil && b.transfer == nil && max(b.declared, b.passedOn+int64(n)) > largeResponseBytes
}

// awaitLink waits until a part of n bytes may be sent.
func (b *bodyTransfer) awaitLink(ctx context.Context, n int) error {
	if b.becomesLarge(n) {
		b.transfer = b.proxy.link.begin(ctx)
	}
	if b.transfer == nil {
		return nil
	}
	if err := b.proxy.link.wait(ctx, b.transfer, n, b.left(n)); err != nil {
		return err
	}
	b.counted += int64(n)
	b.proxy.sent.large.Inc(int64(n))
	b.origin.Inc(int64(n))
	return nil
}

// left returns how many bytes are known to be left to send, with n of them at hand.
func (b *bodyTransfer) left(n int) int64 {
	if ahead, ok := b.body.(interface{ buffered() int }); ok && b.declared < 0 {
		return int64(n + ahead.buffered())
	}
	return max(b.declared-b.passedOn, int64(n))
}

// end ends the transfer. whole says whether all of the response was sent.
func (b *bodyTransfer) end(whole bool) {
	if !whole {
		b.proxy.sent.cut.Inc(b.counted)
	}
	if b.transfer != nil {
		b.proxy.link.end(b.transfer)
	}
}
