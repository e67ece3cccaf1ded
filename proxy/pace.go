package proxy

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

// pacer spreads large answers over time by what the host's link carries (a
// token bucket). What the link has queued then stays short, and a short answer
// does not wait behind large ones. The nil pacer holds nothing back.
type pacer struct{ bucket *rate.Limiter }

// newPacer returns the pacer for so many bytes a second; zero: not known.
func newPacer(bytesPerSecond float64) *pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &pacer{bucket: rate.NewLimiter(rate.Limit(bytesPerSecond), copyBufBytes)}
}

// wait returns when n bytes, at most copyBufBytes, may go out.
func (p *pacer) wait(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	if err := p.bucket.WaitN(ctx, n); err != nil {
		return fmt.Errorf("wait for the link: %w", err)
	}
	return nil
}
