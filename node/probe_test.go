package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
	"github.com/agatekeel/agatekeel/settings"
)

// TestProbeReadsWhoAnswers probes health endpoints at the path of the settings and at another one.
func TestProbeReadsWhoAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Who", "i-1")
		switch r.URL.Path {
		case "/settings":
		case "/leaves":
			w.Header().Set("Goes", "1")
		case "/stays":
			w.Header().Set("Goes", "0")
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	s := settings.Settings{Backend: settings.Backend{Address: address, HealthPath: "/settings"}}
	named := newProber(s, proxy.Names{Instance: "Who", Leaving: "Goes"})
	for path, want := range map[string]core.BackendProbed{
		"":        {OK: true, Backend: "i-1"},
		"/leaves": {OK: true, Backend: "i-1", Leaving: true},
		"/stays":  {OK: true, Backend: "i-1"},
		"/other":  {Backend: "i-1"},
	} {
		is.New(t).Equal(named.Probe(t.Context(), path), want)
	}
	is.New(t).Equal(newProber(s, proxy.DefaultNames).Probe(t.Context(), ""), core.BackendProbed{OK: true})
	server.Close()
	is.New(t).Equal(named.Probe(t.Context(), ""), core.BackendProbed{Refused: true})
}
