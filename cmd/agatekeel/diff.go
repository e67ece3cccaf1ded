package main

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/agatekeel/agatekeel/core/config"
)

// diffCommand shows what apply would change.
type diffCommand struct {
	console
	platformOption
	outputOption
	editOption
	Args struct {
		Paths []string `positional-arg-name:"PATH" required:"1" description:"JSON file or directory"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	src, err := readObjects(c.Args.Paths)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	current, err := client.Current(ctx)
	if err != nil {
		return err
	}
	sub, err := c.edit("diff", "", current, src)
	if err != nil {
		return err
	}
	return c.showChanges(c.outputOption, changesOf(current, sub))
}

// change is one difference between what is published and an edit.
type change struct {
	Object config.Key      `json:"object"`
	Old    json.RawMessage `json:"old,omitempty"` // not there: the object is added
	New    json.RawMessage `json:"new,omitempty"` // not there: the object is deleted
}

// changes is the JSON form of a diff.
type changes struct {
	Version uint64   `json:"version"` // that the edit is compared with
	Changes []change `json:"changes"`
}

// changesOf returns what a submission would change, in order of the keys of
// its puts, then of its deletes.
func changesOf(current *config.Set, sub config.Submission) changes {
	out := changes{Version: current.Version, Changes: []change{}}
	for _, p := range sub.Puts {
		old, exists := current.Objects[p.Object.Key()]
		if exists && bytes.Equal(compact(old.Spec), compact(p.Object.Spec)) {
			continue
		}
		out.Changes = append(out.Changes, change{Object: p.Object.Key(), Old: old.Spec, New: p.Object.Spec})
	}
	for _, d := range sub.Deletes {
		out.Changes = append(out.Changes, change{Object: d.Key, Old: current.Objects[d.Key].Spec})
	}
	return out
}

// compact returns JSON without white space, or what was given if it is none.
func compact(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}

func (c console) showChanges(o outputOption, ch changes) error {
	if o.wantsJSON() {
		return c.json(ch)
	}
	for _, one := range ch.Changes {
		switch {
		case one.Old == nil:
			c.printf("+ %s\n    + %s\n", one.Object, compact(one.New))
		case one.New == nil:
			c.printf("- %s\n    - %s\n", one.Object, compact(one.Old))
		default:
			c.printf("~ %s\n    - %s\n    + %s\n", one.Object, compact(one.Old), compact(one.New))
		}
	}
	c.printf("%d changes against version %d\n", len(ch.Changes), ch.Version)
	return nil
}
