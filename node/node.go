// Package node runs one core.State: it passes requests, messages, results and
// ticks to it as events and executes the effects. Its parts are assembled with
// fx.
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

// Clock provides the time and periodic ticks.
type Clock interface {
	Now() time.Time
	// Tick returns a channel that receives every d until stop is called.
	Tick(d time.Duration) (ticks <-chan time.Time, stop func())
}

// SystemClock is a Clock that uses the system's time.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Tick implements Clock.
func (SystemClock) Tick(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Prober checks the health of the node's backend server.
type Prober interface {
	// Probe reports whether the backend server is healthy and, if not, whether it
	// refused the connection.
	Probe(ctx context.Context) (ok, refused bool)
}

// Links opens links to other nodes.
type Links interface {
	Dial(ctx context.Context, address string, opened func(*peer.Link) any) error
}

// effectBacklog is the buffer size for the effects of one call or attempt that its
// goroutine has not received yet; the reducer emits at most two between events.
const effectBacklog = 8

// Node runs one core.State.
type Node struct {
	clock  Clock
	store  store.Store
	prober Prober
	log    *eventlog.Logger
	links  Links

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	drained  chan struct{} // closed once the node has drained
	draining chan struct{} // closed once the node has begun to drain
	waiting  atomic.Int64  // attempts that wait for a slot of the node's backend server

	mu           sync.Mutex // guards the fields below
	state        *core.State
	openLinks    map[core.LinkID]*peer.Link
	lastAccepted core.LinkID // odd; core gives even IDs to the links that it dials
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
		drained: make(chan struct{}), draining: make(chan struct{}), state: core.New(cfg),
		openLinks: map[core.LinkID]*peer.Link{}, lastAccepted: 1,
		calls: map[core.CallID]chan core.Effect{}, attempts: map[core.AttemptID]chan core.Effect{},
		observer: newObserver(metrics.NewRegistry(), log, clock), onLimits: func(config.LimitsSpec) {},
	}
}

// OnLimits sets the function that is called when the limits for callers change.
// It must be called before Start; f must not block.
func (n *Node) OnLimits(f func(config.LimitsSpec)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLimits = f
}

// Start starts the node. links opens links to other nodes.
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

// Draining returns a channel that is closed when the node begins to drain, after
// a core.Stop.
func (n *Node) Draining() <-chan struct{} { return n.draining }

// Drained returns a channel that is closed when the node has drained after a
// core.Stop.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Stop cancels the node's operations, closes its links and waits for its
// goroutines.
func (n *Node) Stop() {
	n.cancel()
	n.mu.Lock()
	for _, l := range n.openLinks {
		l.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Step passes an event to the reducer and executes the effects. It does not block
// on I/O, so it may be called from any goroutine. The lock is held while effects
// are executed, which preserves their order.
func (n *Node) Step(e core.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(e)
}

// step returns the effects that it executed; they are valid until the next step.
// The caller must hold mu.
func (n *Node) step(e core.Event) []core.Effect {
	n.observer.event(e)
	effects := n.state.Reduce(n.clock.Now(), e)
	for _, effect := range effects {
		n.observer.effect(effect)
		n.execute(effect)
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

func (n *Node) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.Forward:
		n.deliverToCall(e.Call, e)
	case core.Finish:
		n.deliverToCall(e.Call, e)
	case core.ReleaseAnswer:
		n.deliverToCall(e.Call, e)
	case core.Run:
		n.deliverToAttempt(e.Attempt, e)
	case core.Refuse:
		n.deliverToAttempt(e.Attempt, e)
	case core.Send:
		if l, ok := n.openLinks[e.Link]; ok {
			_ = l.Send(e.Message) // if the link has failed, Down is called
		}
	case core.CloseLink:
		if l, ok := n.openLinks[e.Link]; ok {
			delete(n.openLinks, e.Link)
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
		close(n.draining)
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

func (n *Node) deliverToCall(id core.CallID, e core.Effect) {
	if ch, ok := n.calls[id]; ok {
		ch <- e
	}
}

func (n *Node) deliverToAttempt(id core.AttemptID, e core.Effect) {
	if ch, ok := n.attempts[id]; ok {
		ch <- e
	}
}

// IsIdempotent implements proxy.Dispatcher.
func (n *Node) IsIdempotent(method, host, path string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.IsIdempotent(method, host, path)
}

// OpenCall implements proxy.Dispatcher.
func (n *Node) OpenCall(e core.CallArrived) <-chan core.Effect {
	ch := make(chan core.Effect, effectBacklog)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[e.Call] = ch
	n.step(e)
	return ch
}

// CloseCall implements proxy.Dispatcher.
func (n *Node) CloseCall(id core.CallID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, id)
	n.observer.callClosed(id)
}

// OpenAttempt implements proxy.Dispatcher.
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

// DropAttempt implements proxy.Dispatcher.
func (n *Node) DropAttempt(id core.AttemptID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, id)
}

// EndAttempt implements proxy.Dispatcher.
func (n *Node) EndAttempt(e core.AttemptDone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, e.Attempt)
	n.step(e)
}

// AttemptOpen implements proxy.Dispatcher.
func (n *Node) AttemptOpen(id core.AttemptID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, open := n.attempts[id]
	return open
}

// CancelAttempt implements proxy.Dispatcher.
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

// Waiting implements proxy.Dispatcher.
func (n *Node) Waiting() int { return int(n.waiting.Load()) }

func (n *Node) probe() {
	ok, refused := n.prober.Probe(n.ctx)
	n.Step(core.BackendProbed{OK: ok, Refused: refused})
}

func (n *Node) dial(e core.Dial) {
	err := n.links.Dial(n.ctx, e.Address, func(l *peer.Link) any {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.openLinks[e.Link] = l
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
	n.openLinks[n.lastAccepted] = l
	n.step(core.LinkUp{Link: n.lastAccepted})
	return n.lastAccepted
}

// Received implements peer.Handler.
func (n *Node) Received(link any, m message.Message) {
	if n.rejectMisnamed(link.(core.LinkID), m) {
		return
	}
	n.Step(core.LinkMessage{Link: link.(core.LinkID), Message: m})
}

// Down implements peer.Handler.
func (n *Node) Down(link any, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openLinks, link.(core.LinkID))
	n.step(core.LinkDown{Link: link.(core.LinkID), Reason: reason})
}
