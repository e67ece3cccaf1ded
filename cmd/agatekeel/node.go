package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/settings"
)

// nodeCommand runs one node.
type nodeCommand struct {
	console
	Settings string `long:"settings" required:"true" description:"settings file (JSON)"`
	Check    bool   `long:"check-settings" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		c.printf("%s: no faults\n", c.Settings)
		return nil
	}
	return runNode(func() (runningNode, error) {
		running, err := startNode(s)
		if err != nil {
			return running, fmt.Errorf("%s: %w", c.Settings, err)
		}
		return running, nil
	})
}

// runNode starts a node, waits for a signal to end, then drains and stops the node. A
// signal that comes during the start is not lost: the node serves before it returns.
func runNode(start func() (runningNode, error)) error {
	signals, stopSignals := shutdownSignals()
	defer stopSignals()
	r, err := start()
	if err != nil {
		return err
	}
	<-signals
	drain(signals, r.node)
	err = r.stop()
	_ = r.log.Sync() // waits for a bounded time; lines not written by then are lost
	return err
}

// runningNode is a started node with its listeners, log and application.
type runningNode struct {
	node      *node.Node
	listeners *node.Listeners
	log       *eventlog.Logger
	app       *fx.App
}

func startNode(s settings.Settings) (runningNode, error) { return startNodeWith(s, node.Standalone) }

// startNodeWith starts a node. environment provides what node.Module needs: the
// store and the names of the headers.
func startNodeWith(s settings.Settings, environment fx.Option) (runningNode, error) {
	var r runningNode
	r.app = fx.New(fx.Supply(s), node.Module, environment, fx.NopLogger, fx.Populate(&r.node, &r.listeners, &r.log))
	if err := r.app.Start(context.Background()); err != nil {
		return runningNode{}, fmt.Errorf("start node %s: %w", s.Node, dig.RootCause(err))
	}
	return r, nil
}

// stop stops the node without draining it.
func (r runningNode) stop() error {
	if err := r.app.Stop(context.Background()); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// shutdownSignals returns a channel of the signals that ask the process to end, and
// a function that stops their delivery.
func shutdownSignals() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals, func() { signal.Stop(signals) }
}

// drain starts the draining of nodes and waits until all are drained or signals
// receives an interrupt.
func drain(signals <-chan os.Signal, nodes ...*node.Node) {
	for _, n := range nodes {
		n.Step(core.Stop{})
	}
	for _, n := range nodes {
		if !awaitDrained(signals, n) {
			return
		}
	}
}

// awaitDrained waits until a node is drained. It returns false if signals receives an
// interrupt before. SIGTERM asks for no more than the first signal did: a supervisor
// repeats it, or sends it for two reasons, and has SIGKILL for an end at once.
func awaitDrained(signals <-chan os.Signal, n *node.Node) bool {
	for {
		select {
		case <-n.Drained():
			return true
		case s := <-signals:
			if s == os.Interrupt {
				return false
			}
		}
	}
}
