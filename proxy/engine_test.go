package proxy

import (
	"net/http"
	"net/http/httptest"
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
