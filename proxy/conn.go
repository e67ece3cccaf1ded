package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/core/retry"
)

var errSealed = fmt.Errorf("connection is sealed after a failed request")

// trackedConn counts writes, so that a request of which nothing was written can
// be distinguished from one that was sent in part. It also distinguishes a reset
// from the end of the stream.
type trackedConn struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
	old    oldHead

	writing  sync.Mutex // held during a write; guards the field below
	writeErr error      // the first error of a write that says that the connection broke
}

// Read implements net.Conn. The system reports a reset once only: if a write gets
// it, a read gets io.EOF afterwards, with which an answer without a length would
// look complete.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.old.add(b[:n])
	if err != io.EOF {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress, whose error may tell of the reset
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, fmt.Errorf("connection broke: %w", c.writeErr)
	}
	return n, err
}

// Write implements net.Conn. It increments the count before it checks sealed,
// so that every write that goes out is included in the count that seal returns.
// On a connection that is sealed already it does not count: http.Transport can
// send a request over one, until it notices the close.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.sealed.Load() {
		return 0, errSealed
	}
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, errSealed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil && breaksConn(err) {
		c.writeErr = err
	}
	return n, err
}

// breaksConn reports whether an error of a write says that the connection broke.
// EPIPE does not: the server had ended the stream before.
func breaksConn(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed)
}

// seal prevents further writes, closes the connection and returns the number of
// writes begun before.
func (c *trackedConn) seal() int64 {
	c.sealed.Store(true)
	n := c.writes.Load()
	_ = c.Close()
	return n
}

// dialTCP is the DialFunc for connections without TLS.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return dialer.DialContext(ctx, network, address)
}

// countingConn reports the number of bytes of each write.
type countingConn struct {
	net.Conn
	onSent func(n int)
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.onSent(n)
	return n, err
}

// counting returns a DialFunc whose connections report what they send.
func counting(dial DialFunc, onSent func(n int)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, onSent: onSent}, nil
	}
}

func newTransport(dial DialFunc, connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost: connections, MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdleToHost, IdleConnTimeout: clientIdleTimeout,
		DisableCompression: true, ExpectContinueTimeout: maxTransfer, MaxResponseHeaderBytes: maxHopHeaderBytes,
	}
}

// Limits on reading the body of a refusal, which usually arrives with its head.
const (
	maxRefusalBytes    = 4 << 10
	refusalReadTimeout = 50 * time.Millisecond
)

// discardBody ends a response whose body is not needed. http.Transport uses its
// connection again only if the body has been read to its end.
func discardBody(resp *http.Response) {
	timer := time.AfterFunc(refusalReadTimeout, func() { _ = resp.Body.Close() })
	_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBytes) // an error ends the connection, as Close does
	timer.Stop()
	_ = resp.Body.Close()
}

// roundTrip sends one request. check returns an attemptError for a response that is
// not accepted; if its outcome is Unknown, the response is that of another request.
// The connection is closed then, because later responses on it may be mismatched too. If
// there is no response, the outcome is NotRun only if not a single byte of the
// request was written.
func (p *Proxy) roundTrip(ctx context.Context, t *http.Transport, out *http.Request, check func(*http.Response) error) (*http.Response, error) {
	var conn *trackedConn
	var before int64
	var reused bool
	trace := &httptrace.ClientTrace{Got1xxResponse: p.checkInterim(), GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*trackedConn)
		before, reused = conn.writes.Load(), info.Reused
		conn.old.begin()
	}}
	if !p.injected.transportReplays {
		preventReplay(out)
	}
	began := time.Now()
	resp, err := t.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		if err = conn.old.check(resp); err == nil {
			err = check(resp)
		}
		return checked(resp, err, conn, before)
	}
	if conn == nil {
		return nil, p.unconnected(t, err, time.Since(began))
	}
	own := conn.sealed.Load() // this node closed the connection
	if conn.seal() == before {
		return nil, &attemptError{outcome: retry.NotRun, healthy: own, err: err}
	}
	return nil, &attemptError{outcome: retry.Unknown, reused: reused, err: err}
}

// maxInterim is the number of interim responses that may come in front of a response. As
// they are looked at, http.Transport does not limit them.
const maxInterim = 5

// checkInterim returns a function that is called with each interim response.
func (p *Proxy) checkInterim() func(status int, h textproto.MIMEHeader) error {
	count := 0
	return func(status int, h textproto.MIMEHeader) error {
		if count++; count > maxInterim {
			return fmt.Errorf("more than %d interim answers", maxInterim)
		}
		return p.cfg.Names.checkInterim(status, http.Header(h))
	}
}

// unconnected returns the error for a request for which no connection was opened in the
// given time. Nothing was written, so it did not run. It counts against the target only as
// far as this host did not lack the means itself.
func (p *Proxy) unconnected(t *http.Transport, err error, waited time.Duration) *attemptError {
	e := &attemptError{outcome: retry.NotRun, err: err}
	var timeout net.Error
	switch {
	case lacksMeans(err):
		e.healthy = true
	case !errors.As(err, &timeout) || !timeout.Timeout():
		e.unreachable = true
	default:
		e.unreachable = t == p.hop && p.cfg.SilenceAfter <= waited && waited <= dialTimeout+dialLateness
	}
	return e
}

// lacksMeans reports whether a connection was not opened because this process or host has
// no descriptors, ports or memory left.
func lacksMeans(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// checked returns a response, or the error for which it is not accepted. before is the
// number of writes on the connection before the request.
func checked(resp *http.Response, err error, conn *trackedConn, before int64) (*http.Response, error) {
	if err == nil {
		return resp, nil
	}
	if asAttemptError(err).outcome != retry.Unknown {
		discardBody(resp)
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if conn == nil {
		return nil, err
	}
	own := conn.sealed.Load()
	if conn.seal() == before { // the response was there before the request
		return nil, &attemptError{outcome: retry.NotRun, healthy: own, err: err}
	}
	return nil, err
}
