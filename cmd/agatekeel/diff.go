package main

import (
	"bytes"
	"encoding/json"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/operator"
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
	current, err := c.published()
	if err != nil {
		return err
	}
	sub, err := c.edit("diff", "", current, src)
	if err != nil {
		return err
	}
	return c.showChanges(c.outputOption, changesOf(current, sub))
}

// changes is the JSON form of a diff.
type changes struct {
	Version uint64            `json:"version"` // published version that the changes are relative to
	Changes []operator.Change `json:"changes"`
}

func changesOf(current *config.Set, sub config.Submission) changes {
	return changes{Version: current.Version, Changes: operator.Changes(current, sub)}
}

func (c console) showChanges(o outputOption, ch changes) error {
	if o.wantsJSON() {
		return c.json(ch)
	}
	for _, change := range ch.Changes {
		switch {
		case change.Old == nil:
			c.printf("+ %s\n    + %s\n", change.Object, compactJSON(change.New))
		case change.New == nil:
			c.printf("- %s\n    - %s\n", change.Object, compactJSON(change.Old))
		default:
			c.printf("~ %s\n    - %s\n    + %s\n", change.Object, compactJSON(change.Old), compactJSON(change.New))
		}
	}
	c.printf("%d changes against version %d\n", len(ch.Changes), ch.Version)
	return nil
}

// compactJSON returns JSON without insignificant white space. Input that is not
// valid JSON is returned unchanged.
func compactJSON(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}
