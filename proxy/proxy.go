// Package proxy carries callers' requests: from a caller to the entry node,
// from there to the node beside a backend server, and from there to the
// backend server. Every decision is the reducer's; this package moves bytes
// and says what is certain about each attempt.
package proxy

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/h1"
)

// Decider takes events into the reducer and hands out the effects that belong
// to one call or one attempt.
type Decider interface {
	Step(core.Event)
	// MayRepeat reports whether a request may run more than once.
	MayRepeat(method, host, path string) bool
	// OpenCall steps a call in and returns where its effects arrive until
	// CloseCall.
	OpenCall(core.CallArrived) <-chan core.Effect
	CloseCall(core.CallID)
	// OpenAttempt steps an attempt at the own backend server in and returns
	// where its effects arrive until DropAttempt or EndAttempt. It reports
	// false, and steps nothing in, when the attempt is open already.
	OpenAttempt(core.AttemptArrived) (<-chan core.Effect, bool)
	// DropAttempt closes an attempt that was refused.
	DropAttempt(core.AttemptID)
	// EndAttempt closes an attempt that ran, and steps its end in.
	EndAttempt(core.AttemptDone)
	// AttemptOpen reports whether an attempt is open.
	AttemptOpen(core.AttemptID) bool
	// CancelAttempt steps an event in and reports whether the attempt was
	// refused, so that it has not run and never will.
	CancelAttempt(core.AttemptCancelled) bool
	// Waiting returns the number of attempts that wait for a slot.
	Waiting() int
}

// Config holds the settings of a Proxy. Zero fields are filled in by New.
type Config struct {
	Backend        string        // address of the own backend server
	Connections    int           // to it, at most; zero: no limit
	MaxBodyBytes   int64         // of a request
	MaxDepth       int           // calls that backend servers of the mesh make for one another
	SilenceAfter   time.Duration // without an answer, the receiving node is asked about the attempt
	ReadAheadBytes int64         // of large answers that are held until the network takes them
	LinkBytes      float64       // of large answers that the host's network link carries in a second; zero: not known

	Service string // of the own backend server, told where Names.Service says
	Names   Names

	// HopDial opens connections to other nodes; nil: TCP in the clear.
	HopDial DialFunc
}

// DialFunc opens a connection.
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
	if c.SilenceAfter == 0 {
		c.SilenceAfter = DefaultSilenceAfter
	}
	return c
}

// Proxy serves callers and other nodes.
type Proxy struct {
	cfg        Config
	core       Decider
	lastCall   atomic.Uint64
	backend    *http.Transport
	idleLostAt atomic.Int64 // when a kept connection to it broke without an answer, in Unix nanoseconds
	hop        *http.Transport
	query      *http.Transport // asks other nodes about attempts, on connections of its own
	calls      metrics.Timer
	refused    metrics.Counter
	maxBody    atomic.Int64 // bytes of a caller's request
	readAhead  readAhead
	pacer      *pacer
	injected   injectedFaults
}

// injectedFaults are faults that tests put in to see their checks fail.
type injectedFaults struct {
	reportsUnknownAsNotRun bool // an unknown outcome is told as not-run
	hidesTruncation        bool // a cut answer ends as if it were whole
	ignoresAttemptIDs      bool // attempt IDs are not compared
	transportReplays       bool // the transport may repeat requests by itself
	skipsResponseCheck     bool // an answer need not be that of its attempt
	neverQueries           bool // nodes are not asked about attempts of unknown outcome
	trustsIdleConns        bool // a broken connection says nothing of others
	resendsUnknown         bool // an attempt of unknown outcome is sent once more
}

// New returns a Proxy that asks d and counts in r.
func New(cfg Config, d Decider, r metrics.Registry) *Proxy {
	cfg = cfg.withDefaults()
	p := &Proxy{
		cfg: cfg, core: d,
		backend: newTransport(dialTCP, cfg.Connections),
		hop:     newTransport(cfg.HopDial, 0),
		query:   newTransport(cfg.HopDial, 0),
		calls:   metrics.GetOrRegisterTimer("proxy.calls", r),
		refused: metrics.GetOrRegisterCounter("proxy.refused", r),
	}
	p.maxBody.Store(cfg.MaxBodyBytes)
	p.readAhead.limit = cfg.ReadAheadBytes
	p.pacer = newPacer(cfg.LinkBytes)
	return p
}

// SetCallerLimits bounds what callers may send, and how long they may take, from now on.
// A field of zero leaves the limit of Config.
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

// Close closes idle connections.
func (p *Proxy) Close() {
	for _, t := range []*http.Transport{p.backend, p.hop, p.query} {
		t.CloseIdleConnections()
	}
}

// CallerHandler serves the listener for callers.
func (p *Proxy) CallerHandler() http.Handler { return engine(p.serveCaller) }

// HopHandler serves the listener for other nodes.
func (p *Proxy) HopHandler() http.Handler { return engine(p.serveHop) }

// engine lets gin serve every path by one handler. WriteHeaderNow keeps gin
// from adding a page of its own to an answer 404 without a body.
func engine(h func(http.ResponseWriter, *http.Request)) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.NoRoute(func(c *gin.Context) {
		h(c.Writer, c.Request)
		c.Writer.WriteHeaderNow()
	})
	return e
}

// CallerServer returns the server for callers, with its limits set. fault is
// told of what goes wrong in it.
func (p *Proxy) CallerServer(onError func(error)) *h1.Server {
	return newServer(p.CallerHandler(), maxHeaderBytes, onError)
}

// HopServer returns the server for other nodes, with its limits set. What a
// caller may send fits, with the headers that nodes add.
func (p *Proxy) HopServer(onError func(error)) *h1.Server {
	return newServer(p.HopHandler(), maxHopHeaderBytes, onError)
}

// Server is a server that StopServer ends.
type Server interface {
	Shutdown(context.Context) error
	Close() error
}

// StopServer ends a server. Answers under way are written first, for at most
// stopTimeout: a call has ended for the reducer before its last bytes are out.
func StopServer(s Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
	_ = s.Close()
}

func newServer(h http.Handler, headerBytes int, onError func(error)) *h1.Server {
	return h1.New(h1.Config{
		Limits:       h1.Limits{MaxHeaderBytes: headerBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout},
		WriteTimeout: maxTransfer, OnError: onError,
	}, h)
}
