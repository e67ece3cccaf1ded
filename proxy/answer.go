package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

var copyBufs = sync.Pool{New: func() any { return new([copyBufBytes]byte) }}

// responseError reports on which side a response was cut off.
type responseError struct {
	downstream bool // writing to the caller failed; otherwise reading from the next hop
	err        error
}

func (e *responseError) Error() string {
	if e.downstream {
		return fmt.Sprintf("answer can't be passed on: %v", e.err)
	}
	return fmt.Sprintf("answer was cut: %v", e.err)
}

func (e *responseError) Unwrap() error { return e.err }

// responseBytes returns the declared length of a response's body. It is zero if
// none is declared and for a response to HEAD, which has no body.
func responseBytes(r *http.Request, resp *http.Response) int64 {
	if r.Method == http.MethodHead {
		return 0
	}
	return max(resp.ContentLength, 0)
}

// relayResponse copies the response of the next hop to w. A response without a
// declared length is flushed as it arrives. A slow receiver can block this
// response and one that exceeds the server's buffers; their write deadline is
// the request's deadline. A large response is paced.
func (p *Proxy) relayResponse(w http.ResponseWriter, resp *http.Response) error {
	h := w.Header()
	copyHeader(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise the server would guess one
	}
	for k := range resp.Trailer {
		h.Add("Trailer", k)
	}
	if resp.ContentLength < 0 || resp.ContentLength > bufferedResponseBytes {
		if deadline, ok := resp.Request.Context().Deadline(); ok {
			_ = http.NewResponseController(w).SetWriteDeadline(deadline)
		}
	}
	w.WriteHeader(resp.StatusCode)
	if err := p.copyBody(w, resp); err != nil {
		return err
	}
	for k, vs := range resp.Trailer {
		if !strings.HasPrefix(k, headerPrefix) {
			h[k] = vs
		}
	}
	return nil
}

// abortResponse closes the caller's connection in the middle of a response. The
// part received so far is sent first, because a client that has received
// nothing at all may repeat its request.
func abortResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// isLarge reports whether a response is one that waits for the host's network link.
func isLarge(resp *http.Response) bool { return resp.ContentLength > copyBufBytes }

func (p *Proxy) copyBody(w http.ResponseWriter, resp *http.Response) error {
	large := isLarge(resp)
	buf := copyBufs.Get().(*[copyBufBytes]byte)
	defer copyBufs.Put(buf)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			if large {
				if err := p.pacer.wait(resp.Request.Context(), n); err != nil {
					return &responseError{downstream: true, err: err}
				}
				p.uplink.large.Inc(int64(n))
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return &responseError{downstream: true, err: err}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &responseError{err: err}
		}
		if resp.ContentLength < 0 && flusher != nil {
			flusher.Flush()
		}
	}
}
