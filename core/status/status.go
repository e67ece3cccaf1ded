// Package status defines what operators read about their submissions, and the
// count of applied versions that it rests on.
package status

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
)

// Phase is how far a submission has come.
type Phase string

// The phases of a submission.
const (
	Pending  Phase = "Pending"  // not looked at yet
	Rejected Phase = "Rejected" // refused whole; nothing changed
	Accepted Phase = "Accepted" // published, not yet applied by every live node
	InForce  Phase = "InForce"  // applied by every live node
)

// Status is written for each submission.
type Status struct {
	ID       string            `json:"id"`
	Phase    Phase             `json:"phase"`
	Version  uint64            `json:"version,omitempty"`
	Faults   []config.Fault    `json:"faults,omitempty"`
	Nodes    int               `json:"nodes,omitempty"`   // live nodes counted
	Applied  int               `json:"applied,omitempty"` // of them, with the version
	Laggards []message.Laggard `json:"laggards,omitempty"`
	Settled  time.Time         `json:"settled,omitzero"` // by the publisher's clock
}

// Aggregate adds reports up: the smallest applied version, the number of nodes
// and a bounded list of laggards.
func Aggregate(own message.Report, below []message.Report) message.Report {
	sum := own
	sum.Laggards = append([]message.Laggard(nil), own.Laggards...)
	for _, r := range below {
		sum.Applied = min(sum.Applied, r.Applied)
		sum.Nodes += r.Nodes
		for _, l := range r.Laggards {
			if len(sum.Laggards) < message.MaxLaggards {
				sum.Laggards = append(sum.Laggards, l)
			}
		}
	}
	return sum
}
