package h1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

var (
	errOldChunks  = fmt.Errorf("request of HTTP/1.0 has a transfer coding")
	errOldVersion = fmt.Errorf("version is not supported, or its line is too long")
)

// parseRequest reads the header of a request. http.ReadRequest ignores a Transfer-Encoding in
// a request before HTTP/1.1 and removes it, so that a body in chunks would be read as the next
// requests (RFC 9112, section 6.1).
func (c *conn) parseRequest() (*http.Request, error) {
	old, err := c.checkOldHead()
	if err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.in)
	if err == nil && !old && !r.ProtoAtLeast(1, 1) {
		return nil, errOldVersion
	}
	return r, err
}

// checkOldHead reports whether the next request is one of HTTP/1.0, and fails if that has a
// transfer coding.
func (c *conn) checkOldHead() (old bool, err error) {
	line, err := c.peekLine()
	if err != nil || !bytes.HasSuffix(line, []byte("HTTP/1.0")) {
		return false, err
	}
	head, err := c.readHead()
	if err != nil {
		return true, err
	}
	if HasField(head, "Transfer-Encoding") {
		return true, errOldChunks
	}
	c.in = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), c.in), readBufferBytes)
	return true, nil
}

// peekLine returns the next line, which is not read by that, or nil if it is longer than the
// buffer.
func (c *conn) peekLine() ([]byte, error) {
	for n := 1; ; n = c.in.Buffered() + 1 {
		_, err := c.in.Peek(n)
		seen, _ := c.in.Peek(c.in.Buffered())
		if i := bytes.IndexByte(seen, '\n'); i >= 0 {
			return bytes.TrimRight(seen[:i], "\r"), nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readHead reads up to the empty line.
func (c *conn) readHead() ([]byte, error) {
	var head []byte
	for {
		line, err := c.in.ReadBytes('\n')
		head = append(head, line...)
		if err != nil || len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, err
		}
	}
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
