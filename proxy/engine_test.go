package proxy

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
)

// BenchmarkEngine measures what gin adds to a handler.
func BenchmarkEngine(b *testing.B) {
	handler := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	for name, h := range map[string]http.Handler{"plain": http.HandlerFunc(handler), "gin": engine(handler)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			r := httptest.NewRequest(http.MethodGet, "/orders/7", nil)
			w := httptest.NewRecorder()
			for b.Loop() {
				h.ServeHTTP(w, r)
			}
		})
	}
}

// BenchmarkIdleConnection measures the memory of an idle connection between
// nodes, both ends included. Run it with -benchtime 1x.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 200
	for range b.N {
		var arrived sync.WaitGroup
		arrived.Add(connections)
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived.Done()
			arrived.Wait() // so that each needs a connection of its own
		}))
		transport := newTransport(dialTCP, 0)
		before := memory()
		var sent sync.WaitGroup
		for range connections {
			sent.Go(func() {
				resp, err := transport.RoundTrip(httptest.NewRequest(http.MethodGet, server.URL, nil))
				if err != nil {
					b.Error(err)
					return
				}
				_ = resp.Body.Close()
			})
		}
		sent.Wait()
		b.ReportMetric(float64(memory()-before)/connections, "B/connection")
		transport.CloseIdleConnections()
		server.Close()
	}
	b.ReportMetric(0, "ns/op")
}

// memory returns what heap and stacks take after a collection.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
