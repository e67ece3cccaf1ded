package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/proxy"
	"github.com/agatekeel/agatekeel/security"
	"github.com/agatekeel/agatekeel/settings"
	"github.com/agatekeel/agatekeel/store"
)

// Standalone provides what a platform adapter would otherwise provide to Module: a
// store.Client as the store, and the default header names.
var Standalone = fx.Module("standalone", fx.Provide(newStore, func() proxy.Names { return proxy.DefaultNames }))

// Module builds and runs a node. It requires settings.Settings, a store.Store and
// proxy.Names to be provided.
var Module = fx.Module("node",
	fx.Provide(
		newLogger, newProber, newCoreConfig, newListeners, newProxy, newRegistry, newCredentials,
		newTransport,
		func() Clock { return SystemClock{} },
		func(cfg core.Config, clock Clock, s store.Store, r metrics.Registry, p Prober, log *eventlog.Logger) *Node {
			return New(cfg, clock, newMeteredStore(s, r), p, log)
		},
		fx.Annotate(func(n *Node) *Node { return n }, fx.As(new(proxy.Dispatcher))),
	),
	fx.Invoke(run),
)

func newLogger(s settings.Settings) (*eventlog.Logger, error) {
	cfg := eventlog.Config{Format: s.Log.Format, Level: s.Log.Level, Node: s.Node}
	if s.Log.Output == "stdout" {
		cfg.Output = os.Stdout
	}
	return eventlog.New(cfg)
}

func newStore(s settings.Settings) (store.Store, error) {
	client, err := store.NewClient(s.Platform)
	if err != nil {
		return nil, fmt.Errorf("settings: platform: %w", err)
	}
	return client, nil
}

func newRegistry() metrics.Registry { return metrics.NewRegistry() }

func newProxy(s settings.Settings, names proxy.Names, d proxy.Dispatcher, r metrics.Registry, c *security.Credentials) *proxy.Proxy {
	cfg := ProxyConfig(s)
	cfg.Names = names
	if c != nil {
		cfg.HopDial = hopDialer(c).DialContext
	}
	return proxy.New(cfg, d, r)
}

// slowLinkMbps is the rate of a host's network link, in Mbit/s, below which the
// compression of a large message takes less time than it saves, with a sixth of a core.
const slowLinkMbps = 150

// compressesLinks reports whether large messages between nodes are compressed.
func compressesLinks(s settings.Settings) bool {
	return s.Distribution.Favour == string(core.FavourBytes) || s.LinkMbps > 0 && s.LinkMbps < slowLinkMbps
}

func newTransport(n *Node, s settings.Settings, r metrics.Registry, c *security.Credentials, log *eventlog.Logger) *peer.Transport {
	cfg := peer.Config{Metrics: r, Compress: compressesLinks(s)}
	if c != nil {
		cfg.Server, cfg.Client = peer.NewCredentials(c, func(address string, reason error) {
			logPeerRefused(log, address, reason.Error())
		})
	}
	return peer.NewTransport(cfg, n)
}

// Listeners holds the open listeners of a node.
type Listeners struct{ Callers, Hop, Peer, Admin net.Listener }

func newListeners(lc fx.Lifecycle, s settings.Settings) (*Listeners, error) {
	l := &Listeners{}
	s.Listen.Admin = cmp.Or(s.Listen.Admin, settings.DefaultAdmin)
	for _, one := range []struct {
		field, address string
		target         *net.Listener
	}{
		{"listen.callers", s.Listen.Callers, &l.Callers},
		{"listen.hop", s.Listen.Hop, &l.Hop},
		{"listen.peer", s.Listen.Peer, &l.Peer},
		{"listen.admin", s.Listen.Admin, &l.Admin},
	} {
		ln, err := net.Listen("tcp", one.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("settings: %s: %w", one.field, err)
		}
		*one.target = ln
	}
	lc.Append(fx.StopHook(l.close))
	return l, nil
}

