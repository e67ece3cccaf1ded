// Command measure runs many real nodes in one process, joined by gRPC over
// loopback to a platform stand-in, and measures how long changes take and
// what the links carry:
//
//	go run ./internal/measure -nodes 100
//	go run ./internal/measure -nodes 100 -kill relay
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// Times of a run.
const (
	startLimit        = 30 * time.Second
	changeLimit       = 20 * time.Second
	settleTime        = 10 * time.Second // slow start is over, and with it the news of endpoints
	idleWindow        = 6 * time.Second
	operationInterval = 300 * time.Millisecond
)

func run() error {
	nodes := flag.Int("nodes", 20, "number of nodes, in two data centres")
	favour := flag.String("favour", string(core.FavourConvergence), "profile: convergence or bytes")
	kill := flag.String("kill", "none", "what to kill as a change is submitted: none, relay, root or publisher")
	herd := flag.Bool("herd", false, "restart a whole data centre at once and time it")
	restarts := flag.Int("restarts", 0, "restart so many nodes one by one and count what the links carry for it")
	changes := flag.Int("changes", 10, "number of changes without a kill")
	flag.Parse()
	f := newFleet(core.Favour(*favour))
	defer f.stop()
	started := time.Now()
	if err := f.start(*nodes); err != nil {
		return err
	}
	if _, err := f.change(startLimit); err != nil {
		return err
	}
	fmt.Printf("%d nodes, %s: first version on all after %v from the start\n", *nodes, *favour, time.Since(started).Round(time.Millisecond))
	f.waitReady(startLimit)
	switch {
	case *herd:
		return f.measureHerd()
	case *restarts > 0:
		return f.measureRestarts(*restarts)
	case *kill != "none":
		return f.measureKill(*kill)
	}
	f.measureIdle()
	return f.measureChanges(*changes)
}

// measureChanges measures changes one after the other without faults.
func (f *fleet) measureChanges(changes int) error {
	var all []time.Duration
	before, calls := f.bytes(), f.store.calls.Load()
	began := time.Now()
	for range changes {
		took, err := f.change(changeLimit)
		if err != nil {
			return err
		}
		all = append(all, took...)
		time.Sleep(operationInterval)
	}
	slices.Sort(all)
	fmt.Printf("acceptance to a node over %d changes: p50 %v p99 %v most %v\n", changes, quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1))
	_, most := rates(before, f.bytes(), time.Since(began))
	fmt.Printf("in that time: busiest node %.0f B/s, %.1f platform calls a change\n", most, float64(f.store.calls.Load()-calls)/float64(changes))
	return nil
}

// measureIdle measures what the links carry while nothing changes.
func (f *fleet) measureIdle() {
	time.Sleep(settleTime)
	before, calls := f.bytes(), f.store.calls.Load()
	time.Sleep(idleWindow)
	mean, most := rates(before, f.bytes(), idleWindow)
	fmt.Printf("idle: mean %.0f B/s, busiest %.0f B/s, %.2f platform calls/s\n", mean, most, float64(f.store.calls.Load()-calls)/idleWindow.Seconds())
}

// measureRestarts restarts nodes one by one.
func (f *fleet) measureRestarts(restarts int) error {
	time.Sleep(settleTime)
	before := f.bytes()
	for range restarts {
		m := f.nodes[len(f.nodes)/2]
		f.remove(m)
		delete(before, m.name) // a new life counts from zero
		go m.stop()
		if err := f.startNode(m.index); err != nil {
			return err
		}
		time.Sleep(operationInterval)
	}
	time.Sleep(settleTime)
	_, most := rates(before, f.bytes(), time.Second)
	plain, packed, err := f.fullSetSize()
	if err != nil {
		return err
	}
	fmt.Printf("%d restarts: %.0f B at the busiest node for each\nwhole set %d B, compressed %d B\n", restarts, most/float64(restarts), plain, packed)
	return nil
}

// measureKill measures one change that is submitted as a node is killed.
func (f *fleet) measureKill(role string) error {
	victim := f.findRole(role)
	if victim == nil {
		return fmt.Errorf("no node is a %s", role)
	}
	submitted := time.Now()
	go victim.stop()
	f.remove(victim)
	took, err := f.change(changeLimit)
	if err != nil {
		return fmt.Errorf("%s killed: %w", role, err)
	}
	slices.Sort(took)
	fmt.Printf("%s killed: acceptance to a node p50 %v p99 %v most %v; from the submission to the last node %v\n", role,
		quantile(took, 0.5), quantile(took, 0.99), quantile(took, 1), time.Since(submitted).Round(time.Millisecond))
	return nil
}

// measureHerd restarts every node of one data centre at once.
func (f *fleet) measureHerd() error {
	f.store.trackPeak()
	var restarted []int
	for _, n := range slices.Clone(f.nodes) {
		if n.dc == dataCentres[0] {
			f.remove(n)
			go n.stop()
			restarted = append(restarted, n.index)
		}
	}
	began, before := time.Now(), f.bytes()
	for _, i := range restarted {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	ok := f.waitReady(startLimit)
	most := 0.0
	for name, b := range f.bytes() {
		most = max(most, b-before[name])
	}
	fmt.Printf("herd of %d: all ready %v after %v; busiest node %.0f KB in all; peak %d platform calls in a second\n",
		len(restarted), ok, time.Since(began).Round(time.Millisecond), most/1024, f.store.peak())
	return nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond)
}

// rates returns bytes a second, sent and received, of the mean and of the
// busiest node.
func rates(before, after map[string]float64, over time.Duration) (mean, most float64) {
	for name, b := range after {
		rate := (b - before[name]) / over.Seconds()
		mean += rate / float64(len(after))
		most = max(most, rate)
	}
	return mean, most
}
