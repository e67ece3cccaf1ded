package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/agatekeel/agatekeel/platform"
)

// sidecarCommand runs one node on the users' platform.
type sidecarCommand struct {
	console
	Check bool `long:"check-settings" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	s, err := platform.Load()
	if err != nil {
		return err
	}
	if c.Check {
		c.printf("%s: no faults\n", os.Getenv(platform.SettingsVariable))
		return nil
	}
	signal.Ignore(syscall.SIGHUP)
	running, err := start(s.Node, platform.Module(s))
	if err != nil {
		return err
	}
	return running.untilSignal()
}
