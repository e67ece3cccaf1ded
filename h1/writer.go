package h1

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// writer is the http.ResponseWriter of one exchange. Until all earlier
// responses have been sent, it buffers up to maxBufferedBytes; further writes
// block.
type writer struct {
	exchange   *exchange
	header     http.Header
	status     int       // zero: WriteHeader has not been called
	length     int64     // declared length, -1: not declared
	written    int64     // bytes of the body written by the handler
	buffer     []byte    // part of the response written before its turn
	active     bool      // all earlier responses have been sent, so this one is written to the connection
	chunked    bool      // the body is sent in chunks
	closesConn bool      // the connection is closed after this response
	failed     bool      // the response can't be completed, so the connection is aborted
	deadline   time.Time // write deadline; zero: Config.WriteTimeout applies
	waited     bool      // the response came behind another one
}

// maxBufferedBytes is the size of the part of a response that is buffered until
// its turn.
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
	if !w.active && w.makeRoom(len(p)) {
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

// leastBufferBytes is the size of the first buffer of a response.
const leastBufferBytes = 1 << 10

// makeRoom gets memory to buffer n more bytes, and reports whether there was as much.
func (w *writer) makeRoom(n int) bool {
	size, need := cap(w.buffer), len(w.buffer)+n
	if need > maxBufferedBytes {
		return false
	}
	for size = max(size, leastBufferBytes); size < need; size *= 2 {
	}
	if size == cap(w.buffer) {
		return true
	}
	if !w.exchange.reserve(size - cap(w.buffer)) {
		return false
	}
	w.buffer = append(make([]byte, 0, size), w.buffer...)
	return true
}

// hasBody reports whether the response has a body.
func (w *writer) hasBody() bool {
	return w.exchange.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// begin waits until all earlier responses have been sent, then sends the header
// and the buffered part.
func (w *writer) begin() error {
	if w.active {
		return nil
	}
	w.waited = w.exchange.isPipelined()
	if err := w.exchange.awaitTurn(); err != nil {
		w.failed = true
		return err
	}
	w.exchange.begin()
	w.active = true
	_ = w.exchange.conn.net.SetWriteDeadline(w.writeDeadline(time.Now()))
	w.sendHeader()
	buffered := w.buffer
	w.buffer = nil
	if len(buffered) == 0 {
		return nil
	}
	defer w.exchange.release(cap(buffered))
	return w.send(buffered)
}

// leastWriteTime is the time that a client gets at least to take a response whose turn comes. A response
// that waited for those in front of it is not lost because its own deadline has passed meanwhile.
const leastWriteTime = time.Second

// writeDeadline returns the write deadline of a response whose turn comes at some time.
func (w *writer) writeDeadline(turn time.Time) time.Time {
	if w.deadline.IsZero() {
		return turn.Add(w.exchange.conn.server.cfg.WriteTimeout)
	}
	if least := turn.Add(leastWriteTime); w.waited && w.deadline.Before(least) {
		return least
	}
	return w.deadline
}

// mustClose reports whether the connection is closed after this response.
func (w *writer) mustClose() bool {
	r := w.exchange.request
	switch {
	case r.Close || !r.ProtoAtLeast(1, 1) || !w.exchange.body.isComplete():
		return true
	case strings.EqualFold(w.header.Get("Connection"), "close"):
		return true
	}
	// During a drain, requests already received after this one are answered
	// before the connection is closed.
	return w.exchange.conn.server.draining.Load() && w.exchange.conn.pending.Load() <= 1
}

// decideClose determines whether the connection is closed after this response. No
// request is accepted after that.
func (w *writer) decideClose() {
	c := w.exchange.conn
	c.accepting.Lock()
	defer c.accepting.Unlock()
	w.closesConn = w.mustClose()
	if w.closesConn {
		c.closing.Store(true)
	}
}

func (w *writer) sendHeader() {
	out, c := w.exchange.conn.writer(), w.exchange.conn
	w.decideClose()
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
	default:
		c.setEndsBody(w.hasBody())
	}
	if w.closesConn {
		_, _ = out.WriteString("Connection: close\r\n")
	}
	_, _ = out.WriteString("\r\n") // bufio.Writer keeps a write error and returns it from Flush
}

func (w *writer) send(p []byte) error {
	out := w.exchange.conn.writer()
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

// FlushError sends what has been written so far. It is called by
// http.ResponseController.
func (w *writer) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if err := w.begin(); err != nil {
		return err
	}
	return w.exchange.conn.writer().Flush()
}

// SetReadDeadline sets the deadline for reading the request's body.
func (w *writer) SetReadDeadline(t time.Time) error {
	if w.exchange.body.isComplete() {
		return nil // the connection is already being read for the next request
	}
	return w.exchange.conn.net.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline for sending the response.
func (w *writer) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	if !w.active {
		return nil
	}
	return w.exchange.conn.net.SetWriteDeadline(w.writeDeadline(time.Now()))
}

// finish sends the rest of the response.
func (w *writer) finish() error {
	if w.failed {
		if w.active {
			_ = w.exchange.conn.writer().Flush()
		}
		return nil
	}
	w.WriteHeader(http.StatusOK)
	if w.length < 0 && !w.active && w.hasBody() && w.header["Trailer"] == nil {
		w.length = w.written // the buffer holds the complete body
	}
	if w.hasBody() && w.length >= 0 && w.written != w.length {
		return ErrShortResponse
	}
	if err := w.begin(); err != nil {
		return err
	}
	if w.chunked {
		_, _ = w.exchange.conn.writer().WriteString("0\r\n")
		w.sendTrailer()
		_, _ = w.exchange.conn.writer().WriteString("\r\n")
	}
	if err := w.exchange.conn.writer().Flush(); err != nil {
		return err
	}
	w.exchange.conn.freeWriter()
	w.exchange.conn.setEndsBody(false)
	return nil
}

// trailers returns the names of the fields that the Trailer header announces.
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
			_, _ = w.exchange.conn.writer().WriteString(name + ": " + v + "\r\n")
		}
	}
}
