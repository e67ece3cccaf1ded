// Command capacity measures slopes on this machine and writes
// docs/CAPACITY.md from them. Memory of a real node is measured in a process
// of its own for each size:
//
//	for n in 100 1000 5300; do go run ./internal/capacity -resident $n -routes 5000 > docs/measurements/resident-$n.json; done
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
	"time"
)

// The target size.
const (
	targetEndpoints = 5300
	targetServices  = 130
	targetPolicies  = 20
	targetCentres   = 11
	targetRoutes    = 5000
)

// residentWindow is how long a real node's processor time is watched.
const residentWindow = 10 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	endpoints := flag.Int("resident", 0, "measure a real node that holds this many endpoints, print JSON and end")
	routes := flag.Int("routes", 1000, "routes that the real node holds")
	docs := flag.String("docs", "docs", "directory of the page")
	flag.Parse()
	if *endpoints > 0 {
		r, err := measureResident(*endpoints, *routes, residentWindow)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(r)
	}
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
	return writePage(filepath.Join(*docs, "CAPACITY.md"), r)
}

func measureAll() (*Results, error) {
	r := &Results{}
	r.add(stateSlopes()...)
	r.add(cpuSlopes()...)
	r.add(wireSlopes()...)
	for _, paced := range []func() (Slope, error){linkSlope, platformSlope, tickSlope} {
		s, err := paced()
		if err != nil {
			return nil, err
		}
		r.add(s)
	}
	for _, n := range []int{20, 100, 300} {
		r.Mesh = append(r.Mesh, runMesh(n))
	}
	return r, nil
}

// readResident reads what runs of real nodes have printed.
func readResident(docs string) ([]resident, error) {
	files, err := filepath.Glob(filepath.Join(docs, "measurements", "resident-*.json"))
	if err != nil {
		return nil, fmt.Errorf("find measurements: %w", err)
	}
	var out []resident
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("read measurement: %w", err)
		}
		var r resident
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, fmt.Errorf("read measurement %s: %w", f, err)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b resident) int { return cmp.Compare(a.Endpoints, b.Endpoints) })
	return out, nil
}
