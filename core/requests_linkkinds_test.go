package core_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// kindLoad is the load of one kind of request of a service whose hosts have thin links.
type kindLoad struct {
	path      string
	policy    string
	bytes     float64 // mean size of the answers
	perSecond float64

	asked, served int // after learning
}

// learning is the time in which entry nodes see the sizes of answers for the first time.
const learning = 10 * time.Second

// loadLength is the time for which loadKinds offers requests.
const loadLength = time.Minute

// linkCapacity is what the links of the hosts in newDownloads carry, in bytes per second.
const linkCapacity = 4 * thinLinkBytes

// loadKinds offers two kinds of request to the hosts of newDownloads, each request once.
func loadKinds(t *testing.T, seed uint64, kinds [2]*kindLoad) {
	d := newDownloads(t, seed)
	submitObjects(t, d.Mesh, "kinds",
		object(config.KindPolicy, "first", kinds[0].policy), object(config.KindPolicy, "second", kinds[1].policy),
		object(config.KindRoute, "first", `{"pathPrefix":"`+kinds[0].path+`","service":"downloads","policy":"first"}`),
		object(config.KindRoute, "second", `{"pathPrefix":"`+kinds[1].path+`","service":"downloads","policy":"second"}`))
	d.Run(5 * time.Second)
	kindOf, sizes := map[core.CallID]*kindLoad{}, map[core.CallID]int64{}
	d.links.AnswerBytes = func(c *coretest.Call) int64 {
		if sizes[c.ID] == 0 {
			sizes[c.ID] = int64(kindOf[c.ID].bytes * math.Exp(downloadSpread*d.rng.NormFloat64()-downloadSpread*downloadSpread/2))
		}
		return sizes[c.ID]
	}
	begin := d.Now
	counted := func(c *coretest.Call) bool { return c.Started.Sub(begin) >= learning }
	d.traffic.OnAnswered = func(c *coretest.Call) {
		if c.Outcome == retry.Ran && counted(c) {
			kindOf[c.ID].served++
		}
	}
	for _, k := range kinds {
		for at := time.Duration(0); at < loadLength; at += time.Duration(d.rng.ExpFloat64() / k.perSecond * float64(time.Second)) {
			d.After(at, func() {
				kindOf[core.CallID(len(d.traffic.Calls)+1)] = k // the ID that the next call gets
				c := d.traffic.Call(d.entries[d.rng.IntN(len(d.entries))], core.CallArrived{Method: "GET", Path: k.path, Replayable: true, Budget: downloadDeadline})
				if counted(c) {
					k.asked++
				}
			})
		}
	}
	d.Run(loadLength + downloadDeadline)
}

// share returns the part of the requests that were served.
func (k *kindLoad) share() float64 { return float64(k.served) / float64(k.asked) }

// TestPatientDownloadsFillTheLink offers urgent downloads with a short target beside three
// times the others that the links carry, which have a longer target or none. The urgent ones
// must be served as often.
func TestPatientDownloadsFillTheLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, target := range []string{`"targetMillis":3000,`, ``} {
		for seed := range uint64(2) {
			urgent := &kindLoad{
				path: "/urgent/", policy: `{"idempotent":true,"rank":1,"targetMillis":600,"timeoutMillis":6000,"maxAttempts":2}`,
				bytes: 100_000, perSecond: 0.3 * linkCapacity / 100_000,
			}
			other := &kindLoad{
				path: "/other/", policy: `{"idempotent":true,"rank":3,` + target + `"timeoutMillis":6000,"maxAttempts":2}`,
				bytes: downloadBytes, perSecond: downloadLoad * linkCapacity / downloadBytes,
			}
			loadKinds(t, seed, [2]*kindLoad{urgent, other})
			carried := (float64(urgent.served)*urgent.bytes + float64(other.served)*other.bytes) / (linkCapacity * (loadLength - learning).Seconds())
			t.Logf("others {%s} seed %d: urgent %.3f of %d, other %.3f of %d, link used %.2f", target, seed, urgent.share(), urgent.asked, other.share(), other.asked, carried)
			is.True(urgent.share() >= other.share())
			is.True(carried > 0.8)
		}
	}
}

// TestShortCallsAreRefusedBesideDownloads offers short calls beside three times the downloads
// that the links carry, in one class. Short answers need no room on a link.
func TestShortCallsAreRefusedBesideDownloads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(2) {
		short := &kindLoad{path: "/short/", policy: `{"idempotent":true,"rank":1,"targetMillis":200,"timeoutMillis":6000,"maxAttempts":2}`, bytes: 1000, perSecond: 20}
		large := &kindLoad{
			path: "/large/", policy: `{"idempotent":true,"rank":1,"targetMillis":1000,"timeoutMillis":6000,"maxAttempts":2}`,
			bytes: downloadBytes, perSecond: downloadLoad * linkCapacity / downloadBytes,
		}
		loadKinds(t, seed, [2]*kindLoad{short, large})
		t.Logf("seed %d: short %.3f of %d, large %.3f of %d", seed, short.share(), short.asked, large.share(), large.asked)
		is.True(short.share() > 0.95)
		is.True(large.share() > 0.9/downloadLoad)
	}
}
