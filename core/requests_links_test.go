package core_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// The load of the users' downloads, at fewer hosts: answers whose sizes differ, and three
// times as many as the links of the hosts that have them can send.
const (
	thinLinkBytes    = 0.82 * 1.25e6 // bytes per second: what short answers leave of most of 10 Mbit/s
	downloadBytes    = 280_000       // mean
	downloadSpread   = 0.55          // standard deviation of the logarithm
	downloadTarget   = time.Second
	downloadDeadline = 6 * time.Second
	downloadRun      = 220 * time.Millisecond // mean
	downloadLoad     = 3.0                    // over what the links carry
	downloadTries    = 3                      // of a caller, each when it was told to come back
	networkDelay     = 20 * time.Millisecond  // most, one way, with the wait for a processor
)

// downloads is a mesh under load whose callers download.
type downloads struct {
	*coretest.Mesh
	traffic *coretest.Traffic
	links   *coretest.Links
	rng     *rand.Rand
	hosts   []string // nodes whose backend servers have the answers
	entries []string // all nodes
	thin    int      // number of thin links that can carry answers at a time
	asked   []*download
}

// download is what one caller wants.
type download struct {
	at     time.Time
	tries  int
	served time.Duration // from the first try to the whole answer; zero: not served
}

func newDownloads(t *testing.T, seed uint64) *downloads {
	m := coretest.New(seed)
	d := &downloads{Mesh: m, rng: rand.New(rand.NewPCG(seed, 27))}
	for i := range 10 {
		for _, dc := range []string{"a", "b"} {
			name, service := fmt.Sprintf("%s%d", dc, i+1), "other"
			if i < 2 {
				service, d.hosts = "downloads", append(d.hosts, name)
			}
			d.entries = append(d.entries, name)
			m.Start(name, core.Config{DataCentre: dc, Service: service, Fanout: 4, Slots: 8})
		}
	}
	d.thin = len(d.hosts)
	m.Run(time.Second)
	submitDownloads(t, m)
	m.Run(20 * time.Second)
	d.traffic = coretest.NewTraffic(m)
	d.traffic.Faults.Delay = networkDelay
	d.traffic.RunTime = func(string, *coretest.Call) time.Duration {
		return time.Duration(float64(downloadRun) * math.Exp(0.4*d.rng.NormFloat64()-0.08))
	}
	sizes := map[core.CallID]int64{}
	d.links = coretest.NewLinks(d.traffic, thinLinkBytes, func(c *coretest.Call) int64 {
		if sizes[c.ID] == 0 {
			sizes[c.ID] = int64(downloadBytes * math.Exp(downloadSpread*d.rng.NormFloat64()-downloadSpread*downloadSpread/2))
		}
		return sizes[c.ID]
	})
	return d
}

func submitDownloads(t *testing.T, m *coretest.Mesh) {
	submitObjects(t, m, "s1",
		object(config.KindService, "downloads", `{}`),
		object(config.KindPolicy, "downloads", `{"idempotent":true,"targetMillis":1000,"timeoutMillis":6000,"maxAttempts":2}`),
		object(config.KindRoute, "downloads", `{"pathPrefix":"/","service":"downloads","policy":"downloads"}`))
}

// load lets callers ask for a time.
func (d *downloads) load(length time.Duration) {
	perSecond := downloadLoad * thinLinkBytes * float64(d.thin) / downloadBytes
	open := map[core.CallID]*download{}
	var try func(*download)
	d.traffic.OnAnswered = func(c *coretest.Call) {
		one := open[c.ID]
		switch {
		case c.Outcome == retry.Ran:
			one.served = d.Now.Sub(one.at)
		case c.Outcome == retry.NotRun && one.tries < downloadTries:
			d.After(c.RetryAfter, func() { try(one) })
		}
	}
	try = func(one *download) {
		one.tries++
		open[core.CallID(len(d.traffic.Calls)+1)] = one // the ID that the next call gets
		d.traffic.Call(d.entries[d.rng.IntN(len(d.entries))], core.CallArrived{
			Method: "GET", Path: "/", Replayable: true, Budget: downloadDeadline - d.Now.Sub(one.at),
		})
	}
	for at := time.Duration(0); at < length; at += time.Duration(d.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		d.After(at, func() {
			one := &download{at: d.Now}
			d.asked = append(d.asked, one)
			try(one)
		})
	}
	d.Run(length)
}

// downloadOutcome is what the callers and the links of a load got.
type downloadOutcome struct {
	served   float64       // bytes of answers that callers got whole, over what the links carry
	inTime   float64       // share of the served within the target
	refusals float64       // between nodes, for each caller
	longest  time.Duration // until the last answer to a served caller
}

