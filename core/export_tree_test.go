package core

import (
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// TestFault is a deliberate fault in the code under test, used to show that a
// check detects it. Each one but NoFault sets the field of testFaults with the
// same name.
type TestFault string

// The deliberate faults.
const (
	NoFault        TestFault = ""
	AnyVersion     TestFault = "version guard off"
	NoDigests      TestFault = "digest off"
	NoGrace        TestFault = "grace period off"
	NoCycleCheck   TestFault = "cycle check off"
	NoSuspicion    TestFault = "suspicion off"
	NoWatchdog     TestFault = "watchdog off"
	SwapUncompiled TestFault = "set swapped without its compiled form"
	NoTakeover     TestFault = "lease of an ended holder left to expire"
)

// WithTestFault returns the settings with a deliberate fault.
func (c Config) WithTestFault(f TestFault) Config {
	c.treeFaults = treeFaults{
		anyVersion: f == AnyVersion, noDigests: f == NoDigests,
		noGrace: f == NoGrace, noCycleCheck: f == NoCycleCheck, noSuspicion: f == NoSuspicion,
		noWatchdog: f == NoWatchdog, swapUncompiled: f == SwapUncompiled, noTakeover: f == NoTakeover,
	}
	return c
}

// SetTestFault replaces the deliberate fault of a running node.
func (s *State) SetTestFault(f TestFault) { s.cfg = s.cfg.WithTestFault(f) }

// HeldSet returns the configuration in force.
func (s *State) HeldSet() *config.Set { return s.holder.set }

// TableDigest returns the digest of the endpoint table.
func (s *State) TableDigest() uint64 { return s.table.Digest() }

// RoutingVersion returns the version of the compiled configuration that routes
// requests.
func (s *State) RoutingVersion() uint64 { return s.holder.snapshot.Version }

// ReceiveForTest delivers entries as another node sends them.
func (s *State) ReceiveForTest(entries ...endpoint.Entry) { s.endpointsReceived(0, entries) }

// OwnEntryForTest returns the entry that the node announces.
func (s *State) OwnEntryForTest() endpoint.Entry { return s.backend.entry }
