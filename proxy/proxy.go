// Package proxy forwards callers' requests: from the caller to the entry node,
// from there to the node beside a backend server, and from there to the backend
// server. The reducer makes every decision; this package moves the bytes and
// reports what is known for certain about each attempt.
package proxy

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/h1"
)

// Dispatcher passes events to the reducer and delivers the effects that belong
// to one call or one attempt.
type Dispatcher interface {
	// Step passes an event to the reducer.
	Step(core.Event)
	// IsIdempotent reports whether a request may run more than once.
	IsIdempotent(method, host, path string) bool
	// OpenCall passes a new call to the reducer and returns the channel on
	// which its effects arrive until CloseCall.
	OpenCall(core.CallArrived) <-chan core.Effect
	// CloseCall ends the delivery of effects of a call.
	CloseCall(core.CallID)
	// OpenAttempt passes an attempt at this node's backend server to the
	// reducer and returns the channel on which its effects arrive until
	// DropAttempt or EndAttempt. If the attempt is already open, it returns
	// false and passes nothing on.
	OpenAttempt(core.AttemptArrived) (<-chan core.Effect, bool)
	// DropAttempt closes an attempt that was refused.
	DropAttempt(core.AttemptID)
	// EndAttempt closes an attempt that ran and passes its end to the reducer.
	EndAttempt(core.AttemptDone)
	// AttemptOpen reports whether an attempt is open.
	AttemptOpen(core.AttemptID) bool
	// CancelAttempt passes the event to the reducer and reports whether the
	// attempt was refused, so that it has not run and never will.
	CancelAttempt(core.AttemptCancelled) bool
	// Waiting returns the number of attempts that wait for a slot.
	Waiting() int
}

// Config holds the settings of a Proxy. Zero fields are filled in by New.
type Config struct {
	Backend        string        // address of this node's backend server
	Connections    int           // maximum number of connections to Backend; zero: no limit
	MaxBodyBytes   int64         // maximum size of a request body
	MaxDepth       int           // maximum length of a chain of calls that backend servers make to one another through the mesh
	SilenceAfter   time.Duration // time without a response after which the receiving node is asked about the attempt
	ReadAheadBytes int64         // memory for bodies: large responses that are read before the network takes them, and those that are read whole before they are relayed
	RequestBytes   int64         // memory for requests that are handled, their bodies not among it; zero: no bound
	MaxRequests    int           // maximum number of callers' requests that are handled at a time; zero: no bound
	MaxConnections int           // maximum number of connections of callers; zero: no bound
	MaxHopConns    int           // maximum number of connections of other nodes; zero: no bound
	MaxIdle        int           // maximum number of idle connections to other nodes; zero: 1024
	LinkBytes      float64       // bytes per second that the host's network link carries; zero: unknown

	Service string // service of this node's backend server, sent in the header Names.Service
	Names   Names

	// HopDial opens connections to other nodes; nil: TCP without TLS.
	HopDial DialFunc
}

type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (c Config) withDefaults() Config {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.HopDial == nil {
		c.HopDial = dialTCP
	}
	if c.Names == (Names{}) {
		c.Names = DefaultNames
	}
	if c.MaxDepth == 0 {
		c.MaxDepth = DefaultMaxDepth
	}
	if c.ReadAheadBytes == 0 {
		c.ReadAheadBytes = DefaultReadAheadBytes
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = maxIdle
	}
	if c.SilenceAfter == 0 {
		c.SilenceAfter = DefaultSilenceAfter
	}
	return c
}

// Proxy serves callers and other nodes.
type Proxy struct {
	cfg        Config
	core       Dispatcher
	lastCall   atomic.Uint64
	backend    *http.Transport
	idleLostAt atomic.Int64    // Unix time in nanoseconds at which an idle connection to backend last broke without a response
	unshared   *http.Transport // to backend, for requests whose ID is in refusedIDs: each has a connection of its own
	refusedIDs *refusedIDs
	hop        *http.Transport
	query      *http.Transport // asks other nodes about attempts, over separate connections
	calls      metrics.Timer
	refused    metrics.Counter
	evicted    metrics.Counter
	maxBody    atomic.Int64 // maximum size in bytes of a caller's request body
	bodies     bodyMemory
	room       requestRoom
	slots      requestSlots
	readAhead  readAhead
	link       *link
	notices    notices
	sent       sentCounters
	injected   injectedFaults
	sameHost   func(local, remote net.Addr) bool // tells callers on this host from those on others
	ending     context.Context                   // done once calls must not wait for responses any more
	endCalls   context.CancelFunc
}

// injectedFaults are faults that tests switch on to show that their checks
// detect them.
type injectedFaults struct {
	reportsUnknownAsNotRun bool // an unknown outcome is reported as not-run
	hidesTruncation        bool // a truncated response ends as if it were complete
	ignoresAttemptIDs      bool // attempts with the same ID are not recognised
	transportReplays       bool // http.Transport may repeat requests by itself
	skipsResponseCheck     bool // a response is not checked to belong to its attempt
	neverQueries           bool // nodes are not asked about attempts of unknown outcome
	trustsIdleConns        bool // after an idle connection breaks, the others are still used
	resendsUnknown         bool // a request is sent again after an attempt of unknown outcome
}

