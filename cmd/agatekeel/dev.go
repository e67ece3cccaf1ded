package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/platform"
	"github.com/agatekeel/agatekeel/platform/platformtest"
	"github.com/agatekeel/agatekeel/settings"
)

// devCommand runs a whole mesh on one machine.
type devCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:8080" description:"address for callers"`
	Admin    string        `long:"admin" default:"127.0.0.1:8081" description:"admin address of the first node"`
	Platform string        `long:"platform-listen" default:"127.0.0.1:8082" description:"address of the platform stand-in"`
	Objects  string        `long:"objects" default:"examples/recipes" description:"objects to apply"`
	RunFor   time.Duration `long:"run-for" description:"stop after this time (default: until SIGINT or SIGTERM)"`
	Log      string        `long:"log" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level"`
}

// devReadyTimeout bounds the time from the start to a mesh with its
// configuration in force.
const devReadyTimeout = 60 * time.Second

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	started := time.Now()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	platformURL, closePlatform, err := servePlatform(c.Platform)
	if err != nil {
		return err
	}
	defer closePlatform()
	closeNodes, err := c.startNodes(platformURL)
	defer closeNodes()
	if err != nil {
		return err
	}
	if err := c.applyObjects(ctx, platformURL); err != nil {
		return err
	}
	fmt.Printf("platform %s\nadmin http://%s\n", platformURL, c.Admin)
	fmt.Printf("in force on every node after %d ms\n", time.Since(started).Milliseconds())
	fmt.Printf("ready http://%s\n", c.Listen)
	if c.RunFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.RunFor)
		defer cancel()
	}
	<-ctx.Done()
	return nil
}

// servePlatform serves the platform stand-in.
func servePlatform(address string) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("platform stand-in: %w", err)
	}
	server := &http.Server{Handler: platformtest.Handler(platformtest.NewStore()), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), func() { _ = server.Close() }, nil
}

// startNodes starts two nodes for each sample service, one in each data
// centre. The first listens on the addresses given.
func (c *devCommand) startNodes(platformURL string) (closeAll func(), err error) {
	var closers []func()
	closeAll = func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}
	dataCentres := []string{"derby", "leicester"}
	first := true
	for _, service := range []string{"recipe-book", "orders", "print-room", "scaler"} {
		for _, dc := range dataCentres {
			name := service + "-" + dc
			backend, err := sample.Start(service, name)
			if err != nil {
				return closeAll, err
			}
			closers = append(closers, backend.Close)
			s := settings.Settings{
				Node: name, DataCentre: dc, DataCentres: dataCentres, Platform: platformURL,
				Listen:  settings.Listen{Callers: "127.0.0.1:0", Hop: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
				Backend: settings.Backend{Service: service, Address: backend.Address(), Slots: 6, Connections: 130},
				Log:     settings.Log{Format: "console", Level: c.Log},
			}
			if first {
				s.Listen.Callers, s.Listen.Admin, first = c.Listen, c.Admin, false
			}
			if err := settings.Check("dev", s); err != nil {
				return closeAll, err
			}
			app := fx.New(fx.Supply(s), node.Module, fx.NopLogger)
			if err := app.Start(context.Background()); err != nil {
				return closeAll, fmt.Errorf("start node %s: %w", name, err)
			}
			closers = append(closers, func() { _ = app.Stop(context.Background()) })
		}
	}
	return closeAll, nil
}

func (c *devCommand) applyObjects(ctx context.Context, platformURL string) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	store, err := platform.NewClient(platformURL)
	if err != nil {
		return err
	}
	st, err := submit(ctx, operator.New(store), []string{c.Objects}, true)
	if err != nil {
		return err
	}
	if st.Phase == status.Rejected {
		return errors.Join(faultErrors(st.Faults)...)
	}
	return nil
}
