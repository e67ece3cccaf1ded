// Package build reports the version and VCS revision of the running binary.
package build

import (
	"runtime"
	"runtime/debug"
)

// Info identifies a build. Fields that the build information lacks are "unknown".
type Info struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// unknown replaces values that the build information lacks.
const unknown = "unknown"

// Read returns the Info of the running binary, from its embedded build information.
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
