package h1

import (
	"errors"
	"io"
	"strings"
)

// What a request occupies while it is handled, in bytes: the runtime holds much more of a short
// header line than its bytes.
const (
	// requestBytes is for the goroutines and buffers of a request, here and on the way to the next hop.
	requestBytes = 32 << 10
	// fieldBytes is for a header line: its name and value, the slices that hold them, and the entries
	// of the maps of the request and of its copy for the next hop.
	fieldBytes = 512
	// headCopies is the number of copies of the bytes of a head.
	headCopies = 4
)

// LargeRequestBytes is the cost from which a request is a large one, which may not take the room that
// is left for others.
const LargeRequestBytes = requestBytes + 48<<10

// connShareDivisor is the divisor of Config.RequestMemory that gives what the requests of one
// connection may occupy.
const connShareDivisor = 8

// reserveHead waits for the next head and reserves what its request will occupy, before it is parsed.
// A request ahead waits for those in front of it if there is no room for one. It returns ErrOverloaded
// if there is no room for a request that has none in front.
func (c *conn) reserveHead() (head []byte, cost int, err error) {
	head, lines, err := c.in.awaitHead(c.server.limits.Load().MaxHeaderBytes)
	if err != nil {
		return nil, 0, err
	}
	size := len(head)
	cost = requestBytes + lines*fieldBytes + size*headCopies
	reserved := false
	if !c.awaitFree(func() bool {
		ahead := c.pending.Load() > 0
		reserved = c.reserve(cost, ahead)
		return reserved || !ahead
	}) {
		return nil, 0, io.EOF
	}
	if !reserved {
		return nil, 0, ErrOverloaded
	}
	c.occupied.Add(int64(cost))
	return c.in.pending()[:size], cost, nil // what was read meanwhile may have moved it
}

// reserve reports whether there is room for a request, and takes it.
func (c *conn) reserve(cost int, ahead bool) bool {
	most := c.server.cfg.RequestMemory / connShareDivisor
	if ahead && most > 0 && c.occupied.Load()+int64(cost) > most {
		return false
	}
	return c.server.cfg.ReserveRequest(cost, ahead)
}

func (c *conn) reserveInput(n int) bool {
	if !c.server.cfg.ReserveHead(n) {
		return false
	}
	c.occupied.Add(int64(n))
	return true
}

func (c *conn) releaseInput(n int) {
	c.occupied.Add(-int64(n))
	c.server.cfg.ReleaseHead(n)
}

func (c *conn) releaseHead(cost int) {
	c.occupied.Add(-int64(cost))
	c.server.cfg.ReleaseRequest(cost)
}

// refusalFields returns the header lines of a refusal for lack of room.
func (c *conn) refusalFields(reason error) string {
	if !errors.Is(reason, ErrOverloaded) {
		return ""
	}
	var b strings.Builder
	_ = c.server.cfg.RefusalHeader(c.in.pending()).Write(&b) // a Builder returns no error
	return b.String()
}
