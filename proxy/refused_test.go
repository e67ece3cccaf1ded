package proxy

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestRefusedIDsAreForgottenEarly guards against IDs being dropped before as many others were
// refused, and against more of them being held.
func TestRefusedIDsAreForgottenEarly(t *testing.T) {
	is := is.New(t)
	r := newRefusedIDs()
	for i := range 3 * maxRefusedIDs {
		r.add(strconv.Itoa(i))
		r.add(strconv.Itoa(i)) // refused again
		if oldest := i - maxRefusedIDs + 1; oldest >= 0 {
			is.True(r.has(strconv.Itoa(oldest)))
			is.True(!r.has(strconv.Itoa(oldest - 1)))
		}
		is.True(len(r.held) <= maxRefusedIDs)
		is.True(len(r.ring) <= maxRefusedIDs)
	}
}
