// Package peer carries messages between nodes over gRPC: one stream of frames
// each way for each link, opened by the dialler.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
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
	maxQueuedMessages = 1024 // a link whose other end takes nothing for so long is closed

	// closeTimeout is how long a closed link may take to send what is queued. It
	// is well under the drain and the time after which a link counts as silent.
	closeTimeout = 300 * time.Millisecond
)

// Errors of this package.
var (
	// ErrFrame says that a frame or message is of an unknown type.
	ErrFrame = fmt.Errorf("unknown frame")
	// ErrClosed says that a link is closed.
	ErrClosed = fmt.Errorf("link is closed")
	// ErrBacklog says that the other end does not take messages fast enough.
	ErrBacklog = fmt.Errorf("link has a backlog of %d messages", maxQueuedMessages)
)

// Handler is told what happens on links. Its methods are called from the
// goroutine that reads the link, in the order of the messages.
type Handler interface {
	// Accepted is called once for each link that another node opened. The
	// handler's answer is what Received and Down are given as link.
	Accepted(l *Link) (link any)
	Received(link any, m message.Message)
	Down(link any, reason string)
}

// Link is one open link.
type Link struct {
	cancel   context.CancelFunc
	mu       sync.Mutex
	closed   bool
	closing  chan struct{} // closed once nothing more is queued
	compress bool
	queue    chan *pb.Frame
	remote   Identity // known from the first message on
}

// Remote returns what the link knows of its other end. It may be called by
// Handler.Received alone.
func (l *Link) Remote() Identity { return l.remote }

func newLink(cancel context.CancelFunc, compress bool) *Link {
	return &Link{cancel: cancel, compress: compress, queue: make(chan *pb.Frame, maxQueuedMessages), closing: make(chan struct{})}
}

// Send queues a message. It does not block: a full queue closes the link.
func (l *Link) Send(m message.Message) error {
	f, err := Encode(m)
	if err != nil {
		return err
	}
	if l.compress {
		if f, err = Compress(f); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	select {
	case l.queue <- f:
		return nil
	default:
		l.closed = true
		l.cancel()
		return ErrBacklog
	}
}

// Close ends the link after the messages still queued: the last of them may
// say why. An other end that takes none for closeWithin is not waited for.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.closing)
	time.AfterFunc(closeTimeout, l.cancel)
}

// abort ends the link at once, since its stream has failed.
func (l *Link) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.cancel()
}

// open reports whether the link is not closed.
func (l *Link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed
}

// stream is the part of both ends' gRPC streams that a link needs.
type stream interface {
	Context() context.Context
	Send(*pb.Frame) error
	Recv() (*pb.Frame, error)
}

// write sends queued frames until the stream ends or the link is closed; then
// it calls finish, which ends this side of the stream behind what was sent.
func (l *Link) write(s stream, finish func()) {
	for {
		select {
		case f := <-l.queue:
			if err := s.Send(f); err != nil {
				l.abort()
				return
			}
		case <-l.closing:
			l.flush(s)
			finish()
			return
		case <-s.Context().Done():
			return
		}
	}
}

// flush sends what was queued before the link was closed.
func (l *Link) flush(s stream) {
	for {
		select {
		case f := <-l.queue:
			if err := s.Send(f); err != nil {
				l.abort()
				return
			}
		default:
			return
		}
	}
}

// read hands every message to the handler until the stream ends, and returns
// why it ended.
func (l *Link) read(s stream, link any, h Handler) string {
	for first := true; ; first = false {
		f, err := s.Recv()
		if err != nil {
			return err.Error()
		}
		if !l.open() {
			continue // closed by the handler, which waits for nothing more
		}
		if first {
			l.remote = remoteIdentity(s.Context())
		}
		m, err := Decode(f)
		if err != nil {
			continue // from a newer node: what we don't know can't be meant for us
		}
		h.Received(link, m)
	}
}

// Transport opens and accepts links.
type Transport struct {
	pb.UnimplementedPeerServer
	handler  Handler
	server   *grpc.Server
	creds    credentials.TransportCredentials
	compress bool
	traffic  *traffic // nil: not counted
	wg       sync.WaitGroup
}

// Config holds the settings of a Transport.
type Config struct {
	// Server and Client secure links; nil: in the clear.
	Server, Client credentials.TransportCredentials
	// Compress makes large frames smaller at the cost of processor time.
	// Compressed frames are understood in any case.
	Compress bool
	// Metrics counts messages and bytes by type; nil: not counted.
	Metrics metrics.Registry
}

// NewTransport returns a Transport that tells h of its links.
func NewTransport(cfg Config, h Handler) *Transport {
	t := &Transport{handler: h, creds: cfg.Client, compress: cfg.Compress}
	if t.creds == nil {
		t.creds = insecure.NewCredentials()
	}
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxFrameBytes), grpc.WriteBufferSize(16 << 10), grpc.ReadBufferSize(16 << 10),
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

// Serve accepts links until Stop.
func (t *Transport) Serve(l net.Listener) error {
	if err := t.server.Serve(l); err != nil {
		return fmt.Errorf("peer listener %s: %w", l.Addr(), err)
	}
	return nil
}

// Stop closes all accepted links and waits for all to end.
func (t *Transport) Stop() {
	t.server.Stop()
	t.wg.Wait()
}

// Link implements the gRPC service: it lives as long as the link.
func (t *Transport) Link(s pb.Peer_LinkServer) error {
	closed, cancel := context.WithCancel(context.Background()) // the stream's own end comes by read, with its reason
	defer cancel()
	l := newLink(cancel, t.compress)
	link := t.handler.Accepted(l)
	go l.write(s, cancel)
	ended := make(chan string, 1)
	go func() { ended <- l.read(s, link, t.handler) }()
	// Returning ends the stream, which ends read and write.
	reason := "closed here"
	select {
	case reason = <-ended:
	case <-closed.Done():
	}
	l.abort()
	t.handler.Down(link, reason)
	return nil
}

// Dial opens a link to a node. It returns when the stream is open or failed;
// opened is called before the first message is read.
func (t *Transport) Dial(ctx context.Context, address string, opened func(*Link) (link any)) error {
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(t.creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFrameBytes)),
		grpc.WithWriteBufferSize(16 << 10), grpc.WithReadBufferSize(16 << 10),
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
		return fmt.Errorf("dial %s: %w", address, err)
	}
	l := newLink(cancel, t.compress)
	link := opened(l)
	t.wg.Add(1)
	go l.write(s, func() { _ = s.CloseSend() }) // fails only if the stream has ended
	go func() {
		defer t.wg.Done()
		reason := l.read(s, link, t.handler)
		l.abort()
		_ = conn.Close()
		t.handler.Down(link, reason)
	}()
	return nil
}
