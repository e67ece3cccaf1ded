// Package status defines the status of submissions that operators read, and aggregates
// the reports of applied versions on which it is based.
package status

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
)

// Phase is the progress of a submission.
type Phase string

// The phases of a submission.
const (
	Pending  Phase = "Pending"  // not processed yet
	Rejected Phase = "Rejected" // refused as a whole; nothing was changed
	Accepted Phase = "Accepted" // published, but not yet applied by every live node
	InForce  Phase = "InForce"  // applied by every live node
)

// Status is the status of one submission.
type Status struct {
	ID       string            `json:"id"`
	Phase    Phase             `json:"phase"`
	Version  uint64            `json:"version,omitempty"`
	Faults   []config.Fault    `json:"faults,omitempty"`
	Nodes    int               `json:"nodes,omitempty"`   // live nodes counted
	Applied  int               `json:"applied,omitempty"` // those of them that have applied the version
	Laggards []message.Laggard `json:"laggards,omitempty"`
	Settled  time.Time         `json:"settled,omitzero"` // when the submission was published or rejected, by the publisher's clock
}

// Aggregate merges a node's own report with those of its children: the smallest applied
// version, the total number of nodes and the laggards, at most message.MaxLaggards.
func Aggregate(own message.Report, children []message.Report) message.Report {
	sum := own
	sum.Laggards = append([]message.Laggard(nil), own.Laggards...)
	for _, r := range children {
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
