package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// do sends a request to node i and returns the response with its body read.
func (m *mesh) do(i int, method, path, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, "http://"+m.nodes[i].callers+path, strings.NewReader(body))
	m.must(err)
	for j := 0; j+1 < len(header); j += 2 {
		req.Header.Set(header[j], header[j+1])
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func TestCallReachesTheBackendServerUnchanged(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	id := m.id()
	resp, _, err := m.do(0, "POST", "/a%2Fb//c%20d?q=%2F&r", "flour", sample.HeaderID, id,
		"Agatekeel-Attempt", "1-1", "Agatekeel-Hop", "1-1 0 1 1 0-0", "Agatekeel-Outcome", "not-run", "Connection", "X-Own", "X-Own", "mine", "X-Kept", "yes")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get(sample.HeaderID), id)
	runs := m.runs.ForID(id)
	is.Equal(len(runs), 1)
	is.Equal(runs[0].URI, "/a%2Fb//c%20d?q=%2F&r")
	is.Equal(runs[0].Host, m.nodes[0].callers)
	is.Equal(runs[0].Header.Get("X-Kept"), "yes")
	is.Equal(runs[0].Header.Get("X-Own"), "") // dropped, because Connection names it
	for k := range runs[0].Header {
		if strings.HasPrefix(k, "Agatekeel-") {
			is.True(k == "Agatekeel-Depth" || k == "Agatekeel-Timeout-Millis")
		}
	}
	for k := range resp.Header {
		is.True(!strings.HasPrefix(k, "Agatekeel-")) // responses carry no internal header
	}
}

// TestConfiguredLimitsApplyToCallers checks that the configured limits apply to
// callers.
func TestConfiguredLimitsApplyToCallers(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "orders")
	m.apply(config.Object{Kind: config.KindLimits, Name: "callers", Spec: []byte(`{"maxBodyBytes":10,"maxHeaderBytes":2048}`)})
	for _, tt := range []struct {
		body, header string
		status       int
	}{
		{strings.Repeat("x", 10), "", http.StatusOK},
		{strings.Repeat("x", 11), "", http.StatusRequestEntityTooLarge},
		{"", strings.Repeat("x", 4096), http.StatusRequestHeaderFieldsTooLarge},
	} {
		m.eventually("the limits apply", func() bool {
			req, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[0].callers+"/x", strings.NewReader(tt.body))
			is.NoErr(err)
			req.Header.Set("X-Long", tt.header)
			resp, err := m.client.Do(req)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == tt.status
		})
	}
}

func TestEntryNodeRejectsInvalidRequests(t *testing.T) {
	m := newMesh(t, nil, "", "orders")
	big := strings.Repeat("x", 128<<10)
	for _, tc := range []struct {
		name, method string
		header       []string
		status       int
	}{
		{"upgrade", "GET", []string{"Connection", "Upgrade", "Upgrade", "websocket"}, http.StatusNotImplemented},
		{"bad timeout", "GET", []string{"Agatekeel-Timeout-Millis", "soon"}, http.StatusBadRequest},
		{"nested too deep", "GET", []string{"Agatekeel-Depth", "16"}, http.StatusLoopDetected},
		{"header too large", "GET", []string{"X-Big", big}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			id := m.id()
			resp, body, err := m.do(0, tc.method, "/", "", append(tc.header, sample.HeaderID, id)...)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.True(body != "") // the body gives the reason
			if tc.status != http.StatusRequestHeaderFieldsTooLarge {
				is.Equal(resp.Header.Get("Agatekeel-Outcome"), "not-run")
			}
			is.Equal(len(m.runs.ForID(id)), 0)
		})
	}
}

func TestSilentConnectionIsDetectedAndReplaced(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	_, _, err := m.do(0, "GET", "/", "")
	is.NoErr(err)
	m.nodes[1].hopListener.silence()
	for i := range 3 {
		id := m.id()
		resp, _, err := m.do(0, "POST", "/once", fmt.Sprint(i), sample.HeaderID, id)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK) // the node did not receive it over the silent connection, so it was sent again
		is.Equal(len(m.runs.ForID(id)), 1)
	}
}

func TestResponseIsRelayedUnchanged(t *testing.T) {
	m := newMesh(t, nil, "", "orders")
	for _, path := range []string{"/x?status=404", "/x?status=204", "/x?status=304", "/x?status=500", "/x", "/x?chunked=true"} {
		for _, method := range []string{"GET", "HEAD", "POST", "DELETE"} {
			t.Run(method+path, func(t *testing.T) {
				is := is.New(t)
				resp, body, err := m.do(0, method, path, "")
				is.NoErr(err)
				req, err := http.NewRequest(method, "http://"+m.nodes[1].backend.Address()+path, nil)
				is.NoErr(err)
				direct, err := m.client.Do(req)
				is.NoErr(err)
				defer func() { _ = direct.Body.Close() }()
				want, err := io.ReadAll(direct.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, direct.StatusCode)
				is.Equal(withoutRunCount(body), withoutRunCount(string(want)))
				for _, h := range []http.Header{resp.Header, direct.Header} {
					h.Del("Date")
					h.Del(sample.HeaderChecksum)
				}
				is.Equal(resp.Header, direct.Header)
				is.Equal(resp.ContentLength < 0, direct.ContentLength < 0)
			})
		}
	}
}

// withoutRunCount returns the body of a response up to the number of runs.
func withoutRunCount(s string) string {
	before, _, _ := strings.Cut(s, `"run":`)
	return before
}

// TestEncodedAnswerIsUnpacked guards against an answer whose body is not the backend server's, since
// a node asked for an encoding that the caller did not ask for, and undid it.
func TestEncodedAnswerIsUnpacked(t *testing.T) {
	is := is.New(t)
	const packed = "\x1f\x8b no such thing"
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Asked-For", r.Header.Get("Accept-Encoding"))
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, packed)
	}))
	t.Cleanup(backend.Close)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.Backend != "" {
			p.Backend = strings.TrimPrefix(backend.URL, "http://")
		}
	}, "", "orders")
	for node := range m.nodes {
		resp, body, err := m.do(node, http.MethodGet, "/", "")
		is.NoErr(err)
		is.Equal(resp.Header.Get("Asked-For"), "")
		is.Equal(resp.Header.Get("Content-Encoding"), "gzip")
		is.Equal(body, packed)
	}
}
