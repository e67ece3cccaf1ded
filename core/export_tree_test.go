package core

import "github.com/agatekeel/agatekeel/core/config"

// Break is a deliberate fault in the code under test, used to show that a check
// detects it.
type Break string

// The deliberate faults.
const (
	BreakNone         Break = ""
	BreakVersionGuard Break = "version guard off"
	BreakDigest       Break = "digest off"
	BreakGrace        Break = "grace period off"
	BreakCycleCheck   Break = "cycle check off"
	BreakSuspicion    Break = "suspicion off"
	BreakWatchdog     Break = "watchdog off"
	BreakHalfSwap     Break = "set swapped without its compiled form"
)

// With returns the settings with a deliberate fault.
func (c Config) With(b Break) Config {
	c.treeFaults = treeFaults{
		anyVersion: b == BreakVersionGuard, noDigests: b == BreakDigest,
		noGrace: b == BreakGrace, noCycleCheck: b == BreakCycleCheck, noSuspicion: b == BreakSuspicion,
		noWatchdog: b == BreakWatchdog, swapUncompiled: b == BreakHalfSwap,
	}
	return c
}

// Break enables a deliberate fault in a running node.
func (s *State) Break(b Break) { s.cfg = s.cfg.With(b) }

// HeldSet returns the configuration in force.
func (s *State) HeldSet() *config.Set { return s.holder.set }

// TableDigest returns the digest of the endpoint table.
func (s *State) TableDigest() uint64 { return s.table.Digest() }

// RoutingVersion returns the version of the compiled configuration that routes
// requests.
func (s *State) RoutingVersion() uint64 { return s.holder.snapshot.Version }
