package h1

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

var (
	errOldChunks  = fmt.Errorf("request of HTTP/1.0 has a transfer coding")
	errOldVersion = fmt.Errorf("version is not supported")
)

// parseRequest parses the request that begins with a head. http.ReadRequest ignores a
// Transfer-Encoding in a request before HTTP/1.1 and removes it, so that a body in chunks would be read
// as the next requests (RFC 9112, section 6.1).
func (c *conn) parseRequest(head []byte) (*http.Request, error) {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	old := bytes.HasSuffix(bytes.TrimRight(line, "\r"), []byte("HTTP/1.0"))
	if old && HasField(head, "Transfer-Encoding") {
		return nil, errOldChunks
	}
	r, err := http.ReadRequest(c.in.beginHead(len(head)))
	c.in.endHead()
	if err == nil && !old && !r.ProtoAtLeast(1, 1) {
		return nil, errOldVersion
	}
	return r, err
}

// HasField reports whether the head at the beginning of some bytes has a field of a name.
func HasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		if field, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}
