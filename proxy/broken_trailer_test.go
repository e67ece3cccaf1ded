package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/proxy"
)

// trailerCase returns an answer in chunks with a trailer, of which one field is announced.
func trailerCase(trailer string) cutCase {
	return cutCase{
		head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: " + afterAnswer + "\r\n\r\n",
		rest: "5\r\nhello\r\n0\r\n" + trailer + "\r\n",
	}
}

// TestBrokenTrailerLooksWhole guards against answers that look whole though their trailer was
// broken off or is none.
func TestBrokenTrailerLooksWhole(t *testing.T) {
	for _, trailer := range []string{
		"Content-Length : 3\r\n", "Transfer-Encoding x: 1\r\n",
		afterAnswer + ": HTTP/1.1 500 Internal Server Error\r\nDate: today\r\n", "Link: a HTTP/1.1 200 OK\r\n",
	} {
		c := trailerCase(trailer)
		m, s := newCutMesh(t, c)
		for node := range m.nodes {
			for _, version := range []string{"1.0", "1.1"} {
				for _, line := range []string{"GET /", "POST /once"} { // the answer to the first is read whole before it is passed on
					answer, ended := m.sendRaw(node, fmt.Sprintf("%s HTTP/%s\r\nHost: x\r\n%s: %d\r\n%s: %s\r\nConnection: close\r\n\r\n",
						line, version, headerSend, len(s.answer), headerEnd, endWhole))
					if strings.Contains(answer, proxy.HeaderOutcome) {
						continue
					}
					if ended && (version == "1.0" || strings.Contains(answer, "\r\n0\r\n") || strings.Contains(answer, "Content-Length: ")) {
						t.Errorf("trailer %q, %s HTTP/%s at node %d: %q", trailer, line, version, node, answer)
					}
				}
			}
		}
	}
}

// sendRaw sends a request to a node and returns all that comes, and whether the connection
// ended without a fault.
func (m *mesh) sendRaw(node int, request string) (answer string, ended bool) {
	c, err := net.Dial("tcp", m.nodes[node].callers)
	m.must(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testDeadline))
	_, err = io.WriteString(c, request)
	m.must(err)
	all, err := io.ReadAll(c)
	return string(all), err == nil
}

// TestTrailerDecidesFraming guards against fields of a trailer that callers could take for
// the length of the answer or an order to its connection, and which cut an empty one.
func TestTrailerDecidesFraming(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"", "5\r\nhello\r\n"} {
		c := trailerCase("Content-Length: 3\r\nTransfer-Encoding: gzip\r\nConnection: keep-alive\r\nKeep-Alive: 7\r\n" + afterAnswer + ": late\r\n")
		c.rest = body + strings.TrimPrefix(c.rest, "5\r\nhello\r\n")
		m, s := newCutMesh(t, c)
		for node := range m.nodes {
			for _, line := range []string{"GET /", "POST /once"} {
				answer, ended := m.sendRaw(node, fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\n%s: %d\r\n%s: %s\r\nConnection: close\r\n\r\n",
					line, headerSend, len(s.answer), headerEnd, endWhole))
				is.True(ended)
				is.True(strings.HasSuffix(answer, body+"0\r\n"+afterAnswer+": late\r\n\r\n"))
				for _, name := range []string{"Content-Length", "gzip", "keep-alive", "Keep-Alive"} {
					is.True(!strings.Contains(answer, name))
				}
			}
		}
	}
}
