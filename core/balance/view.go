package balance

import (
	"cmp"
	"slices"
	"time"
)

// View is a snapshot of a Balancer's state of one endpoint.
type View struct {
	ID              string    `json:"id"`
	InFlight        int       `json:"inFlight"`
	Queue           int       `json:"queue"`                 // queue length reported by its last answer
	RelativeLatency float64   `json:"pace"`                  // smoothed latency over its group's; zero: unknown
	ErrorShare      float64   `json:"erred"`                 // smoothed share of answers that were errors
	Failures        int       `json:"failures"`              // consecutive attempts without an answer
	EjectedUntil    time.Time `json:"ejectedUntil,omitzero"` // end of its exclusion, whether ejected or leaving; zero: in use
}

// Views returns a View of each endpoint, ordered by ID.
func (b *Balancer) Views() []View {
	out := make([]View, 0, len(b.endpoints))
	for id, e := range b.endpoints {
		out = append(out, View{ID: id, InFlight: e.inFlight, Queue: e.queue, RelativeLatency: e.relativeLatency, ErrorShare: e.errorShare, Failures: e.failures, EjectedUntil: e.excludedUntil})
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
