package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlineRecorder is a writer that counts the read deadlines set on it.
type deadlineRecorder struct {
	http.ResponseWriter
	set int
}

func (d *deadlineRecorder) SetReadDeadline(time.Time) error {
	d.set++
	return nil
}

// reusedWriter is a writer that a framework reuses for one request after
// another.
type reusedWriter struct{ http.ResponseWriter }

func (p *reusedWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// TestReaderOfABodySetsNoDeadline guards against a deadline on the wrong
// request: the reader of a body can outlive the handler, whose writer serves
// another request by then.
func TestReaderOfABodySetsNoDeadline(t *testing.T) {
	is := is.New(t)
	own, other := &deadlineRecorder{ResponseWriter: httptest.NewRecorder()}, &deadlineRecorder{ResponseWriter: httptest.NewRecorder()}
	w := &reusedWriter{own}
	r := httptest.NewRequest("POST", "/", strings.NewReader("long"))
	r.ContentLength = -1
	body, err := (&Proxy{bodies: bodyMemory{limit: 1 << 20}}).newRequestBody(w, r, bodyReading{limit: 100, streams: true})
	is.NoErr(err)
	body.limitUpload(time.Second)
	is.Equal(own.set, 1)
	w.ResponseWriter = other
	got, err := io.ReadAll(body.open())
	is.NoErr(err)
	is.Equal(string(got), "long")
	is.Equal(own.set, 1)
	is.Equal(other.set, 0)
}
