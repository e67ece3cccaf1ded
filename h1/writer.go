package h1

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// writer is the http.ResponseWriter of one exchange. Until its turn has come
// it keeps what fits in its buffer and then waits.
type writer struct {
	exchange   *exchange
	header     http.Header
	status     int
	length     int64 // declared, -1: not declared
	written    int64
	buffer     []byte // of the answer, kept before the turn
	active     bool   // the connection's writer is this one's
	chunked    bool
	closesConn bool
	failed     bool
	deadline   time.Time // zero: the server's
}

// maxBufferedBytes is the part of an answer that is kept until its turn.
const maxBufferedBytes = 32 << 10

func newWriter(e *exchange) *writer { return &writer{exchange: e, header: http.Header{}, length: -1} }

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	if s := w.header.Get("Content-Length"); s != "" {
		if n, err := strconv.ParseInt(s, 10, 64); err == nil && n >= 0 {
			w.length = n
		}
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return len(p), nil
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		w.failed = true
		return 0, ErrLongResponse
	}
	w.written += int64(len(p))
	if !w.active && len(w.buffer)+len(p) <= maxBufferedBytes {
		w.buffer = append(w.buffer, p...)
		return len(p), nil
	}
	if err := w.begin(); err != nil {
		return 0, err
	}
	if err := w.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// hasBody reports whether a body goes with the answer.
func (w *writer) hasBody() bool {
	return w.exchange.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// begin waits for the turn and sends the header and what was kept.
func (w *writer) begin() error {
	if w.active {
		return nil
	}
	if err := w.exchange.awaitTurn(); err != nil {
		w.failed = true
		return err
	}
	w.active = true
	deadline := w.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(w.exchange.conn.server.cfg.WriteTimeout)
	}
	_ = w.exchange.conn.net.SetWriteDeadline(deadline)
	w.sendHeader()
	kept := w.buffer
	w.buffer = nil
	if len(kept) == 0 {
		return nil
	}
	return w.send(kept)
}

// mustClose reports whether the connection ends with this answer.
func (w *writer) mustClose() bool {
	r := w.exchange.request
	switch {
	case r.Close || !r.ProtoAtLeast(1, 1) || !w.exchange.body.isComplete():
		return true
	case strings.EqualFold(w.header.Get("Connection"), "close"):
		return true
	}
	// A request behind this one is answered as well before a planned end.
	return w.exchange.conn.server.draining.Load() && w.exchange.conn.pending.Load() <= 1
}

func (w *writer) sendHeader() {
	out, c := w.exchange.conn.out, w.exchange.conn
	w.closesConn = w.mustClose()
	if w.closesConn {
		c.closing.Store(true)
	}
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	trailers := w.trailers()
	for name, values := range w.header {
		switch name {
		case "Connection", "Transfer-Encoding", "Content-Length":
			continue
		}
		if slices.Contains(trailers, name) {
			continue
		}
		for _, v := range values {
			_, _ = out.WriteString(name)
			_, _ = out.WriteString(": ")
			_, _ = out.WriteString(v)
			_, _ = out.WriteString("\r\n")
		}
	}
	switch {
	case w.status == http.StatusNoContent || w.status == http.StatusNotModified:
	case w.length >= 0:
		_, _ = out.WriteString("Content-Length: " + strconv.FormatInt(w.length, 10) + "\r\n")
	case w.exchange.request.ProtoAtLeast(1, 1):
		w.chunked = w.hasBody()
		_, _ = out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if w.closesConn {
		_, _ = out.WriteString("Connection: close\r\n")
	}
	_, _ = out.WriteString("\r\n") // an error stays with the buffer and shows at Flush
}

func (w *writer) send(p []byte) error {
	out := w.exchange.conn.out
	if w.chunked && len(p) > 0 {
		_, _ = out.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	_, err := out.Write(p)
	if w.chunked && len(p) > 0 {
		_, err = out.WriteString("\r\n")
	}
	if err != nil {
		w.failed = true
	}
	return err
}

// Flush implements http.Flusher.
func (w *writer) Flush() { _ = w.FlushError() }

// FlushError sends what was written so far; http.ResponseController calls it.
func (w *writer) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if err := w.begin(); err != nil {
		return err
	}
	return w.exchange.conn.out.Flush()
}

// SetReadDeadline bounds the reading of the request's body.
func (w *writer) SetReadDeadline(t time.Time) error {
	if w.exchange.body.isComplete() {
		return nil // the connection is read for the next request already
	}
	return w.exchange.conn.net.SetReadDeadline(t)
}

// SetWriteDeadline bounds the sending of the answer.
func (w *writer) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	if !w.active {
		return nil
	}
	return w.exchange.conn.net.SetWriteDeadline(t)
}

// finish sends the rest of the answer.
func (w *writer) finish() error {
	if w.failed {
		if w.active {
			_ = w.exchange.conn.out.Flush()
		}
		return nil
	}
	w.WriteHeader(http.StatusOK)
	if w.length < 0 && !w.active && w.hasBody() && w.header["Trailer"] == nil {
		w.length = w.written // all of it is here
	}
	if w.hasBody() && w.length >= 0 && w.written != w.length {
		return ErrShortResponse
	}
	if err := w.begin(); err != nil {
		return err
	}
	if w.chunked {
		_, _ = w.exchange.conn.out.WriteString("0\r\n")
		w.sendTrailer()
		_, _ = w.exchange.conn.out.WriteString("\r\n")
	}
	return w.exchange.conn.out.Flush()
}

// trailers returns the names of the fields that the header announced as
// trailers.
func (w *writer) trailers() []string {
	var out []string
	for _, names := range w.header["Trailer"] {
		for name := range strings.SplitSeq(names, ",") {
			out = append(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

func (w *writer) sendTrailer() {
	for _, name := range w.trailers() {
		for _, v := range w.header[name] {
			_, _ = w.exchange.conn.out.WriteString(name + ": " + v + "\r\n")
		}
	}
}
