package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/platform"
	"github.com/agatekeel/agatekeel/proxy"
	"github.com/agatekeel/agatekeel/settings"
)

// Module puts a node together from settings.Settings.
var Module = fx.Module("node",
	fx.Provide(
		newLogger, newStore, newProber, newCoreConfig, newListeners, newProxy, newRegistry,
		func() Clock { return SystemClock{} },
		New,
		fx.Annotate(func(n *Node) *Node { return n }, fx.As(new(proxy.Decider))),
	),
	fx.Invoke(run),
)

func newLogger(s settings.Settings) (*eventlog.Logger, error) {
	cfg := eventlog.Config{Format: s.Log.Format, Level: s.Log.Level, Node: s.Node}
	if cfg.Format == "" {
		cfg.Format = "json"
	}
	if cfg.Level == "" {
		cfg.Level = "info"
	}
	return eventlog.New(cfg)
}

func newStore(s settings.Settings) (platform.Store, error) { return platform.NewClient(s.Platform) }

func newRegistry() metrics.Registry { return metrics.NewRegistry() }

func newProxy(s settings.Settings, d proxy.Decider, r metrics.Registry) *proxy.Proxy {
	return proxy.New(proxy.Config{Backend: s.Backend.Address, Connections: s.Backend.Connections}, d, r)
}

// Listeners holds the open listeners of a node.
type Listeners struct{ Callers, Hop, Peer, Admin net.Listener }

func newListeners(lc fx.Lifecycle, s settings.Settings) (*Listeners, error) {
	l := &Listeners{}
	if s.Listen.Admin == "" {
		s.Listen.Admin = settings.DefaultAdmin
	}
	for _, one := range []struct {
		field, address string
		into           *net.Listener
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
		*one.into = ln
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

// probeTimeout bounds one probe of the own backend server.
const probeTimeout = time.Second

type httpProber struct {
	client *http.Client
	url    string
}

func newProber(s settings.Settings) Prober {
	path := s.Backend.HealthPath
	if path == "" {
		path = "/healthz"
	}
	return &httpProber{client: &http.Client{Timeout: probeTimeout}, url: "http://" + s.Backend.Address + path}
}

// Probe implements Prober.
func (p *httpProber) Probe(ctx context.Context) (ok, refused bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return false, false
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, false
}

type runParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Node      *Node
	Config    core.Config
	Listeners *Listeners
	Proxy     *proxy.Proxy
	Registry  metrics.Registry
}

// run starts the listeners and the node, and stops them in reverse.
func run(p runParams) {
	transport := peer.NewTransport(peer.Config{}, p.Node)
	servers := []*http.Server{
		proxy.NewServer(p.Proxy.Callers()), proxy.NewServer(p.Proxy.Hops()),
		{Handler: admin(p.Node, p.Registry), ReadHeaderTimeout: 10 * time.Second},
	}
	listeners := []net.Listener{p.Listeners.Callers, p.Listeners.Hop, p.Listeners.Admin}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for i, s := range servers {
				go func() { _ = s.Serve(listeners[i]) }()
			}
			go func() { _ = transport.Serve(p.Listeners.Peer) }()
			p.Node.Start(transport, p.Config.TickEvery)
			return nil
		},
		OnStop: func(context.Context) error {
			for _, s := range servers {
				_ = s.Close()
			}
			p.Node.Stop()
			transport.Stop()
			p.Proxy.Close()
			return nil
		},
	})
}
