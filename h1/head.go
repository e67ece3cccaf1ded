package h1

import (
	"errors"
	"strings"
	"time"
)

// What a request occupies while it is handled, in bytes: the runtime holds much more of a short
// header line than its bytes.
const (
	// requestBytes is for the goroutines and buffers of a request, here and on the way to the next hop.
	requestBytes = 16 << 10
	// fieldBytes is for a header line: its name and value, the slices that hold them, and the entries
	// of the maps of the request and of its copy for the next hop.
	fieldBytes = 512
	// headCopies is the number of copies of the bytes of a head.
	headCopies = 4
)

// LargeRequestBytes is the cost from which a request is a large one, which may not take the room that
// is left for others.
const LargeRequestBytes = 64 << 10

// connShareDivisor is the divisor of Config.RequestMemory that gives what the requests of one
// connection may occupy.
const connShareDivisor = 8

// reserveHead waits for the next head and reserves what its request will occupy, before it is parsed.
// It returns ErrOverloaded if there is no room.
func (c *conn) reserveHead() (head []byte, cost int, err error) {
	head, lines, err := c.in.awaitHead(c.server.limits.Load().MaxHeaderBytes)
	if err != nil {
		return nil, 0, err
	}
	cost = requestBytes + lines*fieldBytes + len(head)*headCopies
	most := c.server.cfg.RequestMemory / connShareDivisor
	if most > 0 && c.occupied.Load() > 0 && c.occupied.Load()+int64(cost) > most {
		return nil, 0, ErrOverloaded
	}
	if !c.server.cfg.ReserveRequest(cost) {
		return nil, 0, ErrOverloaded
	}
	c.occupied.Add(int64(cost))
	return head, cost, nil
}

func (c *conn) releaseHead(cost int) {
	c.occupied.Add(-int64(cost))
	c.server.cfg.ReleaseRequest(cost)
}

// leastIdle is the time without progress after which a connection is closed for a new one.
const leastIdle = 200 * time.Millisecond

// makeRoom closes the connection that has made no progress for longest, if there are too many, and
// reports whether there is room for another one. A client that reads nothing of its answers makes none.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConns <= 0 || len(s.conns) < s.cfg.MaxConns {
		return true
	}
	var oldest *conn
	for c := range s.conns {
		if oldest == nil || c.progressAt.Load() < oldest.progressAt.Load() {
			oldest = c
		}
	}
	if oldest == nil || time.Since(time.Unix(0, oldest.progressAt.Load())) < leastIdle {
		return false
	}
	delete(s.conns, oldest)
	oldest.abort()
	return true
}

// progress records that a request was read, or that a part of a response was sent.
func (c *conn) progress() { c.progressAt.Store(time.Now().UnixNano()) }

// refusalFields returns the header lines of a refusal for lack of room.
func (c *conn) refusalFields(reason error) string {
	if !errors.Is(reason, ErrOverloaded) {
		return ""
	}
	var b strings.Builder
	_ = c.server.cfg.RefusalHeader(c.in.pending()).Write(&b) // a Builder returns no error
	return b.String()
}
