package node

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap/zapcore"

	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestUseOfTheLinkIsLoggedByPurpose checks that the log line has the bytes of each
// purpose since the line before, and is left out while there is nothing to tell.
func TestUseOfTheLinkIsLoggedByPurpose(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	l := newUplinkLog(r)
	line := func(second int64) map[string]any {
		out := &bytes.Buffer{}
		log, err := eventlog.New(eventlog.Config{Writer: zapcore.AddSync(out)})
		is.NoErr(err)
		l.write(log, time.Unix(second, 0))
		_ = log.Sync()
		if out.Len() == 0 {
			return nil
		}
		fields := map[string]any{}
		is.NoErr(json.Unmarshal(out.Bytes(), &fields))
		return fields
	}
	add := func(metric string, n int64) { metrics.GetOrRegisterCounter(metric, r).Inc(n) }

	is.Equal(line(1000), nil)
	add(proxy.UplinkSentMetric, 10)
	is.Equal(line(1001), nil) // nothing but short responses
	add(proxy.UplinkSentMetric, 900)
	add(proxy.UplinkLargeMetric, 700)
	add(proxy.UplinkOwnMetric, 400)
	add(proxy.UplinkRelayedMetric, 300)
	add(proxy.UplinkCutMetric, 200)
	add(proxy.UplinkRefusalsMetric, 100)
	add(proxy.OnHostMetric, 50)
	got := line(1002)
	for field, want := range map[string]float64{
		"elapsedMillis": 1000, "sentBytes": 900, "largeBytes": 700, "ownBytes": 400, "relayedBytes": 300, "cutBytes": 200, "refusalBytes": 100,
		"onHostBytes": 50,
	} {
		is.Equal(got[field], want)
	}
	add(proxy.UplinkRefusalsMetric, 50)
	got = line(1003)
	is.Equal(got["refusalBytes"], 50.0)
	is.Equal(got["ownBytes"], 0.0)
}
