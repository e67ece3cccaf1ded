package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/node"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/security"
	"github.com/agatekeel/agatekeel/security/securitytest"
	"github.com/agatekeel/agatekeel/settings"
)

// startTLSMesh starts two nodes with TLS, one for orders and one for scaler, and
// applies the sample objects.
func startTLSMesh(t *testing.T, ca *securitytest.Authority) (*mesh, []*sample.Backend) {
	t.Helper()
	is := is.New(t)
	m := &mesh{}
	t.Cleanup(m.close)
	is.NoErr(m.servePlatform("127.0.0.1:0"))
	var backends []*sample.Backend
	for _, service := range []string{"orders", "scaler"} {
		b, err := sample.Start(service, service)
		is.NoErr(err)
		backends = append(backends, b)
		m.closers = append(m.closers, b.Close)
		files := ca.Write(t.TempDir(), service)
		n, err := startNode(settings.Settings{
			Node: service, DataCentre: "derby", DataCentres: []string{"derby"}, Platform: m.platform,
			Listen:  settings.Listen{Callers: "127.0.0.1:0", Hop: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
			Backend: settings.Backend{Service: service, Address: b.Address(), Slots: 2},
			TLS:     settings.TLS{Certificate: files.Certificate, Key: files.Key, CA: files.CA},
			Log:     settings.Log{Level: "error"},
		})
		is.NoErr(err)
		m.nodes, m.listeners = append(m.nodes, n.node), append(m.listeners, n.listeners)
		m.closers = append(m.closers, func() { _ = n.stop() })
	}
	src, err := readObjects([]string{"../../examples/recipes"})
	is.NoErr(err)
	is.NoErr(applyObjects(m.platform, src, nil))
	awaitEndpoints(t, m, len(backends))
	return m, backends
}

// awaitEndpoints waits until all nodes know a number of endpoints: a configuration is in
// force as soon as the nodes that have joined run it.
func awaitEndpoints(t *testing.T, m *mesh, n int) {
	t.Helper()
	const limit = 20 * time.Second
	for begun := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if !slices.ContainsFunc(m.nodes, func(one *node.Node) bool { return len(one.Dump().Endpoints) < n }) {
			return
		}
		if time.Since(begun) > limit {
			t.Fatalf("not all nodes know %d endpoints after %v", n, limit)
		}
	}
}

func TestRequestsBetweenNodesOverTLS(t *testing.T) {
	is := is.New(t)
	m, backends := startTLSMesh(t, securitytest.New(t, "ca"))
	resp, err := http.Get("http://" + m.listeners[0].Callers.Addr().String() + "/scaler/recipes/1")
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(json.Valid(body))
	is.Equal(backends[1].RunCount(), int64(1)) // the request ran on the backend server of the other node

	// The hop listener refuses clients without a certificate.
	hop := m.listeners[1].Hop.Addr().String()
	resp, err = http.Get("http://" + hop + "/scaler/recipes/1")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusBadRequest) // the answer to plain HTTP
	clientWithoutCertificate := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	_, err = clientWithoutCertificate.Get("https://" + hop + "/scaler/recipes/1")
	is.True(err != nil)
	is.Equal(backends[1].RunCount(), int64(1))
}

// recordingPeer is the handler of one end of a link. It records what it receives and
// sends no messages by itself.
type recordingPeer struct {
	received chan message.Message
	down     chan string
}

func (p recordingPeer) Accepted(*peer.Link) any           { return nil }
func (p recordingPeer) Received(_ any, m message.Message) { p.received <- m }
func (p recordingPeer) Down(_ any, reason string)         { p.down <- reason }
func (recordingPeer) CertificatesRead(string, time.Time)  {}
func (recordingPeer) CertificatesRefused(error)           {}

func TestNodeWithWrongNameIsRefused(t *testing.T) {
	ca := securitytest.New(t, "ca")
	m, _ := startTLSMesh(t, ca)
	var root string // peer address of the node that is root and accepts children
	for i, n := range m.nodes {
		if n.Dump().Phase == "root" {
			root = m.listeners[i].Peer.Addr().String()
		}
	}
	for _, tt := range []struct {
		name    string
		refused bool
	}{{"print-room", false}, {"recipe-book", true}} {
		t.Run("calls itself "+tt.name, func(t *testing.T) {
			is := is.New(t)
			recorder := recordingPeer{received: make(chan message.Message, 64), down: make(chan string, 1)}
			c, err := security.Load(ca.Write(t.TempDir(), "print-room"), recorder)
			is.NoErr(err)
			cfg := peer.Config{}
			cfg.Server, cfg.Client = peer.NewCredentials(c, func(string, error) {})
			transport := peer.NewTransport(cfg, recorder)
			defer transport.Stop()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var link *peer.Link
			is.NoErr(transport.Dial(ctx, root, func(l *peer.Link) any {
				link = l
				return nil
			}))
			is.NoErr(link.Send(message.Hello{Node: tt.name, DataCentre: "derby", Peer: "127.0.0.1:1", Kind: message.Child}))
			select {
			case got := <-recorder.received:
				_, welcome := got.(message.Welcome)
				is.True(welcome && !tt.refused)
			case reason := <-recorder.down:
				is.True(tt.refused)
				is.True(!strings.Contains(reason, "certificate")) // the handshake succeeded; the name was refused
			}
		})
	}
}
