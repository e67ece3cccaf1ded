package h1

import (
	"errors"
	"io"
	"net"
	"time"
)

// aheadBytes is how much is read of a connection whose requests have to wait.
const aheadBytes = 16 << 10

// ahead is a reader of a connection that can be read ahead of its reader.
type ahead struct {
	src io.Reader
	buf []byte // read from src and not from this reader
}

// Read implements io.Reader.
func (a *ahead) Read(p []byte) (int, error) {
	if len(a.buf) == 0 {
		return a.src.Read(p)
	}
	n := copy(p, a.buf)
	a.buf = a.buf[n:]
	if len(a.buf) == 0 {
		a.buf = nil
	}
	return n, nil
}

// fetch reads the next bytes of src. full reports that there is no room for any.
func (a *ahead) fetch() (full bool, err error) {
	if len(a.buf) >= aheadBytes {
		return true, nil
	}
	buf := make([]byte, aheadBytes)
	n := copy(buf, a.buf)
	read, err := a.src.Read(buf[n:])
	if read > 0 {
		a.buf = buf[:n+read]
	}
	return false, err
}

// awaitSlot waits until another request may be handled. Meanwhile the connection is read, so that
// it is noticed when the client closes it: requests in front of this one may be at work for
// long. It returns false if the connection has ended.
func (c *conn) awaitSlot() bool {
	if c.takeSlot() {
		return true
	}
	if !c.aheadReserved && !c.server.cfg.Reserve(aheadBytes) {
		return c.awaitSlotBlind()
	}
	c.aheadReserved = true
	c.setWaiting(true)
	defer c.setWaiting(false)
	for {
		_ = c.net.SetReadDeadline(time.Time{})
		if c.takeSlot() {
			return true
		}
		full, err := c.ahead.fetch()
		var timeout net.Error
		switch {
		case full:
			return c.awaitSlotBlind()
		case err == nil, errors.As(err, &timeout) && timeout.Timeout(): // a slot may be free
		default:
			return false
		}
	}
}

func (c *conn) takeSlot() bool {
	select {
	case c.inFlight <- struct{}{}:
		return true
	default:
		return false
	}
}

// awaitSlotBlind waits without reading the connection.
func (c *conn) awaitSlotBlind() bool {
	select {
	case c.inFlight <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// setWaiting says whether awaitSlot reads the connection. Afterwards no read deadline of
// freeSlot is in force or will be.
func (c *conn) setWaiting(waiting bool) {
	c.slots.Lock()
	defer c.slots.Unlock()
	c.waiting = waiting
	if !waiting {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// freeSlot ends the handling of a request, and a read of awaitSlot.
func (c *conn) freeSlot() {
	<-c.inFlight
	c.slots.Lock()
	defer c.slots.Unlock()
	if c.waiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) releaseAhead() {
	if c.aheadReserved {
		c.server.cfg.Release(aheadBytes)
	}
}
