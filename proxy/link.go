package proxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// link schedules large responses on the host's network link.
type link struct {
	mu        sync.Mutex // guards the fields below
	scheduler *uplink.Scheduler
	granted   map[*uplink.Transfer]chan struct{} // of transfers that wait
	timer     *time.Timer                        // calls dispatch when the credit is back
}

// newLink returns a link that carries the given number of bytes per second; zero if
// that is unknown, in which case nothing waits.
func newLink(bytesPerSecond float64) *link {
	l := &link{scheduler: uplink.NewScheduler(bytesPerSecond), granted: map[*uplink.Transfer]chan struct{}{}}
	l.timer = time.AfterFunc(time.Hour, l.dispatch)
	l.timer.Stop()
	return l
}

// recordSent records that n bytes were sent.
func (l *link) recordSent(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Sent(time.Now(), n)
}

// load returns the state of the link for another large response.
func (l *link) load() uplink.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Load(time.Now())
}

// ask returns the state of the link for a large response of n bytes that another node is
// asked for, and counts it from now on until it has come: asked(n) must follow.
func (l *link) ask(n int64) uplink.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.scheduler.RelayLoad(time.Now())
	l.scheduler.Expect(n)
	return load
}

// asked ends what ask began: the response is there, or will not come.
func (l *link) asked(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Came(n)
}

// begin adds a large response to a request with a context. end must follow.
func (l *link) begin(ctx context.Context) *uplink.Transfer {
	deadline, _ := ctx.Deadline()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Begin(time.Now(), deadline)
}

// end removes a large response that was sent or given up.
func (l *link) end(t *uplink.Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.End(t)
}

// wait returns when a piece of n bytes of a large response may be sent. left is how
// many bytes of it are not sent yet, these included. It fails if ctx ends before.
func (l *link) wait(ctx context.Context, t *uplink.Transfer, n int, left int64) error {
	granted := make(chan struct{})
	l.mu.Lock()
	l.scheduler.Want(t, n, left)
	l.granted[t] = granted
	l.dispatchLocked()
	l.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.scheduler.Want(t, 0, left)
		delete(l.granted, t)
		return fmt.Errorf("wait for the link: %w", ctx.Err())
	}
}

func (l *link) dispatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatchLocked()
}

// dispatchLocked grants what can be granted now, and has the timer do the rest.
func (l *link) dispatchLocked() {
	for {
		t, wait := l.scheduler.Grant(time.Now())
		if t == nil {
			if wait > 0 {
				l.timer.Reset(wait)
			}
			return
		}
		close(l.granted[t])
		delete(l.granted, t)
	}
}
