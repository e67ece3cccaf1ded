package proxy

import (
	"io"
	"net/http"
)

// emptyBody is an empty request body that http.Transport does not recognise as
// one that can be sent again.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo implements io.WriterTo. It spares the transport a copy buffer.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// preventReplay keeps http.Transport from sending a request again by itself
// after a reused connection has failed, because the reducer decides whether a
// request may run twice. The transport repeats requests without a body that
// have a safe method or an Idempotency-Key. Requests with a safe method
// therefore get a body that the transport can't rewind. The names of the
// idempotency headers are written in lower case: the transport does not
// recognise them then, and to a server they are the same headers.
func preventReplay(out *http.Request) {
	out.GetBody = nil
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if vs, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[lowerCase[name]] = vs
		}
	}
	if out.Body != nil && out.Body != http.NoBody {
		return
	}
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		out.Body = emptyBody{}
		out.TransferEncoding = []string{"identity"} // neither Content-Length nor chunks are sent
	}
}

var lowerCase = map[string]string{
	"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key",
}