func (d *downloads) outcome(length time.Duration) downloadOutcome {
	o := downloadOutcome{refusals: float64(d.links.Refusals) / float64(len(d.asked))}
	served, inTime := 0.0, 0.0
	for _, one := range d.asked {
		if one.served == 0 {
			continue
		}
		served++
		if one.served <= downloadTarget {
			inTime++
		}
		o.longest = max(o.longest, one.served)
	}
	for _, c := range d.traffic.Calls {
		if c.Outcome == retry.Ran {
			o.served += float64(d.links.AnswerBytes(c))
		}
	}
	o.served /= float64(d.thin) * thinLinkBytes * length.Seconds()
	o.inTime = inTime / served
	return o
}

// TestScarceLinkIsSpentOnLateDownloads asks for three times what the links of four hosts
// carry. Nearly all of that must reach callers, two thirds of them in time.
func TestScarceLinkIsSpentOnLateDownloads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const length, seeds = 60 * time.Second, 4
	var mean downloadOutcome
	for seed := range uint64(seeds) {
		d := newDownloads(t, seed)
		d.load(length)
		o := d.outcome(length)
		t.Logf("seed %d: %+v", seed, o)
		mean.served += o.served / seeds
		mean.inTime += o.inTime / seeds
		is.True(o.longest < downloadDeadline)
	}
	is.True(mean.served > 0.9)
	is.True(mean.inTime > 2.0/3)
}

// TestEntryNodesLinkGetsMoreThanItCarries asks at one node for three times what its link
// carries, of hosts whose links are wide. They must not run what it can't pass on.
func TestEntryNodesLinkGetsMoreThanItCarries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const length, seeds, wide = 60 * time.Second, 4, 10 * thinLinkBytes
	var mean downloadOutcome
	for seed := range uint64(seeds) {
		d := newDownloads(t, seed)
		d.entries, d.thin, d.links.Faster = []string{"a9"}, 1, map[string]float64{}
		for _, host := range d.hosts {
			d.links.Faster[host] = wide
		}
		d.load(length)
		o := d.outcome(length)
		t.Logf("seed %d: %+v", seed, o)
		mean.served += o.served / seeds
		mean.inTime += o.inTime / seeds
		for _, c := range d.traffic.Calls {
			is.True(c.Outcome != retry.Unknown) // it ran and its answer was not passed on
		}
	}
	is.True(mean.served > 0.9)
	is.True(mean.inTime > 2.0/3)
}

// TestLinkThatIsKnownToBeFullIsAsked checks that no entry node asks a node for a large
// answer again before the time at which that node's link may have room, and that a call
// for which no link has room ends at once and tells when one will.
func TestLinkThatIsKnownToBeFullIsAsked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDownloads(t, 1)
	type pair struct{ entry, target string }
	asked, closed := map[core.AttemptID]pair{}, map[pair]time.Time{}
	early, ended := 0, 0
	d.OnStep = func(n *coretest.Node, e core.Event) {
		if e, ok := e.(core.AttemptEnded); ok && e.LinkOpensIn > 0 {
			closed[asked[e.Attempt]] = d.Now.Add(min(e.LinkOpensIn, time.Second))
		}
	}
	d.traffic.OnSent = func(f core.Forward) {
		p := pair{d.traffic.Calls[f.Call-1].Entry, f.Target}
		if asked[f.Attempt] = p; d.Now.Before(closed[p]) {
			early++
		}
	}
	d.load(20 * time.Second)
	is.True(len(closed) > 0)
	is.Equal(early, 0)
	for _, c := range d.traffic.Calls {
		if c.Forwards == 0 && c.Outcome == retry.NotRun {
			ended++
			is.Equal(c.Reason, string(admission.LinkFull))
			is.Equal(c.Ended, c.Started)
			is.True(c.RetryAfter > 0)
		}
	}
	is.True(ended > 0)
}

// TestAnswersThatStayOnHostTakeItsLink asks for three times what the links of four hosts
// carry, from callers on the hosts of their entry nodes. Callers beside a backend server
// must all be served, and the others with all that the links carry.
func TestAnswersThatStayOnHostTakeItsLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const length = 40 * time.Second
	d := newDownloads(t, 3)
	d.links.CallersOnHosts = true
	d.load(length)
	beside, elsewhere := 0, 0.0
	for _, c := range d.traffic.Calls {
		if !slices.Contains(d.hosts, c.Entry) && c.Outcome == retry.Ran {
			elsewhere += float64(d.links.AnswerBytes(c))
		}
	}
	d.Run(time.Second) // the last runs end
	for _, c := range d.traffic.Calls {
		if slices.Contains(d.hosts, c.Entry) {
			is.Equal(c.Outcome, retry.Ran)
			beside++
		}
	}
	is.True(beside > 100)
	is.True(elsewhere > 0.9*float64(len(d.hosts))*thinLinkBytes*length.Seconds())
}
