package h1

import (
	"bufio"
	"bytes"
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

// reserveHead reads ahead to the end of a request's head and reserves what the request will occupy,
// before it is parsed. It returns ErrOverloaded if there is no room.
func (c *conn) reserveHead() (cost int, err error) {
	lines, size, err := c.scanHead()
	if err != nil {
		return 0, err
	}
	cost = requestBytes + lines*fieldBytes + size*headCopies
	most := c.server.cfg.RequestMemory / connShareDivisor
	if most > 0 && c.occupied.Load() > 0 && c.occupied.Load()+int64(cost) > most {
		return 0, ErrOverloaded
	}
	if !c.server.cfg.ReserveRequest(cost) {
		return 0, ErrOverloaded
	}
	c.occupied.Add(int64(cost))
	return cost, nil
}

func (c *conn) releaseHead(cost int) {
	c.occupied.Add(-int64(cost))
	c.server.cfg.ReleaseRequest(cost)
}

// scanHead returns the number of lines and of bytes of the next head, without consuming it.
func (c *conn) scanHead() (lines, size int, err error) {
	c.longHead = nil
	for n := 1; ; n = c.in.Buffered() + 1 {
		_, err := c.in.Peek(n)
		seen, _ := c.in.Peek(c.in.Buffered())
		if lines, size, ok := measureHead(seen); ok {
			return lines, size, nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			break
		}
		if err != nil {
			return 0, 0, err
		}
	}
	head, err := c.readHead()
	c.longHead = head
	if err != nil {
		return 0, 0, err
	}
	lines, size, _ = measureHead(head)
	c.unread(head)
	return lines, size, nil
}

// measureHead returns the number of lines and of bytes of the head that some bytes begin with, false
// if its end is missing.
func measureHead(b []byte) (lines, size int, ok bool) {
	for size < len(b) {
		i := bytes.IndexByte(b[size:], '\n')
		if i < 0 {
			return 0, 0, false
		}
		line := b[size : size+i]
		size += i + 1
		if len(bytes.TrimRight(line, "\r")) == 0 && lines > 0 {
			return lines, size, true
		}
		lines++
	}
	return 0, 0, false
}

// unread puts a head back in front of what is read next.
func (c *conn) unread(head []byte) {
	rest, _ := c.in.Peek(c.in.Buffered())
	read := len(head) + len(rest)
	c.ahead.buf = append(append(append(make([]byte, 0, read+len(c.ahead.buf)), head...), rest...), c.ahead.buf...)
	c.headerLimit.N += int64(read)
	c.in.Reset(c.headerLimit)
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
	head, _ := c.in.Peek(c.in.Buffered())
	if c.longHead != nil {
		head = c.longHead
	}
	var b strings.Builder
	_ = c.server.cfg.RefusalHeader(head).Write(&b) // a Builder returns no error
	return b.String()
}
