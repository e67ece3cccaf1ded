package h1

import (
	"crypto/tls"
	"net"
	"time"
)

// lingerTime is how long a closing connection is still read. Data that
// arrives after the connection is closed would cause a reset, which can
// discard the response before the client has read it.
const lingerTime = 500 * time.Millisecond

// abort closes the connection and cancels the requests that are handled for it. It
// resets the connection if a response that is cut off would look complete otherwise.
func (c *conn) abort() {
	c.cancel()
	if c.endsBody.Load() {
		c.reset()
	}
	_ = c.net.Close()
}

// reset closes the connection so that the client gets an error instead of the end of
// the stream.
func (c *conn) reset() {
	c.setLinger(lingerReset)
	_ = c.transport().Close()
}

// transport returns the connection below TLS. Closing the TLS connection would announce
// the end.
func (c *conn) transport() net.Conn {
	if secured, ok := c.net.(*tls.Conn); ok {
		return secured.NetConn()
	}
	return c.net
}

// Values of setLinger: how the system closes the connection.
const (
	lingerReset  = 0  // at once, with a reset
	lingerToSend = -1 // it sends what was written first
)

func (c *conn) setLinger(seconds int) {
	if tcp, ok := c.transport().(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds)
	}
}

// setEndsBody sets whether the end of the connection would end the body of the response
// that is being sent. The system resets the connection then if the process is killed.
func (c *conn) setEndsBody(ends bool) {
	if c.endsBody.Swap(ends) == ends {
		return
	}
	if ends {
		c.setLinger(lingerReset)
	} else {
		c.setLinger(lingerToSend)
	}
}

// linger closes the sending side and reads and discards data for up to
// lingerTime.
func (c *conn) linger() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	c.in.discard()
}
