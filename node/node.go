// Package node runs one core.State: it turns what happens outside into events
// and carries effects out. Its parts are put together with fx.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/internal/build"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/store"
)

// Clock tells the time and ticks.
type Clock interface {
	Now() time.Time
	// Tick returns a channel that receives every d until stop is called.
	Tick(d time.Duration) (ticks <-chan time.Time, stop func())
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Tick implements Clock.
func (SystemClock) Tick(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Prober asks the own backend server for its health.
type Prober interface {
	Probe(ctx context.Context) (ok, refused bool)
}

// Links opens links to other nodes.
type Links interface {
	Dial(ctx context.Context, address string, opened func(*peer.Link) any) error
}

// effectBacklog is the room for the effects of one call or attempt that its
// goroutine has not taken yet; the reducer emits at most two between events.
const effectBacklog = 8

// Node runs one State.
type Node struct {
	clock  Clock
	store  store.Store
	prober Prober
	log    *eventlog.Logger
	links  Links

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	drained chan struct{}
	leaving chan struct{} // closed once the node has begun to drain
	waiting atomic.Int64  // attempts at the own backend server without a slot

	mu           sync.Mutex // guards all below
	state        *core.State
	open         map[core.LinkID]*peer.Link
	lastAccepted core.LinkID
	calls        map[core.CallID]chan core.Effect
	attempts     map[core.AttemptID]chan core.Effect
	observer     *observer
	onLimits     func(config.LimitsSpec)
}

// New returns a Node that is not running yet.
func New(cfg core.Config, clock Clock, store store.Store, prober Prober, log *eventlog.Logger) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		clock: clock, store: store, prober: prober, log: log, ctx: ctx, cancel: cancel,
		drained: make(chan struct{}), leaving: make(chan struct{}), state: core.New(cfg),
		open: map[core.LinkID]*peer.Link{}, lastAccepted: 1,
		calls: map[core.CallID]chan core.Effect{}, attempts: map[core.AttemptID]chan core.Effect{},
		observer: newObserver(metrics.NewRegistry(), log, clock), onLimits: func(config.LimitsSpec) {},
	}
}

// WhenLimited lets f hear what callers are bound by. It is called before Start;
// f must not block.
func (n *Node) WhenLimited(f func(config.LimitsSpec)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLimits = f
}

// Start begins to run. links carries what the node says to others.
func (n *Node) Start(links Links, tickEvery time.Duration) {
	n.links = links
	info := build.Read()
	n.log.Write(notice.NodeStarted, core.Attr{Key: "version", Value: info.Version}, core.Attr{Key: "revision", Value: info.Revision})
	ticks, stop := n.clock.Tick(tickEvery)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer stop()
		for {
			n.Step(core.Tick{})
			select {
			case <-ticks:
			case <-n.ctx.Done():
				return
			}
		}
	}()
}

// Leaving is closed when the node begins to drain, after a core.Stop.
func (n *Node) Leaving() <-chan struct{} { return n.leaving }

// Drained is closed when the node has drained after a core.Stop.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Stop ends all that the node has under way.
func (n *Node) Stop() {
	n.cancel()
	n.mu.Lock()
	for _, l := range n.open {
		l.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Step takes an event into the reducer and carries the effects out. Nothing
// in it blocks, so it may be called from anywhere; holding the lock while the
// effects are handed over keeps them in the order in which they were decided.
func (n *Node) Step(e core.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(e)
}

// step returns the effects that it carried out, valid until the next step. The
// caller holds mu.
func (n *Node) step(e core.Event) []core.Effect {
	n.observer.event(e)
	effects := n.state.Reduce(n.clock.Now(), e)
	for _, effect := range effects {
		n.observer.effect(effect)
		n.carryOut(effect)
	}
	n.waiting.Store(int64(n.state.Waiting()))
	return effects
}

// Dump returns the state for display.
func (n *Node) Dump() core.Dump {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Dump()
}

// ConfigVersion returns the version in force on the node.
func (n *Node) ConfigVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.ConfigVersion()
}

// Ready reports whether the node may serve callers, and if not, why.
func (n *Node) Ready() (bool, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Ready()
}

func (n *Node) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.Forward:
		n.toCall(e.Call, e)
	case core.Finish:
		n.toCall(e.Call, e)
	case core.ReleaseAnswer:
		n.toCall(e.Call, e)
	case core.Run:
		n.toAttempt(e.Attempt, e)
	case core.Refuse:
		n.toAttempt(e.Attempt, e)
	case core.Send:
		if l, ok := n.open[e.Link]; ok {
			_ = l.Send(e.Message) // a failed link reports its end by Down
		}
	case core.CloseLink:
		if l, ok := n.open[e.Link]; ok {
			delete(n.open, e.Link)
			l.Close()
		}
	case core.Dial:
		n.run(func() { n.dial(e) })
	case core.ProbeBackend:
		n.run(n.probe)
	case core.Log:
		n.log.Write(e.Code, e.Attrs...)
	case core.LimitCallers:
		n.onLimits(e.Limits)
	case core.DrainStarted:
		close(n.leaving)
	case core.Drained:
		n.log.Write(notice.NodeDrained)
		close(n.drained)
	default:
		n.run(func() { n.callStore(effect) })
	}
}

