package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	leavers   = 3                      // clients that leave early
	stayers   = 12                     // clients that wait for their answers
	leaveRuns = 6                      // how often each of the leavers does so
	leftBound = 500 * time.Millisecond // the bound of the rule GONE
)

// leaving notes when the clients of requests closed their connections.
type leaving struct {
	mu   sync.Mutex
	left map[string]time.Time // by request
}

// leave sends a number of safe requests on one connection, before the first is answered,
// and closes it 300 ms later.
func (l *leaving) leave(c *client, requests int) error {
	conn, err := net.DialTimeout("tcp", c.node.outbound, time.Second)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	text, ids := "", []string{}
	for range requests {
		id := fmt.Sprintf("q%06d", lastID.Add(1))
		ids = append(ids, id)
		text += fmt.Sprintf("GET /orders/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", host, id)
		c.rec.note("sent %s GET /orders/1 from %s", id, c.node.name)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	time.Sleep(300 * time.Millisecond)
	at := time.Now()
	_ = conn.Close()
	c.rec.note("the client of %s to %s has closed its connection", ids[0], ids[len(ids)-1])
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.left[id] = at
	}
	return nil
}

// leaveEarly: some clients send many safe requests on one connection before the first is
// answered, and close it before their deadline.
func leaveEarly(w *world) (bool, error) {
	const work = 1500 * time.Millisecond
	w.store.configure(7,
		route{name: "r-orders", prefix: "/orders/", kind: "safe", service: orders, timeoutMS: 4000, attempts: 2},
		route{name: "r-books", prefix: "/books/", kind: "safe", service: books, timeoutMS: 1200, attempts: 2})
	entry, _, err := w.addNode(books, "mid-a", work)
	if err != nil {
		return false, err
	}
	for _, zone := range []string{"mid-a", "mid-b", "mid-a", "mid-b", "mid-a", "mid-b"} {
		if _, _, err := w.addNode(orders, zone, work); err != nil {
			return false, err
		}
	}
	if err := awaitReady(readyIn, w.nodes...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than stability_window_ms
	requests := 20
	if !w.trouble {
		requests = 8
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range stayers {
		c := newClient(entry, w.rec)
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = c.send("GET", "/orders/1", "", 4*time.Second)
					time.Sleep(2 * time.Second)
				}
			}
		})
	}
	l := &leaving{left: map[string]time.Time{}}
	c := newClient(entry, w.rec)
	for range leaveRuns {
		for range leavers {
			if err := l.leave(c, requests); err != nil {
				return false, err
			}
			time.Sleep(2200 * time.Millisecond)
		}
	}
	close(stop)
	all.Wait()
	return l.judge(w), nil
}

// judge reports whether the rule GONE was broken.
func (l *leaving) judge(w *world) bool {
	late, worked, running := 0, 0, 0
	for _, u := range w.servers {
		u.mu.Lock()
		for _, r := range u.runs {
			at, left := l.left[r.id]
			bound := at.Add(leftBound)
			switch {
			case !left:
			case r.at.After(bound):
				late++
			case r.at.Add(u.work).After(bound):
				running++
				if end, ok := u.stopped[r.id]; !ok || end.After(bound) {
					worked++
				}
			}
		}
		u.mu.Unlock()
	}
	w.rec.note("of %d requests whose client had left and that would have lasted so long, upstreams were at work on %d half a second later; %d reached an upstream later than that",
		running, worked, late)
	return worked*4 > running
}
