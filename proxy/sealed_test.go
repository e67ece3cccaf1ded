package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/retry"
)

// slowlyClosedConn is closed by the second call of Close only, as if its reader had not
// noticed the first yet.
type slowlyClosedConn struct {
	net.Conn
	closes atomic.Int64
}

// Close implements net.Conn.
func (c *slowlyClosedConn) Close() error {
	if c.closes.Add(1) == 1 {
		return nil
	}
	return c.Conn.Close()
}

// TestUnsentRequestIsReportedAsUnknown guards against a request of which nothing was sent
// being reported as one that may have run: its connection was closed for the answer before.
func TestUnsentRequestIsReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	transport := newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, network, address)
		return &slowlyClosedConn{Conn: conn}, err
	}, 0)
	send := func(fault error) *attemptError {
		r := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: server.Listener.Addr().String(), Path: "/"}, Header: http.Header{}}
		_, err := (&Proxy{}).roundTrip(t.Context(), transport, r, func(*http.Response) error { return fault })
		return asAttemptError(err)
	}
	is.Equal(send(&attemptError{outcome: retry.Unknown, err: errors.New("answer to another request")}).outcome, retry.Unknown)
	unsent := send(nil)
	is.Equal(unsent.outcome, retry.NotRun)
	is.True(unsent.healthy) // the server has not failed
	is.Equal(arrived.Load(), int64(1))
}
