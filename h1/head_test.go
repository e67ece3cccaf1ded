package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startOverloaded starts a server with room for some bytes of requests, and returns its address. The
// handler answers once release is closed.
func startOverloaded(t *testing.T, room int64, release <-chan struct{}) (address string, reserved *atomic.Int64) {
	t.Helper()
	reserved = &atomic.Int64{}
	s := New(Config{
		RequestMemory: room,
		ReserveRequest: func(n int, _ bool) bool {
			if reserved.Add(int64(n)) <= room {
				return true
			}
			reserved.Add(-int64(n))
			return false
		},
		ReleaseRequest: func(n int) { reserved.Add(-int64(n)) },
		RefusalHeader:  func([]byte) http.Header { return http.Header{"X-Refused": {"yes"}} },
	}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, strings.Join(r.Header["A"], ""))
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), reserved
}

// TestRequestWithoutRoomIsRefused guards against a request that is handled although there is no room
// for it, and against room that is not given back.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, reserved := startOverloaded(t, 3*requestBytes, release)
	var conns []net.Conn
	for range 4 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		conns = append(conns, c)
	}
	statuses := make(chan int, len(conns))
	for _, c := range conns {
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				statuses <- 0
				return
			}
			if (resp.StatusCode == http.StatusServiceUnavailable) != (resp.Header.Get("X-Refused") == "yes" && resp.Close) {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	is.Equal(<-statuses, http.StatusServiceUnavailable) // while the others are handled
	is.Equal(<-statuses, http.StatusServiceUnavailable) // there is room for two, with their heads
	close(release)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(<-statuses, http.StatusOK)
	for end := time.Now().Add(5 * time.Second); reserved.Load() != 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// TestLongHeadsAreReadWhole guards against bytes that are lost or read twice where a head is longer
// than the buffer and requests follow it.
func TestLongHeadsAreReadWhole(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	close(release)
	address, _ := startOverloaded(t, 64<<20, release)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for round := range 3 {
		text, want := "", []string{}
		for _, lines := range []int{0, 1, 700, 3000, 2, 5000} {
			value := strings.Repeat("v", 1+round)
			text += "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" + strings.Repeat("A: "+value+"\r\n", lines) + "\r\nbod"
			want = append(want, strings.Repeat(value, lines))
		}
		go func() { _, _ = io.WriteString(c, text) }()
		for _, body := range want {
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(got), body)
		}
	}
}

// TestBodyBehindOldRequestIsWhole guards against bytes that are lost where a reader of the connection
// replaces another one: a request with a long head, behind one of HTTP/1.0, ran with a body that lacked a
// part.
func TestBodyBehindOldRequestIsWhole(t *testing.T) {
	for _, lines := range []int{50, 200, 450, 900} {
		is := is.New(t)
		bodies := make(chan string, 1)
		old := make(chan struct{})
		s := New(Config{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/old":
				<-old // its response closes the connection
				return
			case "/":
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				body = []byte(err.Error())
			}
			bodies <- string(body)
		}))
		server, client := net.Pipe()
		go newConn(s, server).serve()
		var body strings.Builder
		for i := range 1000 {
			body.WriteString(strconv.Itoa(i) + ",")
		}
		text := "GET /old HTTP/1.0\r\nConnection: keep-alive\r\n" + strings.Repeat("B: old\r\n", 20) + "\r\n" +
			"POST /new HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(body.Len()) + "\r\n" + strings.Repeat("A: value\r\n", lines) + "\r\n" + body.String()
		go func() { _, _ = io.WriteString(client, text+strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100)) }()
		select {
		case got := <-bodies:
			is.True(got == body.String())
		case <-time.After(5 * time.Second):
			t.Errorf("%d lines: the request behind was not handled", lines)
		}
		close(old)
		_ = client.Close()
	}
}

// TestRequestsAheadWaitForRoom guards against a refusal of what could be handled a moment later: requests
// of one connection for which there is no room wait until those in front have ended.
func TestRequestsAheadWaitForRoom(t *testing.T) {
	const requests = 9
	is := is.New(t)
	release := make(chan struct{})
	address, reserved := startOverloaded(t, 5*requestBytes/2, release)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", requests))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the room is taken
	close(release)
	in := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	for end := time.Now().Add(5 * time.Second); reserved.Load() != 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// TestClientIsNoticedWhileItsRequestWaits guards against requests that go on for a client that has left
// while one of its requests waits for room.
func TestClientIsNoticedWhileItsRequestWaits(t *testing.T) {
	is := is.New(t)
	began, left := make(chan struct{}), make(chan struct{})
	s := New(Config{ReserveRequest: func(_ int, ahead bool) bool { return !ahead }, ReleaseRequest: func(int) {}},
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			<-r.Context().Done()
			close(left)
		}))
	server, client := net.Pipe()
	go newConn(s, server).serve()
	_, err := io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2))
	is.NoErr(err)
	<-began
	is.NoErr(client.Close())
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the request goes on")
	}
}
