package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/proxy"
)

// callerKind is a form of requests that callers other than the client of net/http send.
type callerKind struct {
	name, version, header string
	behind                bool // the request comes behind another one, before that is answered
}

func callerKinds() []callerKind {
	return []callerKind{
		{name: "HTTP/1.0", version: "1.0"},
		{name: "HTTP/1.0 that wants to keep the connection", version: "1.0", header: "Connection: keep-alive\r\n"},
		{name: "last request of its connection", version: "1.1", header: "Connection: close\r\n"},
		{name: "pipelined", version: "1.1", behind: true},
	}
}

// request returns a request for the first bytes of an answer of a cutServer.
func (k callerKind) request(method, path string, bytes int, end string) string {
	return fmt.Sprintf("%s %s HTTP/%s\r\nHost: x\r\n%s%s: %d\r\n%s: %s\r\n\r\n", method, path, k.version, k.header, headerSend, bytes, headerEnd, end)
}

// send sends a request and returns its answer. If the request comes behind another one,
// it returns the fault of that one's answer too.
func (k callerKind) send(m *mesh, c cutCase, r cutRequest) (resp *http.Response, body string, first, err error) {
	conn, err := net.Dial("tcp", m.nodes[r.node].callers)
	m.must(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testDeadline))
	before := ""
	if k.behind {
		before = k.request(c.method, "/", len(c.answer()), endWhole)
	}
	_, err = io.WriteString(conn, before+k.request(r.method, r.path, r.bytes, r.end))
	m.must(err)
	in := bufio.NewReader(conn)
	if k.behind {
		if resp, body, err = readAnswer(in, c.method); err != nil {
			return nil, "", fmt.Errorf("first answer: %w", err), err
		}
		if resp.Header.Get(proxy.HeaderOutcome) == "" {
			first = c.fault(resp, body)
		}
	}
	resp, body, err = readAnswer(in, r.method)
	return resp, body, first, err
}

// readAnswer reads an answer to a request with a method.
func readAnswer(in *bufio.Reader, method string) (*http.Response, string, error) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestCutAnswerLooksWholeToOtherCallers cuts answers after every byte for callers whose answers
// end with the connection, or behind the answer to another request.
func TestCutAnswerLooksWholeToOtherCallers(t *testing.T) {
	for _, c := range cutCases() {
		if len(c.answer()) > 1<<10 {
			continue
		}
		if c.method == "" {
			c.method = http.MethodGet
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m, s := newCutMesh(t, c)
			m.apply(
				config.Object{Kind: config.KindPolicy, Name: "single", Spec: []byte(`{"timeoutMillis":10000,"maxAttempts":1}`)},
				config.Object{Kind: config.KindRoute, Name: "single", Spec: []byte(`{"pathPrefix":"/single","service":"orders","policy":"single"}`)},
			)
			m.waitEndpointsReady()
			for _, n := range c.cuts() {
				for i, k := range callerKinds() {
					r := cutRequest{node: (n + i) & 1, method: c.method, path: []string{"/single", "/once"}[(n+i)>>1&1], bytes: n, end: []string{endFIN, endRST}[(n+i)>>2&1]}
					resp, body, first, err := k.send(m, c, r)
					is.NoErr(first)
					if err != nil || resp.Header.Get(proxy.HeaderOutcome) != "" || n == len(c.answer()) && !c.unframed {
						continue
					}
					if k.version == "1.0" {
						resp.Trailer = http.Header{afterAnswer: {c.trailer}} // there are none
					}
					if err := c.cutFault(r, resp, body); err != nil {
						t.Errorf("%s, %+v, cut after %q: %v", k.name, r, tail(c.answer()[:n]), err)
					}
				}
			}
			is.True(s.cuts() >= int64(len(c.answer())))
		})
	}
}
