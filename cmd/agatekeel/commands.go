package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/platform"
	"github.com/agatekeel/agatekeel/settings"
)

// nodeCommand runs one node.
type nodeCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file (JSON)"`
	Check    bool   `long:"check-settings" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil || c.Check {
		return err
	}
	var n *node.Node
	app := fx.New(fx.Supply(s), node.Module, fx.NopLogger, fx.Populate(&n))
	if err := app.Start(context.Background()); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	n.Step(core.Stop{})
	select {
	case <-n.Drained():
	case <-signals: // the second signal ends at once
	}
	return app.Stop(context.Background())
}

// checkCommand checks objects offline.
type checkCommand struct {
	Args struct {
		Paths []string `positional-arg-name:"PATH" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	objects, err := readObjects(c.Args.Paths)
	if err != nil {
		return err
	}
	set, faults := config.Merge(config.NewSet(0, nil), operator.Edit("check", "", config.NewSet(0, nil), objects))
	if len(faults) == 0 {
		_, faults = config.Compile(set)
	}
	if len(faults) > 0 {
		return errors.Join(faultErrors(faults)...)
	}
	fmt.Printf("%d objects, no faults\n", len(objects))
	return nil
}

func faultErrors(faults []config.Fault) []error {
	errs := make([]error, 0, len(faults))
	for _, f := range faults {
		errs = append(errs, f)
	}
	return errs
}

// readObjects reads the JSON files at paths, directories whole.
func readObjects(paths []string) ([]config.Object, error) {
	var out []config.Object
	for _, path := range paths {
		err := filepath.WalkDir(path, func(file string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(file, ".json") && file != path {
				return err
			}
			objects, err := readFile(file)
			out = append(out, objects...)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no objects in %s", strings.Join(paths, " "))
	}
	return out, nil
}

func readFile(file string) ([]config.Object, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read objects: %w", err)
	}
	defer func() { _ = f.Close() }()
	objects, err := config.DecodeObjects(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return objects, nil
}

// platformOption is shared by the commands that talk to the platform.
type platformOption struct {
	Platform string `long:"platform" env:"AGATEKEEL_PLATFORM" default:"http://127.0.0.1:8082" description:"URL of the platform"`
}

func (o platformOption) client() (*operator.Client, error) {
	store, err := platform.NewClient(o.Platform)
	if err != nil {
		return nil, err
	}
	return operator.New(store), nil
}

// applyCommand submits objects.
type applyCommand struct {
	platformOption
	Wait    bool          `long:"wait" description:"wait until in force or rejected"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	Args    struct {
		Paths []string `positional-arg-name:"PATH" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	started := time.Now()
	st, err := submit(ctx, client, c.Args.Paths, c.Wait)
	if err != nil {
		return err
	}
	fmt.Printf("%s %s version %d after %d ms\n", st.ID, st.Phase, st.Version, time.Since(started).Milliseconds())
	if st.Phase == status.Rejected {
		return errors.Join(faultErrors(st.Faults)...)
	}
	return nil
}

// submit reads objects, submits them and, if wanted, waits for the end.
func submit(ctx context.Context, client *operator.Client, paths []string, wait bool) (status.Status, error) {
	objects, err := readObjects(paths)
	if err != nil {
		return status.Status{}, err
	}
	current, err := client.Current(ctx)
	if err != nil {
		return status.Status{}, err
	}
	id, err := newID()
	if err != nil {
		return status.Status{}, err
	}
	if err := client.Submit(ctx, operator.Edit(id, userName(), current, objects)); err != nil {
		return status.Status{}, err
	}
	if !wait {
		return status.Status{ID: id, Phase: status.Pending}, nil
	}
	return client.Wait(ctx, id)
}

func newID() (string, error) {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("make submission ID: %w", err)
	}
	return time.Now().UTC().Format("20060102-150405-") + hex.EncodeToString(b[:]), nil
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// statusCommand shows a submission's status.
type statusCommand struct {
	platformOption
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	st, err := client.Status(ctx, c.Args.ID)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(st)
}

// dumpCommand prints a process's state.
type dumpCommand struct {
	Admin string `long:"admin" default:"127.0.0.1:8081" description:"admin address of the process"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + c.Admin + "/debug/state")
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("dump: %s", resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}
