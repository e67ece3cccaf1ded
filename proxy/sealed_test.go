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

// TestAnswerInFrontOfUnsentRequestIsItsOwn guards against a request of which nothing was sent
// being reported as one that may have run, since an answer that its connection had brought
// before, to another request, is read in its place.
func TestAnswerInFrontOfUnsentRequestIsItsOwn(t *testing.T) {
	for _, tt := range []struct {
		name    string
		sealed  bool // the connection was closed at this node before
		written bool // a part of the request was written
		outcome retry.Outcome
		healthy bool
	}{
		{"closed before", true, false, retry.NotRun, true},
		{"not written yet", false, false, retry.NotRun, false},
		{"written in part", false, true, retry.Unknown, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &trackedConn{Conn: &countedConn{}}
			_, _ = c.Write([]byte("an earlier request"))
			before := c.writes.Load()
			if tt.sealed {
				c.seal()
			}
			if tt.written {
				_, _ = c.Write([]byte("the head of the request"))
			}
			other := &attemptError{outcome: retry.Unknown, err: errors.New("another request's")}
			_, err := checked(&http.Response{Body: http.NoBody}, other, c, before)
			is.Equal(asAttemptError(err).outcome, tt.outcome)
			is.Equal(asAttemptError(err).healthy, tt.healthy)
			_, err = c.Write([]byte("the request"))
			is.True(errors.Is(err, errSealed)) // and never will be
		})
	}
}
