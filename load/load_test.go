package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/load"
)

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		in, class, method, path, body string
		invalid                       bool
	}{
		{in: "GET /a", class: "GET /a", method: "GET", path: "/a"},
		{in: `orders=POST /orders {"flour": 2}`, class: "orders", method: "POST", path: "/orders", body: `{"flour": 2}`},
		{in: "GET", invalid: true},
		{in: "get /a", invalid: true},
		{in: "GET a", invalid: true},
	} {
		t.Run(tc.in, func(t *testing.T) {
			is := is.New(t)
			r, err := load.ParseRequest(tc.in)
			is.Equal(err != nil, tc.invalid)
			is.Equal([]string{r.Class, r.Method, r.Path, string(r.Body)}, []string{tc.class, tc.method, tc.path, tc.body})
		})
	}
}

func TestReportSeparatesOutcomes(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/not-run":
			w.Header().Set("Agatekeel-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/unknown":
			w.Header().Set("Agatekeel-Outcome", "unknown")
			w.WriteHeader(http.StatusBadGateway)
		case "/status":
			w.WriteHeader(http.StatusNotFound)
		case "/truncated":
			w.Header().Set("Content-Length", "10")
			w.WriteHeader(http.StatusOK)
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	cfg := load.Config{
		Targets: []string{server.URL}, Rate: 5000, Duration: 10 * time.Millisecond, Timeout: 10 * time.Second, InFlight: 4,
	}
	for _, path := range []string{"/ok", "/not-run", "/unknown", "/status", "/truncated"} {
		cfg.Requests = append(cfg.Requests, load.Request{Class: path, Method: "GET", Path: path})
	}
	report, err := load.Run(context.Background(), cfg)
	is.NoErr(err)
	is.Equal(report.Requests, int64(50))
	is.Equal(report.ErrorShare, 0.8)
	got := map[string][5]int64{}
	for _, c := range report.Classes {
		got[c.Class] = [5]int64{c.OK, c.NotRun, c.Unknown, c.Status, c.Failed}
	}
	is.Equal(got, map[string][5]int64{
		"/ok": {10}, "/not-run": {0, 10}, "/unknown": {0, 0, 10}, "/status": {0, 0, 0, 10}, "/truncated": {0, 0, 0, 0, 10},
	})
}

// Requests that become due while the server stalls must count as delayed.
func TestStallCountsAgainstDelayedRequests(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls == 1 {
			time.Sleep(200 * time.Millisecond)
		}
	}))
	defer server.Close()
	report, err := load.Run(context.Background(), load.Config{
		Targets: []string{server.URL}, Rate: 1000, Duration: 100 * time.Millisecond, Timeout: 10 * time.Second, InFlight: 1,
		Requests: []load.Request{{Class: "all", Method: "GET", Path: "/"}},
	})
	is.NoErr(err)
	c := report.Classes[0]
	is.Equal(c.OK, int64(100))
	is.True(c.Latency.P50 > 50_000)        // each request waited for the first
	is.True(c.Service.P50 < c.Latency.P50) // measured from sending, only one request was slow
}
