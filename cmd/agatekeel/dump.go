package main

import (
	"fmt"
	"io"
	"net/http"
)

// dumpCommand prints the state of a process.
type dumpCommand struct {
	console
	Admin  string `long:"admin" env:"AGATEKEEL_ADMIN" default:"127.0.0.1:8081" description:"admin address of the process"`
	Output string `short:"o" long:"output" choice:"json" default:"json" description:"output format"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	client := &http.Client{Timeout: readTimeout}
	resp, err := client.Get("http://" + c.Admin + "/debug/state")
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("dump: %s answered %s", c.Admin, resp.Status)
	}
	if _, err := io.Copy(c.out, resp.Body); err != nil {
		return fmt.Errorf("dump: read answer of %s: %w", c.Admin, err)
	}
	return nil
}
