package proxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core/uplink"
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

// relayResponse copies the response of the next hop to w. A response without a
// declared length is flushed as it arrives. A slow receiver can block this
// response and one that exceeds the server's buffers; their write deadline is
// the request's deadline. The rate of a large response is limited, and its bytes are
// counted in origin too; origin is nil if it does not go over the host's network link. It
// returns the size of the body that was passed on.
func (p *Proxy) relayResponse(w http.ResponseWriter, resp *http.Response, origin metrics.Counter) (int64, error) {
	h := w.Header()
	copyHeader(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise the server would guess one
	}
	trailers := announceTrailers(h, resp.Trailer)
	if resp.ContentLength < 0 || resp.ContentLength > bufferedResponseBytes {
		if deadline, ok := resp.Request.Context().Deadline(); ok {
			_ = http.NewResponseController(w).SetWriteDeadline(deadline)
		}
	}
	w.WriteHeader(resp.StatusCode)
	size, err := p.copyBody(w, resp, origin)
	if err != nil {
		return size, err
	}
	for _, k := range trailers {
		h[k] = resp.Trailer[k]
	}
	return size, nil
}

// announceTrailers adds to the header of a response which of its trailers are passed on,
// and returns their names. A field that is in the head as well stays there, and one that
// tells how a message or a connection ends is not passed on.
func announceTrailers(h, trailer http.Header) (passedOn []string) {
	for k := range trailer {
		if _, inHead := h[k]; !inHead && mayTrail(k) {
			passedOn = append(passedOn, k)
		}
	}
	if len(passedOn) > 0 {
		h["Trailer"] = passedOn
	}
	return passedOn
}

// mayTrail reports whether a field of a trailer may be passed on.
func mayTrail(name string) bool {
	return name != "Content-Length" && !slices.Contains(hopByHop, name) && !strings.HasPrefix(name, headerPrefix)
}

// abortResponse closes the caller's connection in the middle of a response. The
// part received so far is sent first, because a client that has received
// nothing at all may repeat its request.
func abortResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// copyBody copies the body of a response and returns its size.
func (p *Proxy) copyBody(w http.ResponseWriter, resp *http.Response, origin metrics.Counter) (int64, error) {
	buf := copyBufs.Get().(*[copyBufBytes]byte)
	defer copyBufs.Put(buf)
	flusher, _ := w.(http.Flusher)
	sending := bodyTransfer{proxy: p, declared: resp.ContentLength, body: resp.Body, origin: origin}
	whole := false
	defer func() { sending.end(whole) }()
	for {
		n, err := resp.Body.Read(buf[:uplink.PieceBytes])
		if n > 0 {
			if sending.becomesLarge(n) && flusher != nil {
				flusher.Flush() // the head shows the other node that the answer exists
			}
			if err := sending.awaitLink(resp.Request.Context(), n); err != nil {
				return sending.passedOn, &responseError{downstream: true, err: err}
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return sending.passedOn, &responseError{downstream: true, err: err}
			}
			sending.passedOn += int64(n)
		}
		if err == io.EOF {
			whole = true
			return sending.passedOn, nil
		}
		if err != nil {
			return sending.passedOn, &responseError{err: err}
		}
		if resp.ContentLength < 0 && flusher != nil {
			flusher.Flush()
		}
	}
}
