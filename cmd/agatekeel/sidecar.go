package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/platform"
)

// sidecarCommand runs one node on the users' platform.
type sidecarCommand struct {
	console
	Check bool `long:"check-settings" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before the settings are read, since they may change at once
	defer signal.Stop(reload)
	s, err := platform.Load()
	if err != nil {
		return err
	}
	if c.Check {
		c.printf("%s: no faults\n", os.Getenv(platform.SettingsVariable))
		return nil
	}
	return runNode(func() (runningNode, error) {
		running, err := startNodeWith(s.Node, platform.Module(s))
		if err != nil {
			return running, err
		}
		go func() {
			for range reload {
				reportChangedSettings(s, running.log)
			}
		}()
		return running, nil
	})
}

// reportChangedSettings reads the settings file again and logs its faults, or the
// names of the settings that have changed. Addresses and sizes of a process are
// fixed while it runs, so no change takes effect before the next start.
func reportChangedSettings(current platform.Settings, log *eventlog.Logger) {
	s, err := platform.Load()
	if err != nil {
		log.Write(notice.SettingsRefused, core.Attr{Key: "reason", Value: err.Error()})
		return
	}
	log.Write(notice.SettingsRead, core.Attr{Key: "changed", Value: platform.ChangedSettings(current, s)})
}
