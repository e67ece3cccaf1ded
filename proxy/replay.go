package proxy

import (
	"io"
	"net/http"
)

// emptyBody is an empty request body of which http.Transport can't know that
// it could be sent again.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo implements io.WriterTo, for which the transport needs no buffer.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// preventReplay keeps http.Transport from sending a request again by itself,
// as it would after a reused connection has failed: whether a request may run
// twice is the reducer's to decide. The transport repeats requests without a
// body that have a safe method or an Idempotency-Key. The first get a body
// that it can't rewind; the header of the others is spelt in lower case,
// which is the same to a server but not to the transport.
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
		out.TransferEncoding = []string{"identity"} // neither a length nor chunks are sent
	}
}

var lowerCase = map[string]string{
	"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key",
}
