package h1

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestFreedSlotInterruptsLaterRead frees a slot while a request waits for one that it has just
// got. What is read for that request must not be interrupted by it.
func TestFreedSlotInterruptsLaterRead(t *testing.T) {
	is := is.New(t)
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := newConn(New(Config{MaxPipelined: 2}, http.NotFoundHandler()), server)
	is.True(c.takeSlot())
	c.setWaiting(true)
	c.freeSlot()
	c.setWaiting(false)
	is.True(c.takeSlot())
	c.freeSlot() // nobody waits
	go func() { _, _ = client.Write([]byte("x")) }()
	_, err := server.Read(make([]byte, 1))
	is.NoErr(err)
}
