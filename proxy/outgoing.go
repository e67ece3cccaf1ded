package proxy

import (
	"net/http"
	"net/url"
	"strings"
)

// maxAddedHeaders is the capacity reserved for the headers that a node adds.
const maxAddedHeaders = 4

// oddPath returns the path of a request as its caller sent it, if url.URL would encode it in
// another way: RFC 3986 does not allow it. Otherwise it returns nothing.
func oddPath(r *http.Request) string {
	path := targetPath(r.RequestURI)
	if !strings.HasPrefix(path, "/") || path == r.URL.EscapedPath() {
		return ""
	}
	return path
}

// targetPath returns the path of a request target in origin or absolute form (RFC 9112, section 3.2), as
// it was sent.
func targetPath(target string) string {
	target, _, _ = strings.Cut(target, "?")
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, _ := strings.Cut(target, "://")
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return ""
}

// canSendTarget reports whether the path of a request can be sent on unchanged. An odd one that
// begins with two slashes would be taken for a host.
func canSendTarget(r *http.Request) bool { return !strings.HasPrefix(oddPath(r), "//") }

// outgoing returns the request as it is sent to the next hop. Method, path,
// query, host and end-to-end headers are those of the caller.
func outgoing(r *http.Request, host string, body *requestBody) *http.Request {
	out := &http.Request{
		Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, Opaque: oddPath(r),
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
