package main

import (
	"fmt"
	"os"

	"github.com/agatekeel/agatekeel/explain"
)

// explainCommand explains the outcome of one request.
type explainCommand struct {
	console
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"request ID"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"log file of a node"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var log explain.Log
	for _, name := range c.Args.Files {
		if err := readLog(&log, name); err != nil {
			return err
		}
	}
	trace, err := log.Trace(c.Args.ID)
	if err != nil {
		return err
	}
	return trace.Print(c.out, c.Args.ID)
}

func readLog(log *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := log.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
