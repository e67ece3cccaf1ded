// Package build tells which build of the program runs.
package build

import (
	"runtime"
	"runtime/debug"
)

// Info names a build. Fields that the build does not tell are "unknown".
type Info struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// unknown stands for what a build does not tell.
const unknown = "unknown"

// Read returns the Info of the running binary.
func Read() Info {
	info := Info{Version: unknown, Revision: unknown, Go: runtime.Version()}
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	if b.Main.Version != "" {
		info.Version = b.Main.Version
	}
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			info.Revision = s.Value
		}
	}
	return info
}
