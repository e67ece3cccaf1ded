// Package peer sends messages between nodes over gRPC. Each link is a
// bidirectional stream of frames opened by the dialler.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/agatekeel/agatekeel/core/message"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// Limits of a link.
const (
	maxFrameBytes     = 64 << 20
	maxQueuedMessages = 1024 // a link whose send queue is full is closed
	bufferBytes       = 16 << 10

	// closeTimeout is the time that a closed link has to send its queue. It is
	// well below the duration of a drain and the time after which a link counts
	// as silent.
	closeTimeout = 300 * time.Millisecond
)

// Errors of this package.
var (
	// ErrFrame reports that a frame is invalid or that a frame or message is of
	// an unknown type.
	ErrFrame = fmt.Errorf("unknown frame")
	// ErrRefused reports that an address refused a connection: no process listens there.
	ErrRefused = fmt.Errorf("connection refused")
	// ErrClosed reports that a link is closed.
	ErrClosed = fmt.Errorf("link is closed")
	// ErrBacklog reports that the other end does not read messages fast enough.
	ErrBacklog = fmt.Errorf("link has a backlog of %d messages", maxQueuedMessages)
)

// Handler receives the events of links. For each link, its methods are called
// by the goroutine that reads it, in the order of the messages.
type Handler interface {
	// Accepted is called once for each link that another node opened. The value
	// it returns is passed to Received and Down as link.
	Accepted(l *Link) (link any)
	// Received is called for each message.
	Received(link any, m message.Message)
	// Down is called once, when the link has ended.
	Down(link any, reason string)
}

// Transport opens and accepts links.
type Transport struct {
	pb.UnimplementedPeerServer
	handler Handler
	server  *grpc.Server
	creds   credentials.TransportCredentials
	packer  *packer
	traffic *traffic // nil: not counted
	wg      sync.WaitGroup
}

// Config holds the settings of a Transport.
type Config struct {
	// Server and Client secure accepted and dialled links; nil: no TLS.
	Server, Client credentials.TransportCredentials
	// Compress enables the compression of large frames, which costs CPU time.
	// Compressed frames are decoded regardless of this setting.
	Compress bool
	// Metrics is the registry for the number of messages and bytes by type;
	// nil: they are not counted.
	Metrics metrics.Registry
}

// NewTransport returns a Transport that reports the events of its links to h.
func NewTransport(cfg Config, h Handler) *Transport {
	t := &Transport{handler: h, creds: cfg.Client, packer: newPacker(cfg.Compress)}
	if t.creds == nil {
		t.creds = insecure.NewCredentials()
	}
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxFrameBytes), grpc.WriteBufferSize(bufferBytes), grpc.ReadBufferSize(bufferBytes),
	}
	if cfg.Server != nil {
		opts = append(opts, grpc.Creds(cfg.Server))
	}
	if cfg.Metrics != nil {
		t.traffic = newTraffic(cfg.Metrics)
		opts = append(opts, grpc.StatsHandler(t.traffic))
	}
	t.server = grpc.NewServer(opts...)
	pb.RegisterPeerServer(t.server, t)
	return t
}

// Serve accepts links until Stop is called.
func (t *Transport) Serve(l net.Listener) error {
	if err := t.server.Serve(l); err != nil {
		return fmt.Errorf("peer listener %s: %w", l.Addr(), err)
	}
	return nil
}

// Stop closes all accepted links and waits for all links to end.
func (t *Transport) Stop() {
	t.server.Stop()
	t.wg.Wait()
}

// Link implements the gRPC service. It returns when the link ends.
func (t *Transport) Link(s pb.Peer_LinkServer) error {
	closed, cancel := context.WithCancel(context.Background()) // cancelled only when the link is closed; read reports the end of the stream
	defer cancel()
	l := newLink(cancel, t.packer)
	link := t.handler.Accepted(l)
	go l.write(s, cancel)
	ended := make(chan string, 1)
	go func() { ended <- l.read(s, link, t.handler) }()
	// Returning ends the stream, and with it read and write.
	reason := "closed here"
	select {
	case reason = <-ended:
	case <-closed.Done():
	}
	l.abort()
	t.handler.Down(link, reason)
	return nil
}

// dialTCP opens a connection, and notes in refused whether the address refused it: gRPC
// passes the text of an error on, not the error.
func dialTCP(refused *atomic.Bool) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		return conn, nil
	}
}

// Dial opens a link to a node. It returns once the stream is open or has
// failed. opened is called before the first message is read; the value it
// returns is passed to the Handler as link.
func (t *Transport) Dial(ctx context.Context, address string, opened func(*Link) (link any)) error {
	var refused atomic.Bool
	opts := []grpc.DialOption{
		grpc.WithContextDialer(dialTCP(&refused)),
		grpc.WithTransportCredentials(t.creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFrameBytes)),
		grpc.WithWriteBufferSize(bufferBytes), grpc.WithReadBufferSize(bufferBytes),
	}
	if t.traffic != nil {
		opts = append(opts, grpc.WithStatsHandler(t.traffic))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return fmt.Errorf("dial %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s, err := pb.NewPeerClient(conn).Link(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		if refused.Load() {
			return fmt.Errorf("dial %s: %w: %w", address, ErrRefused, err)
		}
		return fmt.Errorf("dial %s: %w", address, err)
	}
	l := newLink(cancel, t.packer)
	link := opened(l)
	t.wg.Add(1)
	go l.write(s, func() { _ = s.CloseSend() }) // CloseSend fails only if the stream has ended
	go func() {
		defer t.wg.Done()
		reason := l.read(s, link, t.handler)
		l.abort()
		_ = conn.Close()
		t.handler.Down(link, reason)
	}()
	return nil
}
