package h1

import (
	"errors"
	"net"
	"time"
)

// aheadBytes is how much is read of a connection whose requests have to wait.
const aheadBytes = 16 << 10

// awaitSlot waits until another request may be handled.
func (c *conn) awaitSlot() bool { return c.awaitFree(c.takeSlot) }

// awaitFree waits until try succeeds, which is called again when a request of the connection has ended.
// Meanwhile the connection is read, so that it is noticed when the client closes it: requests in front
// may be at work for long. It returns false if the connection has ended.
func (c *conn) awaitFree(try func() bool) bool {
	if try() {
		return true
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	for {
		_ = c.net.SetReadDeadline(time.Time{})
		if try() {
			return true
		}
		if len(c.in.pending()) >= aheadBytes {
			return c.awaitFreeBlind(try)
		}
		err := c.in.fill(aheadBytes)
		var timeout net.Error
		switch {
		case errors.Is(err, ErrOverloaded):
			return c.awaitFreeBlind(try)
		case err == nil, errors.As(err, &timeout) && timeout.Timeout(): // a request may have ended
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

// awaitFreeBlind is awaitFree without reading the connection.
func (c *conn) awaitFreeBlind(try func() bool) bool {
	for !try() {
		select {
		case <-c.freed:
		case <-c.ctx.Done():
			return false
		}
	}
	return true
}

// setWaiting says whether awaitFree reads the connection. Afterwards no read deadline of
// freeSlot is in force or will be.
func (c *conn) setWaiting(waiting bool) {
	c.slots.Lock()
	defer c.slots.Unlock()
	c.waiting = waiting
	if !waiting {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// freeSlot ends the handling of a request, and a read of awaitFree.
func (c *conn) freeSlot() {
	<-c.inFlight
	select {
	case c.freed <- struct{}{}:
	default:
	}
	c.slots.Lock()
	defer c.slots.Unlock()
	if c.waiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}
