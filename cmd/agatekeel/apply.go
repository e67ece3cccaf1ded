package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/store"
)

// platformOption is embedded in the commands that call the platform.
type platformOption struct {
	Platform string `long:"platform" env:"AGATEKEEL_PLATFORM" default:"http://127.0.0.1:8082" description:"URL of the platform"`
}

// Timeouts of the platform calls of a command.
const (
	readTimeout   = 10 * time.Second // for commands that only read
	submitTimeout = 20 * time.Second // for reading the published objects and submitting
)

func (o platformOption) store() (store.Store, error) {
	store, err := store.NewClient(o.Platform)
	if err != nil {
		return nil, usageError("--platform: %v", err)
	}
	return store, nil
}

func (o platformOption) client() (*operator.Client, error) {
	store, err := o.store()
	if err != nil {
		return nil, err
	}
	return operator.New(store), nil
}

// published reads the published objects.
func (o platformOption) published() (*config.Set, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return client.Current(ctx)
}

// editOption is embedded in the commands that compare files with the published
// objects.
type editOption struct {
	Prune   bool     `long:"prune" description:"delete published objects that are in none of the files"`
	Deletes []string `long:"delete" value-name:"KIND/NAME" description:"delete this object (may be given several times)"`
}

// edit returns the submission that changes the published objects to those of the
// files, and deletes the objects selected by the options.
func (o editOption) edit(id, author string, current *config.Set, src source) (config.Submission, error) {
	keys, err := parseKeys(o.Deletes)
	if err != nil {
		return config.Submission{}, err
	}
	sub := operator.Edit(id, author, current, src.objects)
	if o.Prune {
		for _, old := range current.Sorted() {
			if _, found := src.files[old.Key()]; !found {
				keys = append(keys, old.Key())
			}
		}
	}
	seen := map[config.Key]bool{}
	for _, k := range keys {
		if !seen[k] {
			seen[k] = true
			sub.Deletes = append(sub.Deletes, config.Delete{Key: k, Base: current.Objects[k].Version})
		}
	}
	return sub, nil
}

// applyCommand submits objects.
type applyCommand struct {
	console
	platformOption
	outputOption
	editOption
	Wait    bool          `long:"wait" description:"wait until the submission is in force or rejected"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"timeout of --wait; the submission is not withdrawn when it expires"`
	DryRun  bool          `long:"dry-run" description:"show the changes and check the result; submit nothing"`
	Author  string        `long:"author" description:"author recorded in the changed objects (default: user name)"`
	ID      string        `long:"id" description:"submission ID (default: generated); reuse the ID of an earlier attempt whose answer was lost"`
	Args    struct {
		Paths []string `positional-arg-name:"PATH" description:"JSON file or directory"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	src, err := c.source()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	sub, current, err := c.submission(ctx, client, src)
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.dryRun(current, sub, src)
	}
	started := time.Now()
	c.printID(sub.ID)
	if st, err := client.Status(ctx, sub.ID); err == nil && c.ID != "" {
		c.notef("submission %s was already submitted; these files are not submitted again\n", st.ID)
	}
	if err := client.Submit(ctx, sub); err != nil {
		return submitError(sub.ID, err)
	}
	return c.showResult(client, sub.ID, src, started)
}

func (c *applyCommand) source() (source, error) {
	if _, err := parseKeys(c.Deletes); err != nil {
		return source{}, err
	}
	if len(c.Args.Paths) == 0 && len(c.Deletes) > 0 && !c.Prune {
		return source{}, nil
	}
	if len(c.Args.Paths) == 0 {
		return source{}, usageError("apply needs at least one PATH, or --delete")
	}
	return readObjects(c.Args.Paths)
}

func (c *applyCommand) submission(ctx context.Context, client *operator.Client, src source) (config.Submission, *config.Set, error) {
	id, author := c.ID, c.Author
	if id == "" {
		id = newSubmissionID()
	}
	if author == "" {
		author = userName()
	}
	current, err := client.Current(ctx)
	if err != nil {
		return config.Submission{}, nil, fmt.Errorf("nothing was submitted: %w", err)
	}
	sub, err := c.edit(id, author, current, src)
	return sub, current, err
}

func (c *applyCommand) dryRun(current *config.Set, sub config.Submission, src source) error {
	if err := c.showChanges(c.outputOption, changesOf(current, sub)); err != nil {
		return err
	}
	if faults := operator.Check(current, sub); len(faults) > 0 {
		return src.faultErrors(faults)
	}
	c.notef("no faults; nothing was submitted\n")
	return nil
}

// printID prints the ID before the first write, so that "status ID" can be used
// even if the command fails.
func (c *applyCommand) printID(id string) {
	if c.wantsJSON() {
		c.notef("submission %s\n", id)
		return
	}
	c.printf("submission %s\n", id)
}

func submitError(id string, err error) error {
	if errors.Is(err, operator.ErrUnknownOutcome) {
		return fmt.Errorf("%w\nrun the same command with --id %s to find out", err, id)
	}
	return fmt.Errorf("nothing was submitted: %w", err)
}

// showResult shows the status of the submission. With Wait it first waits for the
// final status.
func (c *applyCommand) showResult(client *operator.Client, id string, src source, started time.Time) error {
	st := status.Status{ID: id, Phase: status.Pending}
	if c.Wait {
		ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
		defer cancel()
		last, err := client.Wait(ctx, id)
		if err != nil {
			return fmt.Errorf("submission is not in force within the timeout (last seen: %s); it is not withdrawn and may still "+
				"come into force: run \"agatekeel status %s\": %w", phaseName(last.Phase), id, err)
		}
		st = last
	}
	if st.Phase == status.Rejected {
		return c.rejectionError(st, src)
	}
	if err := c.showStatus(c.outputOption, st); err != nil {
		return err
	}
	if c.Wait && !c.wantsJSON() {
		c.printf("after %d ms\n", time.Since(started).Milliseconds())
	}
	return nil
}

// rejectionError returns an error that lists each fault with the file of its
// object. With JSON output it also prints the status.
func (c *applyCommand) rejectionError(st status.Status, src source) error {
	if c.wantsJSON() {
		if err := c.json(st); err != nil {
			return err
		}
	}
	return fmt.Errorf("submission %s was rejected, nothing was changed:\n%w", st.ID, src.faultErrors(st.Faults))
}

func phaseName(p status.Phase) string {
	if p == "" {
		return "no answer from the platform"
	}
	return string(p)
}

// newSubmissionID returns a unique submission ID that starts with the time in UTC, so
// that IDs sort by it.
func newSubmissionID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return time.Now().UTC().Format("20060102-150405-") + hex.EncodeToString(b[:])
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
