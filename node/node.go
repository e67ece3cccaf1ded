// Package node runs one core.State: it passes requests, messages, results and
// ticks to it as events and executes the effects. Its parts are assembled with
// fx.
package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/notice"
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
	// Probe asks the health endpoint at a path, or for an empty one that of the settings.
	Probe(ctx context.Context, path string) core.BackendProbed
}

// errEnding is the error of what a node that has been stopped can no longer answer.
var errEnding = fmt.Errorf("the node's process ends")

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
	reports      map[core.ReportID]chan core.AnswerReport
	lastReport   core.ReportID
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
		reports:  map[core.ReportID]chan core.AnswerReport{},
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

// Report passes a report of the backend server to the reducer and waits for its answer, which
// comes within a second. It returns ctx's error if that ends first, and an error if the
// node does.
func (n *Node) Report(ctx context.Context, e core.BackendReported) (core.AnswerReport, error) {
	return n.stepAnswered(ctx, func(id core.ReportID) core.Event {
		e.Report = id
		return e
	})
}

// Drain takes the backend server out of service for an operator. Its answer and its errors are
// those of Report.
func (n *Node) Drain(ctx context.Context) (core.AnswerReport, error) {
	return n.stepAnswered(ctx, func(id core.ReportID) core.Event { return core.BackendDraining{Report: id} })
}

// CancelDrain takes back what Drain did. Its answer and its errors are those of Report.
func (n *Node) CancelDrain(ctx context.Context) (core.AnswerReport, error) {
	return n.stepAnswered(ctx, func(id core.ReportID) core.Event { return core.BackendDrainCancelled{Report: id} })
}

// stepAnswered passes an event with a ReportID to the reducer and waits for its answer.
func (n *Node) stepAnswered(ctx context.Context, event func(core.ReportID) core.Event) (core.AnswerReport, error) {
	answer := make(chan core.AnswerReport, 1)
	n.mu.Lock()
	n.lastReport++
	id := n.lastReport
	n.reports[id] = answer
	n.step(event(id))
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.reports, id)
	}()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return core.AnswerReport{}, ctx.Err()
	case <-n.ctx.Done():
		return core.AnswerReport{}, errEnding
	}
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

// Stopping reports whether the process is about to end.
func (n *Node) Stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Stopping()
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
		n.run(func() { n.Step(n.prober.Probe(n.ctx, e.Path)) })
	case core.AnswerReport:
		if ch, ok := n.reports[e.Report]; ok {
			delete(n.reports, e.Report)
			ch <- e
		}
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