// New returns a Proxy that passes events to d and registers its metrics in r.
func New(cfg Config, d Dispatcher, r metrics.Registry) *Proxy {
	cfg = cfg.withDefaults()
	p := &Proxy{
		cfg: cfg, core: d, link: newLink(cfg.LinkBytes), sent: newSentCounters(r),
		backend: newTransport(dialTCP, cfg.Connections), unshared: newTransport(dialTCP, cfg.Connections), refusedIDs: newRefusedIDs(),
		calls:   metrics.GetOrRegisterTimer("proxy.calls", r),
		refused: metrics.GetOrRegisterCounter("proxy.refused", r), sameHost: sameHost,
	}
	p.unshared.DisableKeepAlives = true
	p.ending, p.endCalls = context.WithCancel(context.Background())
	hopDial := counting(cfg.HopDial, p.recordSent)
	p.hop, p.query = newTransport(hopDial, 0), newTransport(hopDial, 0)
	p.hop.MaxIdleConns, p.query.MaxIdleConns = cfg.MaxIdle, cfg.MaxIdle
	p.maxBody.Store(cfg.MaxBodyBytes)
	p.bodies.limit, p.readAhead.memory = cfg.ReadAheadBytes, &p.bodies
	p.evicted = metrics.GetOrRegisterCounter("proxy.evicted", r)
	refused := metrics.GetOrRegisterCounter("proxy.overloaded", r)
	p.room.limit, p.room.refused = cfg.RequestBytes, refused
	p.slots.limit, p.slots.refused = int64(cfg.MaxRequests), refused
	return p
}

// SetCallerLimits sets the limits on the size and duration of callers' requests
// from now on. A zero field restores the limit of Config.
func (p *Proxy) SetCallerLimits(callers *h1.Server, l config.LimitsSpec) {
	p.maxBody.Store(p.cfg.MaxBodyBytes)
	if l.MaxBodyBytes > 0 {
		p.maxBody.Store(int64(l.MaxBodyBytes))
	}
	callers.SetLimits(h1.Limits{
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, maxHeaderBytes),
		HeaderTimeout:  cmp.Or(time.Duration(l.HeaderTimeoutMillis)*time.Millisecond, readHeaderTimeout),
		IdleTimeout:    cmp.Or(time.Duration(l.IdleTimeoutMillis)*time.Millisecond, serverIdleTimeout),
	})
}

// StopServers stops servers of this proxy together, as StopServer does. Calls that still
// wait for a response are answered before their connections are closed.
func (p *Proxy) StopServers(servers ...Server) {
	end := time.AfterFunc(endCallsAfter, p.endCalls)
	defer end.Stop()
	var stopping sync.WaitGroup
	for _, s := range servers {
		stopping.Go(func() { StopServer(s) })
	}
	stopping.Wait()
}

// Close closes idle connections.
func (p *Proxy) Close() {
	for _, t := range []*http.Transport{p.backend, p.hop, p.query} {
		t.CloseIdleConnections()
	}
}

// CallerHandler returns the handler of the listener for callers.
func (p *Proxy) CallerHandler() http.Handler { return engine(p.serveCaller) }

// HopHandler returns the handler of the listener for other nodes.
func (p *Proxy) HopHandler() http.Handler { return engine(p.serveHop) }

// engine returns a gin engine that serves every path with one handler.
// WriteHeaderNow keeps gin from adding its own page to a 404 response without a
// body.
func engine(h func(http.ResponseWriter, *http.Request)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.NoRoute(func(c *gin.Context) {
		h(c.Writer, c.Request)
		c.Writer.WriteHeaderNow()
	})
	return e
}

// CallerServer returns the server for callers with its limits set. Errors in
// the server are passed to onError.
func (p *Proxy) CallerServer(onError func(error)) *h1.Server {
	c := p.serverConfig(maxHeaderBytes, onError, p.recordSentToCaller)
	c.MaxConns, c.RefusalHeader = p.cfg.MaxConnections, callerRefusal
	c.ReserveRequest = func(n int, ahead bool) bool {
		if !p.slots.take(ahead) {
			return false
		}
		if !p.room.reserve(n, ahead) {
			p.slots.free()
			return false
		}
		return true
	}
	c.ReleaseRequest = func(n int) {
		p.room.release(n)
		p.slots.free()
	}
	return h1.New(c, p.CallerHandler())
}

// HopServer returns the server for other nodes with its limits set. Its header
// limit leaves room for the largest request of a caller and the headers that
// nodes add.
func (p *Proxy) HopServer(onError func(error)) *h1.Server {
	c := p.serverConfig(maxHopHeaderBytes, onError, p.recordSentToNode)
	c.MaxConns, c.RefusalHeader = p.cfg.MaxHopConns, hopRefusal
	c.ReserveRequest, c.ReleaseRequest = p.room.reserve, p.room.release
	return h1.New(c, p.HopHandler())
}

// Server is a server that StopServer can stop.
type Server interface {
	Shutdown(context.Context) error
	Close() error
}

// StopServer stops a server. Responses in progress are written first, for at
// most stopTimeout: for the reducer, a call ends before its last bytes are
// written.
func StopServer(s Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
	_ = s.Close()
}

func (p *Proxy) serverConfig(headerBytes int, onError func(error), onSent func(net.Conn, int)) h1.Config {
	return h1.Config{
		Limits:       h1.Limits{MaxHeaderBytes: headerBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout},
		WriteTimeout: maxTransfer, OnError: onError, OnSent: onSent,
		Reserve: func(n int) bool { return p.bodies.reserve(n, p.bodies.limit) }, Release: p.bodies.release,
		ReserveHead: p.room.reserveHead, ReleaseHead: p.room.release,
		RequestMemory: p.cfg.RequestBytes, OnEvicted: func(n int) { p.evicted.Inc(int64(n)) },
	}
}
