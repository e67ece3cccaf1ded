package peer

import (
	"context"
	"sync"
	"time"

	"github.com/agatekeel/agatekeel/core/message"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// Link is an open link to another node.
type Link struct {
	cancel  context.CancelFunc // ends the stream
	mu      sync.Mutex         // guards closed and is held while a message is queued
	closed  bool
	closing chan struct{} // closed by Close; no message is queued after that
	packer  *packer
	queue   chan *queued
	remote  Identity // set when the first message is received
}

// Remote returns the Identity of the other end. It may only be called within
// Handler.Received.
func (l *Link) Remote() Identity { return l.remote }

func newLink(cancel context.CancelFunc, p *packer) *Link {
	return &Link{cancel: cancel, packer: p, queue: make(chan *queued, maxQueuedMessages), closing: make(chan struct{})}
}

// Send queues a message, which must not be modified from then on. It neither blocks
// nor encodes, since its caller holds up the node's requests: if the queue is full,
// the link is closed. A message that can't be encoded is not sent.
func (l *Link) Send(m message.Message) error {
	q := l.packer.pack(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	select {
	case l.queue <- q:
		return nil
	default:
		l.closed = true
		l.cancel()
		return ErrBacklog
	}
}

// Close closes the link after sending the messages still queued, the last of
// which may give the reason. If the other end does not read them within
// closeTimeout, the stream is cancelled.
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

// abort closes the link at once after its stream has failed.
func (l *Link) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.cancel()
}

// open reports whether the link is open.
func (l *Link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed
}

// stream is the part of the client's and the server's gRPC stream that a link
// uses.
type stream interface {
	Context() context.Context
	Send(*pb.Frame) error
	Recv() (*pb.Frame, error)
}

// write encodes and sends queued messages until the stream ends or the link is closed. In the
// latter case it then calls finish, which ends this side of the stream.
func (l *Link) write(s stream, finish func()) {
	for {
		select {
		case q := <-l.queue:
			if !l.sendQueued(s, q) {
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

// sendQueued sends one message and reports whether the stream still works. If not, the
// link is closed.
func (l *Link) sendQueued(s stream, q *queued) bool {
	f, err := q.frame()
	if err != nil {
		return true
	}
	if err := s.Send(f); err != nil {
		l.abort()
		return false
	}
	return true
}

// flush sends the messages queued before the link was closed.
func (l *Link) flush(s stream) {
	for {
		select {
		case q := <-l.queue:
			if !l.sendQueued(s, q) {
				return
			}
		default:
			return
		}
	}
}

// read passes every message to the handler until the stream ends, and returns
// the reason for its end.
func (l *Link) read(s stream, link any, h Handler) string {
	for first := true; ; first = false {
		f, err := s.Recv()
		if err != nil {
			return err.Error()
		}
		if !l.open() {
			continue // the handler has closed the link and expects no more messages
		}
		if first {
			l.remote = remoteIdentity(s.Context())
		}
		m, err := Decode(f)
		if err != nil {
			continue // sent by a newer node: a message of unknown type is not meant for this version
		}
		h.Received(link, m)
	}
}
