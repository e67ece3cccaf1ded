package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/security"
	"github.com/agatekeel/agatekeel/security/securitytest"
)

// recorder is a Handler that records the links, messages and ends of links that
// it is notified of.
type recorder struct {
	accepted chan *peer.Link
	received chan received
	down     chan string
}

// received is a message and its sender.
type received struct {
	message message.Message
	from    peer.Identity
}

func newRecorder() *recorder {
	return &recorder{accepted: make(chan *peer.Link, 8), received: make(chan received, 8), down: make(chan string, 8)}
}

func (r *recorder) Accepted(l *peer.Link) any {
	r.accepted <- l
	return l
}

func (r *recorder) Received(link any, m message.Message) {
	r.received <- received{m, link.(*peer.Link).Remote()}
}

func (r *recorder) Down(_ any, reason string) { r.down <- reason }

type ignoreCertificateEvents struct{}

func (ignoreCertificateEvents) CertificatesRead(string, time.Time) {}
func (ignoreCertificateEvents) CertificatesRefused(error)          {}

// transport returns a Transport with the certificate of a node.
func transport(t *testing.T, a *securitytest.Authority, node string, handler *recorder, refused chan string, registry metrics.Registry) *peer.Transport {
	t.Helper()
	c, err := security.Load(a.Write(t.TempDir(), node), ignoreCertificateEvents{})
	is.New(t).NoErr(err)
	cfg := peer.Config{Metrics: registry}
	cfg.Server, cfg.Client = peer.NewCredentials(c, func(_ string, reason error) {
		if refused != nil {
			refused <- reason.Error()
		}
	})
	tr := peer.NewTransport(cfg, handler)
	t.Cleanup(tr.Stop)
	return tr
}

// serve starts a server and returns its address.
func serve(t *testing.T, tr *peer.Transport) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = tr.Serve(l) }()
	return l.Addr().String()
}

func TestLinkIdentityComesFromCertificate(t *testing.T) {
	is := is.New(t)
	ca, acceptor, dialler, registry := securitytest.New(t, "ca"), newRecorder(), newRecorder(), metrics.NewRegistry()
	address := serve(t, transport(t, ca, "a", acceptor, nil, registry))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := transport(t, ca, "b", dialler, nil, nil)
	var link *peer.Link
	is.NoErr(client.Dial(ctx, address, func(l *peer.Link) any {
		link = l
		return l
	}))
	is.NoErr(link.Send(message.ConfigWanted{Have: 7}))
	got := <-acceptor.received
	is.Equal(got.message, message.ConfigWanted{Have: 7})
	is.Equal(got.from.Node, "b")
	is.NoErr((<-acceptor.accepted).Send(message.ConfigWanted{Have: 8}))
	is.Equal((<-dialler.received).from.Node, "a")
	cancel()
	<-acceptor.down

	is.Equal(registry.Get("peer.in.config_wanted.messages").(metrics.Counter).Count(), int64(1))
	is.Equal(registry.Get("peer.out.config_wanted.messages").(metrics.Counter).Count(), int64(1))
	bytes := registry.Get("peer.in.config_wanted.bytes").(metrics.Counter).Count()
	is.True(bytes > 5 && bytes < 20) // the gRPC header and a few bytes
}

func TestDiallerWithoutValidCertificateIsRefused(t *testing.T) {
	ca, other := securitytest.New(t, "ca"), securitytest.New(t, "other")
	server, refused := newRecorder(), make(chan string, 8)
	address := serve(t, transport(t, ca, "a", server, refused, nil))
	dialled := func(*peer.Link) any { return nil }
	tests := []struct {
		name   string
		client *peer.Transport
	}{
		{"certificate of another CA", transport(t, other, "b", newRecorder(), nil, nil)},
		{"without TLS", peer.NewTransport(peer.Config{}, newRecorder())},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(tt.client.Dial(context.Background(), address, dialled) != nil) // no link is opened
			is.True(<-refused != "")                                               // the server reports the reason
			is.Equal(len(server.accepted), 0)
		})
	}
}

func TestDiallerReportsServerWithoutValidCertificate(t *testing.T) {
	is := is.New(t)
	plain := peer.NewTransport(peer.Config{}, newRecorder())
	t.Cleanup(plain.Stop)
	refused := make(chan string, 8)
	client := transport(t, securitytest.New(t, "ca"), "a", newRecorder(), refused, nil)
	is.True(client.Dial(context.Background(), serve(t, plain), func(*peer.Link) any { return nil }) != nil)
	is.True(<-refused != "") // the dialler reports the reason
}
