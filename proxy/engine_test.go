package proxy

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
)

// BenchmarkEngine measures the overhead of gin.
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
// nodes, including both ends. Run it with -benchtime 1x.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 200
	for range b.N {
		var arrived sync.WaitGroup
		arrived.Add(connections)
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived.Done()
			arrived.Wait() // forces each request onto a separate connection
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

// memory returns the memory used by heap and stacks after a garbage collection.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