func (n *Node) run(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) toCall(id core.CallID, e core.Effect) {
	if ch, ok := n.calls[id]; ok {
		ch <- e
	}
}

func (n *Node) toAttempt(id core.AttemptID, e core.Effect) {
	if ch, ok := n.attempts[id]; ok {
		ch <- e
	}
}

// IsIdempotent implements proxy.Decider.
func (n *Node) IsIdempotent(method, host, path string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.IsIdempotent(method, host, path)
}

// OpenCall implements proxy.Decider.
func (n *Node) OpenCall(e core.CallArrived) <-chan core.Effect {
	ch := make(chan core.Effect, effectBacklog)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[e.Call] = ch
	n.step(e)
	return ch
}

// CloseCall implements proxy.Decider.
func (n *Node) CloseCall(id core.CallID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, id)
	n.observer.left(id)
}

// OpenAttempt implements proxy.Decider.
func (n *Node) OpenAttempt(e core.AttemptArrived) (<-chan core.Effect, bool) {
	ch := make(chan core.Effect, effectBacklog)
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, open := n.attempts[e.Attempt]; open {
		return nil, false
	}
	n.attempts[e.Attempt] = ch
	n.step(e)
	return ch, true
}

// DropAttempt implements proxy.Decider.
func (n *Node) DropAttempt(id core.AttemptID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, id)
}

// EndAttempt implements proxy.Decider.
func (n *Node) EndAttempt(e core.AttemptDone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, e.Attempt)
	n.step(e)
}

// AttemptOpen implements proxy.Decider.
func (n *Node) AttemptOpen(id core.AttemptID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, open := n.attempts[id]
	return open
}

// CancelAttempt implements proxy.Decider.
func (n *Node) CancelAttempt(e core.AttemptCancelled) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, effect := range n.step(e) {
		if r, ok := effect.(core.Refuse); ok && r.Attempt == e.Attempt {
			return r.Outcome == retry.NotRun
		}
	}
	return false
}

// Waiting implements proxy.Decider.
func (n *Node) Waiting() int { return int(n.waiting.Load()) }

func (n *Node) probe() {
	ok, refused := n.prober.Probe(n.ctx)
	n.Step(core.BackendProbed{OK: ok, Refused: refused})
}

func (n *Node) dial(e core.Dial) {
	err := n.links.Dial(n.ctx, e.Address, func(l *peer.Link) any {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open[e.Link] = l
		n.step(core.LinkUp{Link: e.Link, Dialled: true})
		return e.Link
	})
	if err != nil {
		n.Step(core.LinkDown{Link: e.Link, Reason: err.Error()})
	}
}

// Accepted implements peer.Handler.
func (n *Node) Accepted(l *peer.Link) any {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastAccepted += 2
	n.open[n.lastAccepted] = l
	n.step(core.LinkUp{Link: n.lastAccepted})
	return n.lastAccepted
}

// Received implements peer.Handler.
func (n *Node) Received(link any, m message.Message) {
	if n.refused(link.(core.LinkID), m) {
		return
	}
	n.Step(core.LinkMessage{Link: link.(core.LinkID), Message: m})
}

// Down implements peer.Handler.
func (n *Node) Down(link any, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, link.(core.LinkID))
	n.step(core.LinkDown{Link: link.(core.LinkID), Reason: reason})
}
