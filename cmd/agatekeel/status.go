package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/store"
)

// maxListed is the maximum number of submissions in a list.
const maxListed = 20

// statusCommand shows the status of submissions.
type statusCommand struct {
	console
	platformOption
	outputOption
	Args struct {
		ID string `positional-arg-name:"ID" description:"submission ID (default: list the latest submissions)"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if c.Args.ID == "" {
		return c.list(ctx)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	st, err := client.Status(ctx, c.Args.ID)
	if err != nil {
		return err
	}
	return c.showStatus(c.outputOption, st)
}

// list shows the latest submissions, newest first.
func (c *statusCommand) list(ctx context.Context) error {
	objectStore, err := c.store()
	if err != nil {
		return err
	}
	objects, _, err := objectStore.List(ctx, keyspace.Statuses)
	if err != nil {
		return fmt.Errorf("list submissions: %w", err)
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return int(int64(b.Created) - int64(a.Created)) })
	all := []status.Status{}
	for _, o := range objects[:min(len(objects), maxListed)] {
		var st status.Status
		if err := json.Unmarshal(o.Data, &st); err != nil {
			return fmt.Errorf("status %s can't be read: %w", o.Key, err)
		}
		all = append(all, st)
	}
	if c.wantsJSON() {
		return c.json(all)
	}
	rows := [][]string{{"ID", "PHASE", "VERSION", "APPLIED"}}
	for _, st := range all {
		rows = append(rows, []string{st.ID, string(st.Phase), strconv.FormatUint(st.Version, 10), appliedNodes(st)})
	}
	return c.table(rows)
}

func appliedNodes(st status.Status) string {
	if st.Nodes == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d nodes", st.Applied, st.Nodes)
}

func (c console) showStatus(o outputOption, st status.Status) error {
	if o.wantsJSON() {
		return c.json(st)
	}
	c.printf("%s %s", st.ID, st.Phase)
	switch {
	case st.Phase == status.Rejected:
		c.printf(" against version %d", st.Version)
	case st.Version > 0:
		c.printf(", version %d", st.Version)
	}
	if st.Nodes > 0 {
		c.printf(", on %s", appliedNodes(st))
	}
	c.printf("\n")
	for _, l := range st.Laggards {
		c.printf("  node %s is at version %d %s\n", l.Node, l.Applied, l.Reason)
	}
	for _, f := range st.Faults {
		c.printf("  %s\n", f.Error())
	}
	return nil
}
