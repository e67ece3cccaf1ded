// Command capacity measures on this machine how costs grow with size, and writes
// docs/CAPACITY.md from the results. The memory of a real node is measured
// beforehand, in a separate process for each size:
//
//	for n in 100 1000 5300; do go run ./internal/capacity/resident -endpoints $n > docs/measurements/resident-$n.json; done
//	go run ./internal/capacity
package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	docs := flag.String("docs", "docs", "directory of the page, its plots and the measurements of resident nodes")
	flag.Parse()
	r, err := measureAll()
	if err != nil {
		return err
	}
	if r.Resident, err = readResident(*docs); err != nil {
		return err
	}
	if err := drawMesh(filepath.Join(*docs, "plots", "control-bytes.svg"), r.Mesh); err != nil {
		return err
	}
	if err := drawLatency(filepath.Join(*docs, "plots", "latency.svg"), r.Latency); err != nil {
		return err
	}
	return writePage(filepath.Join(*docs, "CAPACITY.md"), r)
}

func measureAll() (*Results, error) {
	r := &Results{}
	r.add(stateSlopes()...)
	r.add(cpuSlopes()...)
	r.add(wireSlopes()...)
	for _, measureSlope := range []func() (Slope, error){linkSlope, platformSlope, tickSlope} {
		s, err := measureSlope()
		if err != nil {
			return nil, err
		}
		r.add(s)
	}
	for _, n := range []int{20, 100, 300} {
		r.Mesh = append(r.Mesh, runMesh(n))
	}
	r.Losses = runLosses()
	var err error
	r.Latency, err = runLatency()
	return r, err
}

// readResident reads the results that runs of the resident command printed.
func readResident(docs string) ([]sizes.ProcessUsage, error) {
	files, err := filepath.Glob(filepath.Join(docs, "measurements", "resident-*.json"))
	if err != nil {
		return nil, fmt.Errorf("list measurements: %w", err)
	}
	var out []sizes.ProcessUsage
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("read measurement: %w", err)
		}
		var r sizes.ProcessUsage
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, fmt.Errorf("decode measurement %s: %w", f, err)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b sizes.ProcessUsage) int { return cmp.Compare(a.Endpoints, b.Endpoints) })
	return out, nil
}
