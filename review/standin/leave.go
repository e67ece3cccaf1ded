package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// leaveEarly: clients send many safe requests on one connection before the first is
// answered, and close it.
func leaveEarly(w *world) (bool, error) {
	w.store.configure(7,
		route{name: "r-orders", prefix: "/orders/", kind: "safe", service: orders, timeoutMS: 5000, attempts: 2},
		route{name: "r-books", prefix: "/books/", kind: "safe", service: books, timeoutMS: 1200, attempts: 2})
	entry, _, err := w.addNode(books, "mid-a", 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	for _, zone := range []string{"mid-a", "mid-b", "mid-a", "mid-b"} {
		if _, _, err := w.addNode(orders, zone, 1500*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := awaitReady(readyIn, w.nodes...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	pipelined := 20
	if !w.trouble {
		pipelined = 10
	}
	var mu sync.Mutex
	left := map[string]time.Time{}
	total := 0
	for range 8 {
		var clients sync.WaitGroup
		for range 1 {
			clients.Go(func() {
				conn, err := net.DialTimeout("tcp", entry.outbound, time.Second)
				if err != nil {
					return
				}
				text, ids := "", []string{}
				for range pipelined {
					id := fmt.Sprintf("q%06d", lastID.Add(1))
					ids = append(ids, id)
					text += fmt.Sprintf("GET /orders/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", host, id)
					w.rec.note("sent %s", id)
				}
				_, _ = io.WriteString(conn, text)
				time.Sleep(300 * time.Millisecond)
				mu.Lock()
				for _, id := range ids {
					left[id] = time.Now()
					total++
				}
				mu.Unlock()
				_ = conn.Close()
				w.rec.note("client of %s to %s left", ids[0], ids[len(ids)-1])
			})
		}
		clients.Wait()
		time.Sleep(2500 * time.Millisecond)
	}
	late, worked, would := 0, 0, 0
	for _, u := range w.servers {
		u.mu.Lock()
		for _, r := range u.runs {
			at, ok := left[r.id]
			if !ok {
				continue
			}
			if r.at.After(at.Add(500 * time.Millisecond)) {
				late++
				continue
			}
			would++
			if end, ok := u.stopped[r.id]; !ok || end.After(at.Add(500*time.Millisecond)) {
				worked++
			}
		}
		u.mu.Unlock()
	}
	w.rec.note("%d reached late, of %d running at the time %d were still worked on half a second later", late, would, worked)
	return worked*4 > would, nil
}
