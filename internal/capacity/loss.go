package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
)

// lossResult is the simulated time from the submission of a change until its status
// is InForce, when a node is lost at the moment of submission.
type lossResult struct {
	What         string
	Median, Most time.Duration
	Never        int // runs in which the change was not in force within lossLimit
}

const (
	lossNodes = 40          // nodes of the mesh
	lossSeeds = 10          // runs of each case
	lossLimit = time.Minute // after which a run is ended
)

// lossCases lists which node is lost and how: a crash closes its connections, a
// host that goes silent leaves them open.
var lossCases = []struct {
	name   string
	match  func(d core.Dump) bool
	silent bool
}{
	{"nothing", nil, false},
	{"a relay crashes", isRelay, false},
	{"a relay's host goes silent", isRelay, true},
	{"a root that does not publish crashes", isOtherRoot, false},
	{"the host of a root that does not publish goes silent", isOtherRoot, true},
	{"the publisher, a root, crashes", isPublisher, false},
	{"the publisher's host goes silent", isPublisher, true},
}

func isRelay(d core.Dump) bool {
	return d.Phase != "root" && slices.ContainsFunc(d.Links, func(l core.DumpLink) bool { return l.Role == "child" })
}

func isOtherRoot(d core.Dump) bool { return d.Phase == "root" && !d.Publisher }
func isPublisher(d core.Dump) bool { return d.Publisher }

// runLosses measures every case with lossSeeds seeds.
func runLosses() []lossResult {
	var out []lossResult
	for _, c := range lossCases {
		l := lossResult{What: c.name}
		var times []time.Duration
		for seed := range uint64(lossSeeds) {
			took, ok := runLoss(seed, c.match, c.silent)
			if !ok {
				l.Never++
			}
			times = append(times, took)
		}
		slices.Sort(times)
		l.Median, l.Most = times[len(times)/2], times[len(times)-1]
		out = append(out, l)
	}
	return out
}

// runLoss measures one run in which the first node that matches is lost. It
// reports whether the change was in force within lossLimit.
func runLoss(seed uint64, match func(core.Dump) bool, silent bool) (time.Duration, bool) {
	m := coretest.New(seed)
	for i := range lossNodes {
		m.Start(fmt.Sprintf("host-%05d", i), core.Config{
			DataCentre: fmt.Sprintf("centre-%02d", i%meshCentres), Service: fmt.Sprintf("service-%03d", i%sizes.TargetServices),
		})
		m.Run(10 * time.Millisecond)
	}
	submit(m, 0)
	m.Run(30*time.Second + time.Duration(seed)*101*time.Millisecond) // varies the moment between two lease renewals
	if match != nil {
		for _, n := range m.Nodes() {
			if match(n.State.Dump()) {
				if silent {
					m.Pause(n.Name, time.Hour)
				} else {
					m.Crash(n.Name)
				}
				break
			}
		}
	}
	submit(m, 1)
	started := m.Now
	ok := m.RunUntil(lossLimit, func() bool {
		o, err := m.Store.Get(context.Background(), "status/submission-001")
		var st status.Status
		return err == nil && json.Unmarshal(o.Data, &st) == nil && st.Phase == status.InForce
	})
	return m.Now.Sub(started), ok
}
