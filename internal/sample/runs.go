package sample

import (
	"net/http"
	"sync"
	"time"
)

// Run is one execution of a request by a backend server.
type Run struct {
	BackendServer string
	Method        string
	URI           string
	Host          string
	Header        http.Header
	BodyChecksum  uint32    // CRC-32 of the request's body
	At            time.Time // when the run began
}

// maxRecordedIDs limits the number of request IDs that are recorded; runs of
// further IDs are not.
const maxRecordedIDs = 1 << 16

// Runs records the runs of requests, by the ID that the caller gave in HeaderID.
type Runs struct {
	mu   sync.Mutex
	byID map[string][]Run
}

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{byID: map[string][]Run{}} }

func (r *Runs) add(id string, run Run) {
	if id == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[id]; known || len(r.byID) < maxRecordedIDs {
		r.byID[id] = append(r.byID[id], run)
	}
}

// ForID returns the runs of the request with an ID.
func (r *Runs) ForID(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.byID[id]...)
}
