package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/settings"
	"github.com/agatekeel/agatekeel/store"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// devCommand runs a complete mesh on one machine.
type devCommand struct {
	console
	Listen   string        `long:"listen" default:"127.0.0.1:8080" description:"address for callers"`
	Admin    string        `long:"admin" default:"127.0.0.1:8081" description:"admin address of the first node"`
	Platform string        `long:"platform-listen" default:"127.0.0.1:8082" description:"address of the platform stand-in"`
	Objects  string        `long:"objects" default:"examples/recipes" description:"JSON file or directory with the objects to apply"`
	RunFor   time.Duration `long:"run-for" description:"stop after this time (default: until SIGINT or SIGTERM)"`
	Log      string        `long:"log" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level"`

	onReady func(*mesh) // set by tests; called once the mesh is ready
}

// devReadyTimeout bounds the time for submitting the objects and waiting until they
// are in force.
const devReadyTimeout = 60 * time.Second

// devSlots and devConnections are the settings backend.slots and
// backend.connections of each node.
const (
	devSlots       = 6
	devConnections = 130
)

// mesh holds everything that dev has started.
type mesh struct {
	platform  string // URL of the platform stand-in
	store     *storetest.Store
	nodes     []*node.Node
	listeners []*node.Listeners
	closers   []func()
}

// close stops everything, in the reverse order of its start.
func (m *mesh) close() {
	for i := len(m.closers) - 1; i >= 0; i-- {
		m.closers[i]()
	}
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	started := time.Now()
	signals, stopSignals := shutdownSignals()
	defer stopSignals()
	src, err := readObjects([]string{c.Objects})
	if err != nil {
		return err
	}
	m := &mesh{}
	defer m.close()
	if err := m.servePlatform(c.Platform); err != nil {
		return err
	}
	if err := c.startNodes(m); err != nil {
		return err
	}
	if err := applyObjects(m.platform, src, signals); err != nil {
		return err
	}
	c.printf("platform %s\nadmin http://%s\n", m.platform, m.listeners[0].Admin.Addr())
	c.printf("in force on every node after %d ms\n", time.Since(started).Milliseconds())
	c.printf("ready http://%s\n", m.listeners[0].Callers.Addr())
	if c.onReady != nil {
		c.onReady(m)
	}
	if c.waitForShutdown(signals) {
		drain(signals, m.nodes...)
	}
	return nil
}

// waitForShutdown waits for a signal or the end of RunFor, and reports whether there
// was a signal.
func (c *devCommand) waitForShutdown(signals <-chan os.Signal) (signalled bool) {
	var expired <-chan time.Time
	if c.RunFor > 0 {
		expired = time.After(c.RunFor)
	}
	select {
	case <-signals:
		return true
	case <-expired:
		return false
	}
}

// servePlatform starts the platform stand-in.
func (m *mesh) servePlatform(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("--platform-listen: %w", err)
	}
	m.store = storetest.NewStore()
	server := &http.Server{Handler: storetest.Handler(m.store), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	m.closers = append(m.closers, func() { _ = server.Close() })
	m.platform = "http://" + l.Addr().String()
	return nil
}

// startNodes starts two nodes for each sample service, one in each data centre. The
// first listens on the addresses Listen and Admin, the others on free ports.
func (c *devCommand) startNodes(m *mesh) error {
	s := settings.Settings{
		DataCentres: []string{"derby", "leicester"}, Platform: m.platform,
		Listen: settings.Listen{Callers: c.Listen, Hop: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: c.Admin},
		Log:    settings.Log{Format: "console", Level: c.Log},
	}
	for _, service := range []string{"recipe-book", "orders", "print-room", "scaler"} {
		for _, dc := range s.DataCentres {
			s.Node, s.DataCentre = service+"-"+dc, dc
			if err := m.startNode(s, service); err != nil {
				return err
			}
			s.Listen.Callers, s.Listen.Admin = "127.0.0.1:0", "127.0.0.1:0"
		}
	}
	return nil
}

// startNode starts a sample backend server and its node.
func (m *mesh) startNode(s settings.Settings, service string) error {
	backend, err := sample.Start(service, s.Node)
	if err != nil {
		return err
	}
	m.closers = append(m.closers, backend.Close)
	s.Backend = settings.Backend{Service: service, Address: backend.Address(), Slots: devSlots, Connections: devConnections}
	if err := settings.Check("dev", s); err != nil {
		return err
	}
	n, err := startNode(s)
	if err != nil {
		return err
	}
	m.nodes, m.listeners = append(m.nodes, n.node), append(m.listeners, n.listeners)
	m.closers = append(m.closers, func() { _ = n.stop() })
	return nil
}

// applyObjects submits objects as an operator does and waits until they are in
// force. A signal cancels the wait.
func applyObjects(platformURL string, src source, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), devReadyTimeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-done:
		}
	}()
	store, err := store.NewClient(platformURL)
	if err != nil {
		return err
	}
	client := operator.New(store)
	current, err := client.Current(ctx)
	if err != nil {
		return err
	}
	sub := operator.Edit(newSubmissionID(), userName(), current, src.objects)
	if err := client.Submit(ctx, sub); err != nil {
		return err
	}
	st, err := client.Wait(ctx, sub.ID)
	if err != nil {
		return err
	}
	if st.Phase == status.Rejected {
		return src.faultErrors(st.Faults)
	}
	return nil
}
