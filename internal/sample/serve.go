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

// MaxResponseBytes bounds the size that a request may ask for.
const MaxResponseBytes = 64 << 20

// Fault is what goes wrong with one request. The zero value is none.
type Fault struct {
	Shed       bool          // answered 503, not run
	HangBefore bool          // neither run nor answered until Release or the end
	Delay      time.Duration // added to the run
	HangAfter  bool          // run, but not answered until Release or the end
	Drop       bool          // run, then the connection is closed without an answer
	Cut        bool          // run, then the connection is closed amid the answer
}

// responseBody is the body of an answer.
type responseBody struct {
	Service       string `json:"service"`
	BackendServer string `json:"backendServer"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	Item          string `json:"item"`
	Bytes         int    `json:"bytes"` // of the request's body
	Run           int64  `json:"run"`
	Padding       string `json:"padding,omitempty"`
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

func (b *Backend) hang(r *http.Request) {
	select {
	case <-b.released():
	case <-r.Context().Done():
	}
}

// writeResponse writes an answer. The query asks for its form: answerBytes=N pads
// it, chunked=true leaves its length out.
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
