// Command resident runs one real node that holds a number of endpoints and
// routes, and prints the memory and processor time of its process as JSON.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/settings"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// cpuWindow is how long the node's processor time is measured.
const cpuWindow = 10 * time.Second

func main() {
	endpoints := flag.Int("endpoints", sizes.TargetEndpoints, "number of endpoints that the node holds")
	routes := flag.Int("routes", sizes.TargetRoutes, "number of routes that the node holds")
	flag.Parse()
	r, err := measure(*endpoints, *routes)
	if err == nil {
		err = json.NewEncoder(os.Stdout).Encode(r)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "resident:", err)
		os.Exit(1)
	}
}

// simulatedRoot is a peer.Handler that sends a node what the root of another data
// centre would send. Its heartbeats carry the digest of the node's own table, so
// that the node sees no difference between the tables.
type simulatedRoot struct{ tableDigest atomic.Uint64 }

// Accepted implements peer.Handler; a simulatedRoot accepts no links.
func (*simulatedRoot) Accepted(*peer.Link) any { return nil }

// Received implements peer.Handler.
func (s *simulatedRoot) Received(_ any, m message.Message) {
	switch m := m.(type) {
	case message.Welcome:
		s.tableDigest.Store(m.Heartbeat.Table)
	case message.Heartbeat:
		if !m.Same {
			s.tableDigest.Store(m.Table)
		}
	}
}

// Down implements peer.Handler.
func (*simulatedRoot) Down(any, string) {}

// measure runs one node with a number of endpoints and routes. It is called once
// per process, since memory is comparable only in a fresh process.
func measure(endpoints, routes int) (sizes.ProcessUsage, error) {
	r := sizes.ProcessUsage{Endpoints: endpoints, Routes: routes}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return r, fmt.Errorf("listen for platform stand-in: %w", err)
	}
	server := &http.Server{Handler: storetest.Handler(storetest.NewStore()), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()

	var n *node.Node
	var listeners *node.Listeners
	s := settings.Settings{
		Node: "measured", DataCentre: "centre-00", DataCentres: []string{"centre-00"}, Platform: "http://" + l.Addr().String(),
		Listen: settings.Listen{Callers: "127.0.0.1:0", Hop: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Log:    settings.Log{Format: "json", Level: "error"},
	}
	app := fx.New(fx.Supply(s), node.Module, node.Standalone, fx.NopLogger, fx.Populate(&n, &listeners))
	if err := app.Start(context.Background()); err != nil {
		return r, fmt.Errorf("start node: %w", err)
	}
	defer func() { _ = app.Stop(context.Background()) }()
	if err := sendState(listeners.Peer.Addr().String(), endpoints, routes); err != nil {
		return r, err
	}
	for !holdsAll(n, endpoints, routes) {
		time.Sleep(10 * time.Millisecond)
	}
	debug.FreeOSMemory()
	before := sizes.CPUTime()
	time.Sleep(cpuWindow)
	r.CoreShare = float64(sizes.CPUTime()-before) / float64(cpuWindow)
	if r.Bytes, err = memoryOf("VmRSS:"); err != nil {
		return r, err
	}
	r.Private, err = memoryOf("RssAnon:")
	return r, err
}

// holdsAll reports whether the node is a root and has received all endpoints and
// routes; an entry of its own may come on top.
func holdsAll(n *node.Node, endpoints, routes int) bool {
	d := n.Dump()
	return len(d.Endpoints) >= endpoints && d.Routes >= routes && d.Phase == "root"
}

// sendState sends a node a configuration and an endpoint table, as the root of
// another data centre does.
func sendState(address string, endpoints, routes int) error {
	root := &simulatedRoot{}
	transport := peer.NewTransport(peer.Config{}, root)
	set := config.NewSet(1, sizes.Objects(routes))
	entries := sizes.Entries(endpoints)
	err := transport.Dial(context.Background(), address, func(l *peer.Link) any {
		for _, m := range []message.Message{
			message.Hello{Node: "feeder", DataCentre: "centre-01", Peer: "127.0.0.1:1", Kind: message.Root, Config: 1, ConfigHash: set.Hash()},
			message.ConfigWhole{Version: 1, Hash: set.Hash(), Objects: set.Sorted()},
			message.Endpoints{Entries: entries},
		} {
			if err := l.Send(m); err != nil {
				panic(err)
			}
		}
		go root.sendHeartbeats(l)
		return nil
	})
	if err != nil {
		return fmt.Errorf("connect to node: %w", err)
	}
	return nil
}

// sendHeartbeats sends a heartbeat every second, a full one whenever the node's table
// digest has changed, until the link fails.
func (s *simulatedRoot) sendHeartbeats(l *peer.Link) {
	var sent uint64
	for {
		h := message.Heartbeat{Same: true}
		if digest := s.tableDigest.Load(); digest != sent {
			sent = digest
			h = message.Heartbeat{Path: []string{"feeder"}, Rooted: true, Config: 1, Newest: 1, Table: digest}
		}
		if l.Send(h) != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// memoryOf returns a memory field of /proc/self/status, in bytes.
func memoryOf(field string) (float64, error) {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, fmt.Errorf("read process memory: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kib, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kib * 1024, err
		}
	}
	return 0, fmt.Errorf("field %s not found in /proc/self/status", field)
}
