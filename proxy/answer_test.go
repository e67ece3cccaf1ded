package proxy

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestResponseBytes(t *testing.T) {
	tests := []struct {
		name, method string
		declared     int64
		want         int64
	}{
		{"declared", http.MethodGet, 280_000, 280_000},
		{"not declared", http.MethodGet, -1, 0},
		{"HEAD, which has no body", http.MethodHead, 280_000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := responseBytes(&http.Request{Method: tt.method}, &http.Response{ContentLength: tt.declared})
			is.New(t).Equal(got, tt.want)
		})
	}
}
