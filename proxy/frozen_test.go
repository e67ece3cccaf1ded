package proxy_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFrozenNodeDelaysAnswer guards against callers that wait for long beyond the time-out of their
// route for an answer, since the node beside the backend server is frozen and is asked what became
// of the request.
func TestFrozenNodeDelaysAnswer(t *testing.T) {
	const (
		callers = 9
		timeout = 200 * time.Millisecond // of the route
		late    = 500 * time.Millisecond // after it: at most half of the requests may be without an answer
	)
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	release := m.nodes[1].hopListener.blockWrites()
	defer release()
	took := make([]time.Duration, callers)
	var waiting sync.WaitGroup
	for i := range took {
		waiting.Go(func() {
			began := time.Now()
			resp, _, err := m.do(0, http.MethodPost, "/brief", "")
			took[i] = time.Since(began)
			if err != nil || resp.StatusCode != http.StatusBadGateway { // nobody knows whether it ran
				t.Errorf("answer %v, error %v", resp, err)
			}
		})
	}
	waiting.Wait()
	slices.Sort(took)
	t.Logf("answers after %v to %v, %v for the middle one", took[0], took[callers-1], took[callers/2])
	is.True(took[callers/2] < timeout+late)
}
