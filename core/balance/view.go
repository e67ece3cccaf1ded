package balance

import (
	"cmp"
	"slices"
	"time"
)

// View is what a Balancer knows of one endpoint.
type View struct {
	ID              string    `json:"id"`
	InFlight        int       `json:"inFlight"`
	Queue           int       `json:"queue"`    // waiting there, as its last answer told
	RelativeLatency float64   `json:"pace"`     // time of an answer over its group's; zero: not known
	ErrorShare      float64   `json:"erred"`    // share of answers that were failures
	Failures        int       `json:"failures"` // in a row
	EjectedUntil    time.Time `json:"ejectedUntil,omitzero"`
}

// Views returns what is known of each endpoint, in order of ID.
func (b *Balancer) Views() []View {
	out := make([]View, 0, len(b.peers))
	for id, p := range b.peers {
		out = append(out, View{ID: id, InFlight: p.inFlight, Queue: p.queue, RelativeLatency: p.relativeLatency, ErrorShare: p.errorShare, Failures: p.failures, EjectedUntil: p.excludedUntil})
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
