package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleServers and garbleShare are the defaults of the bench's garble: half of the servers of a
	// service break off 2 in 100 of their answers.
	garbleServers = 2 // each second one
	garbleShare   = 0.02
	garbleFor     = 5500 * time.Millisecond // the longest one of haenim-mesh
	pairClients   = 12
	pairsFor      = 8 * time.Second
)

// lostBehind has clients send a safe request behind a download. Some servers of the downloads break
// off few of their answers. It is broken if more requests than LOST allows were passed on to a sound
// server and had their connection closed without an answer.
func lostBehind(record string, trouble bool) (int, error) {
	m, err := newHaenim(record, wipeOrBrief)
	if err != nil {
		return cannotDo, err
	}
	defer m.close()
	if trouble {
		shelves := 0
		for _, h := range m.machines {
			if h.service != "manualshelf" {
				continue
			}
			if shelves%garbleServers == 0 {
				h.server.setBreaksOff(func() bool { return rand.Float64() < garbleShare })
			}
			shelves++
		}
	}
	end := time.AfterFunc(garbleFor, m.stopBreakingOff)
	defer end.Stop()
	entry := m.machines[0]
	var served, cut, lost, unrun atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(pairsFor)
	for i := range pairClients {
		clients.Go(func() {
			var c *client
			for n := 0; time.Now().Before(until); n++ {
				if c == nil {
					if c = keptConnection(entry, fmt.Sprintf("first-%d-%d", i, n)); c == nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				first, second := fmt.Sprintf("manual-%d-%d", i, n), fmt.Sprintf("lamp-%d-%d", i, n)
				firstErr, secondErr := c.doPair("/manuals/1", first, second)
				if firstErr == nil && secondErr == nil {
					served.Add(1)
					continue
				}
				_ = c.conn.Close()
				c = nil
				cut.Add(1)
				time.Sleep(50 * time.Millisecond)
				ran := m.ran(second)
				m.note("%s: %v; %s behind it: %v, ran %d times", first, firstErr, second, secondErr, ran)
				switch {
				case ran > 0:
					lost.Add(1)
				default:
					unrun.Add(1)
				}
			}
			if c != nil {
				_ = c.conn.Close()
			}
		})
	}
	clients.Wait()
	m.say("%d pairs answered; %d downloads cut; of the requests behind these %d ran at a sound server and got no answer, %d did not run",
		served.Load(), cut.Load(), lost.Load(), unrun.Load())
	switch {
	case lost.Load() > mostClosed:
		return broken, nil
	case served.Load() == 0:
		return cannotDo, fmt.Errorf("no request was served")
	}
	return held, nil
}

// stopBreakingOff makes all servers sound.
func (m *mesh) stopBreakingOff() {
	for _, h := range m.machines {
		h.server.setBreaksOff(nil)
	}
}

// doPair sends a safe request to a path and a lookup behind it, and reads both answers.
func (c *client) doPair(path, first, second string) (firstErr, secondErr error) {
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	const head = "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\n\r\n"
	text := fmt.Sprintf(head, path, first) + fmt.Sprintf(head, "/lamps/1", second)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err, err
	}
	if err := readAnswer(c.in, first); err != nil {
		return err, err
	}
	return nil, readAnswer(c.in, second)
}

// readAnswer reads the answer to a request to its end.
func readAnswer(in *bufio.Reader, id string) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get("X-Request-Id"); resp.StatusCode == http.StatusOK && got != id {
		return fmt.Errorf("answer to %q", got)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("answer with status %d cut: %w", resp.StatusCode, err)
	}
	return nil
}
