package peer_test

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/peer"
)

// TestDialTellsRefusedConnection dials an address at which no process listens.
func TestDialTellsRefusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	transport := peer.NewTransport(peer.Config{}, nil)
	defer transport.Stop()
	err = transport.Dial(t.Context(), address, func(*peer.Link) any { return nil })
	is.True(errors.Is(err, peer.ErrRefused))
}
