package proxy

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

// pacer limits the rate of large responses to what the host's network link
// carries (a token bucket). This keeps the link's queue short, so that a short
// response does not wait behind large ones. A nil pacer sets no limit.
type pacer struct{ bucket *rate.Limiter }

// newPacer returns a pacer for a rate, nil if the rate is zero (unknown).
func newPacer(bytesPerSecond float64) *pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &pacer{bucket: rate.NewLimiter(rate.Limit(bytesPerSecond), copyBufBytes)}
}

// wait returns when n bytes, at most copyBufBytes, may be sent.
func (p *pacer) wait(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	if err := p.bucket.WaitN(ctx, n); err != nil {
		return fmt.Errorf("wait for the link: %w", err)
	}
	return nil
}
