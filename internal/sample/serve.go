package sample

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxResponseBytes is the largest padding of a response that a request may ask for.
const MaxResponseBytes = 64 << 20

// Fault is a fault injected into one request. The zero value is none.
type Fault struct {
	Shed       bool          // responds with status 503 without a run
	HangBefore bool          // hangs without a run or a response until Release, Close or the end of the request
	Delay      time.Duration // added to the duration of the run
	HangAfter  bool          // runs, then hangs without a response until Release, Close or the end of the request
	Drop       bool          // runs, then closes the connection without a response
	Cut        bool          // runs, then closes the connection in the middle of the response
}

// responseBody is the JSON body of a response.
type responseBody struct {
	Service       string `json:"service"`
	BackendServer string `json:"backendServer"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	Item          string `json:"item"`
	Bytes         int    `json:"bytes"`             // size of the request's body
	Run           int64  `json:"run"`               // number of the run on this backend server, from 1
	Padding       string `json:"padding,omitempty"` // as long as the query parameter answerBytes asks for
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case HealthPath:
		if b.health.Load().Unhealthy {
			http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		}
		return
	case LoadPath:
		_, _ = fmt.Fprintln(w, b.health.Load().Load)
		return
	}
	f := (*b.fault.Load())(r)
	switch {
	case f.Shed:
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	case f.HangBefore:
		b.hang(r)
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.run(w, r, body, f)
}

// run records the run of a request, and responds unless the fault prevents it.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, body []byte, f Fault) {
	n := b.runCount.Add(1)
	id := r.Header.Get(HeaderID)
	b.runs.add(id, Run{
		BackendServer: b.Name, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header,
		BodyChecksum: crc32.ChecksumIEEE(body), At: time.Now(),
	})
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	switch {
	case f.HangAfter:
		b.hang(r)
		panic(http.ErrAbortHandler)
	case f.Drop:
		panic(http.ErrAbortHandler)
	}
	b.writeResponse(w, r, responseBody{
		Service: b.Service, BackendServer: b.Name, Method: r.Method, Path: r.URL.Path,
		Item: r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], Bytes: len(body), Run: n,
	}, f.Cut)
}

// hang blocks until Release, Close or the end of the request.
func (b *Backend) hang(r *http.Request) {
	select {
	case <-b.released():
	case <-r.Context().Done():
	}
}

// writeResponse writes a response. Its form depends on the query: status=N responds
// with that status and no body, answerBytes=N pads the body with N bytes,
// chunked=true omits the Content-Length, and trailer=T adds a trailer. If cut is
// true, the connection is closed after half of the body.
func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, resp responseBody, cut bool) {
	q := r.URL.Query()
	if status, err := strconv.Atoi(q.Get("status")); err == nil && status >= 200 && status <= 599 {
		w.WriteHeader(status)
		return
	}
	if n, err := strconv.Atoi(q.Get("answerBytes")); err == nil {
		resp.Padding = strings.Repeat("x", min(max(n, 0), MaxResponseBytes))
	}
	data, err := json.Marshal(resp)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	data = append(data, '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderChecksum, strconv.FormatUint(uint64(crc32.ChecksumIEEE(data)), 16))
	if id := r.Header.Get(HeaderID); id != "" {
		h.Set(HeaderID, id)
	}
	if q.Get("chunked") == "" {
		h.Set("Content-Length", strconv.Itoa(len(data)))
	}
	if t := q.Get("trailer"); t != "" {
		h.Set("Trailer", "Answer-Trailer")
		defer h.Set("Answer-Trailer", t)
	}
	if !cut {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
