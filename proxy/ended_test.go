package proxy

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestWriteAfterTheEndBreaksAnswer guards against a whole answer being taken for a broken one
// because its server, which had ended the stream, took no more of the request.
func TestWriteAfterTheEndBreaksAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c := &trackedConn{Conn: conn}
	defer func() { _ = c.Close() }()
	<-ended
	for err == nil {
		_, err = io.WriteString(c, "more of the request")
	}
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(answer), "answer")
}
