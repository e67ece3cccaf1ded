package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// convergenceTarget is the time within which a change must be in force on all nodes.
const convergenceTarget = 14 * time.Second

// TestChangeWhileThePublisherGoesSilent covers the slowest loss: the silence has
// to be detected, the lease has to expire, and members have to find the new
// root. It guards against a node without a parent that tries to join the silent
// root a second time, as once happened with seed 8.
func TestChangeWhileThePublisherGoesSilent(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(12) {
		took, ok := runLoss(seed, isPublisher, true)
		is.True(ok)                        // in force within lossLimit
		is.True(took <= convergenceTarget) // in force within the target
	}
}
