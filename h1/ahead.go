package h1

import (
	"errors"
	"net"
	"time"
)

// aheadBytes is how much is read of a connection whose requests have to wait.
const aheadBytes = 16 << 10

// awaitSlot waits until another request may be handled. Meanwhile the connection is read, so that
// it is noticed when the client closes it: requests in front of this one may be at work for
// long. It returns false if the connection has ended.
func (c *conn) awaitSlot() bool {
	if c.takeSlot() {
		return true
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	for {
		_ = c.net.SetReadDeadline(time.Time{})
		if c.takeSlot() {
			return true
		}
		if len(c.in.pending()) >= aheadBytes {
			return c.awaitSlotBlind()
		}
		err := c.in.fill(aheadBytes)
		var timeout net.Error
		switch {
		case errors.Is(err, ErrOverloaded):
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
