package proxy

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/uplink"
)

const testLinkBytes = 1.25e6 // bytes per second

// TestConcurrentTransfersShareTheLink sends large responses from several goroutines
// and checks that together they take as long as the link needs.
func TestConcurrentTransfersShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const transfers, pieces = 4, 100
		l := newLink(testLinkBytes)
		began := time.Now()
		var wg sync.WaitGroup
		for range transfers {
			wg.Go(func() {
				transfer := l.begin(t.Context())
				defer l.end(transfer)
				for i := range pieces {
					if err := l.wait(t.Context(), transfer, uplink.PieceBytes, int64(pieces-i)*uplink.PieceBytes); err != nil {
						t.Error(err)
					}
					l.recordSent(uplink.PieceBytes)
				}
			})
		}
		wg.Wait()
		took := time.Since(began).Seconds()
		want := float64(transfers*pieces*uplink.PieceBytes) / testLinkBytes
		is.True(0.98*want < took && took < 1.02*want)
		is.Equal(l.load().Backlog, int64(0))
	})
}

// TestWaitEndsWithItsContext checks that a response that is given up leaves the link
// to others.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLink(testLinkBytes)
		l.recordSent(testLinkBytes)
		first := l.begin(t.Context())
		is.NoErr(l.wait(t.Context(), first, uplink.PieceBytes, uplink.PieceBytes))
		l.recordSent(uplink.PieceBytes) // the next piece has to wait until a tenth of the link has carried this one, 131 ms
		l.end(first)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		given := l.begin(t.Context())
		is.True(l.wait(ctx, given, uplink.PieceBytes, 1<<20) != nil)
		l.end(given)
		began := time.Now()
		transfer := l.begin(t.Context())
		is.NoErr(l.wait(t.Context(), transfer, uplink.PieceBytes, uplink.PieceBytes))
		is.True(time.Since(began) <= time.Second)
	})
}

// TestUnknownLinkHoldsUpNothing checks that nothing waits if the rate is not known.
func TestUnknownLinkHoldsUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLink(0)
		transfer := l.begin(t.Context())
		began := time.Now()
		for range 1000 {
			is.NoErr(l.wait(t.Context(), transfer, uplink.PieceBytes, 1<<30))
			l.recordSent(uplink.PieceBytes)
		}
		is.Equal(time.Since(began), time.Duration(0))
	})
}
