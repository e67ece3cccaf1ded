package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSpareTokensLeaveNeeds guards against spare tokens that empty a pool, and against a pool below
// half of its size that gains tokens by being asked for spare ones.
func TestSpareTokensLeaveNeeds(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	limit := Limit{PerSecond: 10, Burst: 10}
	h := newHoldings(start, 1, start)
	h.advance(start)
	h.advance(start.Add(10 * time.Second))
	var p pool
	is.Equal(p.takeSpare(&h, limit, 100), 5)
	is.Equal(p.take(&h, limit, 2), 2)
	is.Equal(p.takeSpare(&h, limit, 100), 0)
	is.Equal(p.take(&h, limit, 100), 3) // what was left
	is.Equal(p.take(&h, limit, 1), 0)
}
