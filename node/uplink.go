package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/proxy"
)

// uplinkLogInterval is the shortest time between two log lines about the use of the
// host's network link.
const uplinkLogInterval = time.Second

// increase measures the growth of a counter.
type increase struct {
	counter metrics.Counter
	before  int64
}

func newIncrease(name string, r metrics.Registry) increase {
	return increase{counter: metrics.GetOrRegisterCounter(name, r)}
}

// take returns the increase since the last call.
func (i *increase) take() int64 {
	now := i.counter.Count()
	n := now - i.before
	i.before = now
	return n
}

// uplinkLog logs what the host's network link is used for, from the proxy's counters
// of bytes.
type uplinkLog struct {
	sent, large, own, relayed, cut, refusals, onHost increase

	loggedAt time.Time
}

func newUplinkLog(r metrics.Registry) uplinkLog {
	return uplinkLog{
		sent: newIncrease(proxy.UplinkSentMetric, r), large: newIncrease(proxy.UplinkLargeMetric, r),
		own: newIncrease(proxy.UplinkOwnMetric, r), relayed: newIncrease(proxy.UplinkRelayedMetric, r),
		cut: newIncrease(proxy.UplinkCutMetric, r), refusals: newIncrease(proxy.UplinkRefusalsMetric, r),
		onHost: newIncrease(proxy.OnHostMetric, r),
	}
}

// write writes one log line for the bytes sent since the previous one, if there are
// any of large answers or refusals among them.
func (l *uplinkLog) write(log *eventlog.Logger, now time.Time) {
	elapsed := now.Sub(l.loggedAt)
	if elapsed < uplinkLogInterval {
		return
	}
	l.loggedAt = now
	sent, large, own, relayed := l.sent.take(), l.large.take(), l.own.take(), l.relayed.take()
	cut, refusals, onHost := l.cut.take(), l.refusals.take(), l.onHost.take()
	if large+cut+refusals == 0 {
		return
	}
	log.Write(notice.UplinkUsed,
		core.Attr{Key: "elapsedMillis", Value: elapsed.Milliseconds()}, core.Attr{Key: "sentBytes", Value: sent},
		core.Attr{Key: "largeBytes", Value: large}, core.Attr{Key: "ownBytes", Value: own}, core.Attr{Key: "relayedBytes", Value: relayed},
		core.Attr{Key: "cutBytes", Value: cut}, core.Attr{Key: "refusalBytes", Value: refusals}, core.Attr{Key: "onHostBytes", Value: onHost})
}
