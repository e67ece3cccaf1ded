package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: f, began: time.Now()}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// answer is what a client got.
type answer struct {
	id       string
	status   int // zero: none
	stamp    string
	body     string
	err      error
	sent     time.Time
	took     time.Duration
	complete bool
}

// client sends requests to a node's outbound address.
type client struct {
	node *node
	rec  *record
	http http.Client
}

var lastID atomic.Int64

func newClient(n *node, rec *record) *client {
	return &client{node: n, rec: rec, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request with a new ID and waits for the answer until its deadline.
func (c *client) send(method, path, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("q%06d", lastID.Add(1)), sent: time.Now()}
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+c.node.outbound+path, content)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.GetBody = nil
	clientOf := c.http
	clientOf.Timeout = deadline
	c.rec.note("sent %s %s %s from %s", a.id, method, path, c.node.name)
	resp, err := clientOf.Do(req)
	if err == nil {
		var data []byte
		data, err = readAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), string(data)
	}
	a.err, a.complete, a.took = err, err == nil, time.Since(a.sent)
	c.rec.note("answer %s: status %d, stamp %q, error %v, after %s", a.id, a.status, a.stamp, err, millis(a.took))
	return a
}

// readAll reads the body of an answer. Of a long one it keeps the beginning.
func readAll(body io.Reader) ([]byte, error) {
	const kept = 64 << 10
	var data []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if len(data) < kept {
			data = append(data, buf[:n]...)
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