func (l *Listeners) close() {
	for _, ln := range []net.Listener{l.Callers, l.Hop, l.Peer, l.Admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// probeTimeout is the longest time for one probe of the node's backend server.
const probeTimeout = time.Second

type httpProber struct {
	client *http.Client
	base   string // URL without a path
	path   string // unless a probe names another one
	names  proxy.Names
}

func newProber(s settings.Settings, names proxy.Names) Prober {
	return &httpProber{
		client: &http.Client{Timeout: probeTimeout}, base: "http://" + s.Backend.Address,
		path: cmp.Or(s.Backend.HealthPath, "/healthz"), names: names,
	}
}

// Probe implements Prober.
func (p *httpProber) Probe(ctx context.Context, path string) core.BackendProbed {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+cmp.Or(path, p.path), nil)
	if err != nil {
		return core.BackendProbed{}
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return core.BackendProbed{Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	_ = resp.Body.Close()
	backend, leaving := p.names.HealthOf(resp.Header)
	return core.BackendProbed{OK: resp.StatusCode == http.StatusOK, Backend: backend, Leaving: leaving}
}

type runParams struct {
	fx.In
	Lifecycle   fx.Lifecycle
	Settings    settings.Settings
	Node        *Node
	Config      core.Config
	Listeners   *Listeners
	Transport   *peer.Transport
	Proxy       *proxy.Proxy
	Registry    metrics.Registry
	Credentials *security.Credentials
	Log         *eventlog.Logger
}

// server is one HTTP listener of a node.
type server struct {
	name     string
	listener net.Listener
	http     interface {
		proxy.Server
		Serve(net.Listener) error
	}
}

func (p runParams) servers() []server {
	hop := p.Listeners.Hop
	if p.Credentials != nil {
		hop = tls.NewListener(hop, p.Credentials.Server(alpnHTTP))
	}
	callers := p.Proxy.CallerServer(p.faultLogger("callers"))
	p.Node.OnLimits(func(l config.LimitsSpec) { p.Proxy.SetCallerLimits(callers, l) })
	go func() {
		select {
		case <-p.Node.Draining():
			callers.Drain()
		case <-p.Node.ctx.Done():
		}
	}()
	return []server{
		{"callers", p.Listeners.Callers, callers},
		{"hop", hop, p.Proxy.HopServer(p.faultLogger("hop"))},
		{"admin", p.Listeners.Admin, &http.Server{
			Handler: admin(p.Node, p.Registry), ReadHeaderTimeout: headerTimeout,
			ErrorLog: p.Log.Std(notice.ListenerFault, core.Attr{Key: "listener", Value: "admin"}),
		}},
	}
}

// faultLogger returns a function that logs the errors of a listener.
func (p runParams) faultLogger(listener string) func(error) {
	return func(err error) {
		p.Log.Write(notice.ListenerFault, core.Attr{Key: "listener", Value: listener}, core.Attr{Key: "detail", Value: err.Error()})
	}
}

// headerTimeout is the longest time for receiving the header of an admin request.
const headerTimeout = 10 * time.Second

// alpnHTTP is the ALPN protocol name of requests between nodes.
const alpnHTTP = "http/1.1"

// run registers hooks that start the listeners, the transport and the node, and
// that stop the listeners before the node, the transport and the proxy.
func run(p runParams) {
	p.Node.SetRegistry(p.Registry)
	if heap := newClientLimits(p.Settings).heapBytes; heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	servers := p.servers()
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, s := range servers {
				go func() { _ = s.http.Serve(s.listener) }()
			}
			go func() { _ = p.Transport.Serve(p.Listeners.Peer) }()
			p.Node.Start(p.Transport, p.Config.TickEvery)
			return nil
		},
		OnStop: func(context.Context) error {
			var stopping []proxy.Server
			for _, s := range servers {
				stopping = append(stopping, s.http)
			}
			p.Proxy.StopServers(stopping...)
			p.Node.Stop()
			p.Transport.Stop()
			p.Proxy.Close()
			return nil
		},
	})
}
