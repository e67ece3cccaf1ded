// Command standin plays the cases of the review: it starts nodes as processes of their
// own, and serves their platform, their upstreams and their clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// world is what the cases have in common.
type world struct {
	dir     string // for settings and logs
	rec     *record
	store   *store
	trouble bool
	nodes   []*node
	servers []*upstream
}

// Exit codes.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	readyIn = 15 * time.Second
)

var errNoAck = errors.New("the node did not acknowledge that the upstream leaves")

var cases = map[string]func(*world) (bool, error){
	"late-beat":    lateBeat,
	"other-writer": otherWriter,
	"cut-behind":   cutBehind,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*world) (bool, error), recordDir string) int {
	w, err := newWorld(recordDir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.end()
	isBroken, err := f(w)
	switch {
	case err != nil:
		w.rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case isBroken:
		w.rec.note("the rule was broken")
		return broken
	}
	w.rec.note("the rule held")
	return held
}

func newWorld(recordDir string) (*world, error) {
	rec, err := newRecord(recordDir)
	if err != nil {
		return nil, err
	}
	dir := os.Getenv("LOGS") // where logs are kept
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return nil, fmt.Errorf("temporary folder: %w", err)
		}
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, rec: rec, store: st, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// addNode starts a node with an upstream beside it.
func (w *world) addNode(service, zone string, work time.Duration) (*node, *upstream, error) {
	n, err := newNode(w.dir, w.store, 10+len(w.nodes), service, zone)
	if err != nil {
		return nil, nil, err
	}
	w.nodes = append(w.nodes, n)
	if err := n.start(true); err != nil {
		return nil, nil, err
	}
	u, err := startUpstream(n, w.rec, work)
	if err != nil {
		return nil, nil, err
	}
	w.servers = append(w.servers, u)
	return n, u, nil
}

// end ends all that was started.
func (w *world) end() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, u := range w.servers {
		u.exit()
	}
	_ = w.store.server.Close()
	if os.Getenv("LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.rec.file.Close()
}
