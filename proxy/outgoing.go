package proxy

import (
	"net/http"
	"net/url"
)

// maxAddedHeaders is the capacity reserved for the headers that a node adds.
const maxAddedHeaders = 4

// outgoing returns the request as it is sent to the next hop. Method, path,
// query, host and end-to-end headers are those of the caller.
func outgoing(r *http.Request, host string, body *requestBody) *http.Request {
	out := &http.Request{
		Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath,
			RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Header: make(http.Header, len(r.Header)+maxAddedHeaders), Body: body.open(), ContentLength: body.declared(), Trailer: r.Trailer,
	}
	copyHeader(out.Header, r.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""} // otherwise the transport adds its own
	}
	return out
}
