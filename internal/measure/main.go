// Command measure runs many real nodes in one process, linked by gRPC over
// loopback and using a platform stand-in. It measures how long changes take to
// reach the nodes and how many bytes the links carry:
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

// Times of a run: the limits, the durations of its phases, and the pause between
// operations.
const (
	startLimit        = 30 * time.Second
	changeLimit       = 20 * time.Second
	settleTime        = 10 * time.Second // after it slow start is over and endpoint updates have ceased
	idleWindow        = 6 * time.Second
	operationInterval = 300 * time.Millisecond
)

func run() error {
	nodes := flag.Int("nodes", 20, "number of nodes, in two data centres")
	favour := flag.String("favour", string(core.FavourConvergence), "profile: convergence or bytes")
	kill := flag.String("kill", "none", "role of the node to kill as a change is submitted: none, relay, root or publisher")
	herd := flag.Bool("herd", false, "restart all nodes of one data centre at once and measure the time until they are ready")
	restarts := flag.Int("restarts", 0, "number of nodes to restart one by one while the bytes on the links are counted")
	changes := flag.Int("changes", 10, "number of changes to measure in a run without -kill, -herd or -restarts")
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
	fmt.Printf("%d nodes, %s: first version applied by all nodes %v after the start\n",
		*nodes, *favour, time.Since(started).Round(time.Millisecond))
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

// measureChanges measures the time until nodes apply a change, over changes made one
// after the other without failures.
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
	fmt.Printf("time from acceptance until a node applies it, over %d changes: p50 %v p99 %v max %v\n",
		changes, quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1))
	_, most := rates(before, f.bytes(), time.Since(began))
	fmt.Printf("during these changes: busiest node %.0f B/s, %.1f platform calls per change\n",
		most, float64(f.store.calls.Load()-calls)/float64(changes))
	return nil
}

// measureIdle measures the bytes on the links and the platform calls while nothing
// changes.
func (f *fleet) measureIdle() {
	time.Sleep(settleTime)
	before, calls := f.bytes(), f.store.calls.Load()
	time.Sleep(idleWindow)
	mean, most := rates(before, f.bytes(), idleWindow)
	fmt.Printf("idle: mean %.0f B/s, busiest %.0f B/s, %.2f platform calls/s\n",
		mean, most, float64(f.store.calls.Load()-calls)/idleWindow.Seconds())
}

// measureRestarts restarts nodes one by one and measures the bytes that each restart
// costs the busiest node.
func (f *fleet) measureRestarts(restarts int) error {
	time.Sleep(settleTime)
	before := f.bytes()
	for range restarts {
		m := f.nodes[len(f.nodes)/2]
		f.remove(m)
		delete(before, m.name) // the counters of the restarted node begin at zero
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
	fmt.Printf("%d restarts: %.0f B per restart at the busiest node\nwhole set %d B, compressed %d B\n",
		restarts, most/float64(restarts), plain, packed)
	return nil
}

// measureKill measures one change that is submitted while a node with the given role
// is killed.
func (f *fleet) measureKill(role string) error {
	victim := f.findRole(role)
	if victim == nil {
		return fmt.Errorf("no node has the role %s", role)
	}
	submitted := time.Now()
	go victim.stop()
	f.remove(victim)
	took, err := f.change(changeLimit)
	if err != nil {
		return fmt.Errorf("%s killed: %w", role, err)
	}
	slices.Sort(took)
	fmt.Printf("%s killed: time from acceptance until a node applies it: p50 %v p99 %v max %v; from submission until the last node applied it %v\n",
		role, quantile(took, 0.5), quantile(took, 0.99), quantile(took, 1), time.Since(submitted).Round(time.Millisecond))
	return nil
}

// measureHerd restarts all nodes of one data centre at once, and measures the time
// until all are ready and the load of links and platform.
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
	fmt.Printf("%d nodes restarted at once: all ready %v after %v; busiest node %.0f KiB in total; peak %d platform calls in one second\n",
		len(restarted), ok, time.Since(began).Round(time.Millisecond), most/1024, f.store.peak())
	return nil
}

// quantile returns the q-quantile of sorted durations, in whole milliseconds.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond)
}

// rates returns the bytes per second, sent and received, of the mean and of the
// busiest node.
func rates(before, after map[string]float64, over time.Duration) (mean, most float64) {
	for name, b := range after {
		rate := (b - before[name]) / over.Seconds()
		mean += rate / float64(len(after))
		most = max(most, rate)
	}
	return mean, most
}
