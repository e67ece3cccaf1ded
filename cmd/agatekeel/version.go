package main

import "github.com/agatekeel/agatekeel/internal/build"

// versionCommand shows the version of this binary.
type versionCommand struct {
	console
	outputOption
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	info := build.Read()
	if c.wantsJSON() {
		return c.json(info)
	}
	c.printf("agatekeel %s %s %s\n", info.Version, info.Revision, info.Go)
	return nil
}
