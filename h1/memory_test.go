package h1_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

// TestMemoryOfUnhandledRequestsIsFreed has clients leave while requests of theirs, whose bodies have
// come, wait for others.
func TestMemoryOfUnhandledRequestsIsFreed(t *testing.T) {
	is := is.New(t)
	var reserved atomic.Int64
	for range 5 {
		arrived := make(chan bool, 1)
		_, c := start(t, h1.Config{
			MaxPipelined: 1,
			Reserve:      func(n int) bool { reserved.Add(int64(n)); return true },
			Release:      func(n int) { reserved.Add(-int64(n)) },
		}, func(_ http.ResponseWriter, r *http.Request) {
			arrived <- true
			<-r.Context().Done()
		})
		_, err := io.WriteString(c, strings.Repeat("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", 2))
		is.NoErr(err)
		receive(t, arrived, "a request")
		time.Sleep(20 * time.Millisecond)
		is.NoErr(c.Close())
	}
	for end := time.Now().Add(5 * time.Second); reserved.Load() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(reserved.Load(), int64(0))
}

// TestBuffersTakeMoreThanTheirMemory sends requests behind a slow one, some with bodies. What is
// buffered of bodies and responses stays within the memory, all responses come whole and in
// order, and the memory is free again afterwards.
func TestBuffersTakeMoreThanTheirMemory(t *testing.T) {
	for _, tt := range []struct{ body, response int }{{30_000, 30_000}, {30_000, 0}, {0, 30_000}} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) { testBuffers(t, tt.body, tt.response) })
	}
}

func testBuffers(t *testing.T, size, response int) {
	const limit, requests = 100_000, 12
	is := is.New(t)
	var reserved, most atomic.Int64
	slow := make(chan struct{})
	_, c := start(t, h1.Config{
		Reserve: func(n int) bool {
			now := reserved.Add(int64(n))
			if now > limit {
				reserved.Add(-int64(n))
				return false
			}
			most.Store(max(most.Load(), now))
			return true
		},
		Release: func(n int) { reserved.Add(-int64(n)) },
	}, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) != size {
			t.Errorf("body of %d bytes: %v", len(body), err)
		}
		if r.URL.Path == "/0" {
			<-slow
		}
		_, _ = io.WriteString(w, r.URL.Path+strings.Repeat("x", response))
	})
	go func() {
		for i := range requests {
			_, _ = fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", i, size, strings.Repeat("y", size))
		}
	}()
	time.Sleep(300 * time.Millisecond)
	is.True(most.Load() > limit/2) // it is used
	close(slow)
	in := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprintf("/%d", i)+strings.Repeat("x", response))
	}
	for end := time.Now().Add(5 * time.Second); reserved.Load() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(reserved.Load(), int64(0))
}
