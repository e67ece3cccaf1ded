package proxy

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// countedConn counts writes, and takes them even after Close.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return len(b), nil
}

// Close implements net.Conn.
func (c *countedConn) Close() error { return nil }

// TestWriteGoesOutUncounted guards against a request that is reported as not run, and is sent
// by a write that begins while its connection is sealed.
func TestWriteGoesOutUncounted(t *testing.T) {
	is := is.New(t)
	const rounds = 2_000
	for range rounds {
		under := &countedConn{}
		c := &trackedConn{Conn: under}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for err := error(nil); err == nil; {
				_, err = c.Write([]byte("request"))
			}
		}()
		for under.writes.Load() == 0 {
			runtime.Gosched()
		}
		counted := c.seal()
		<-ended
		is.True(under.writes.Load() <= counted)
	}
}
