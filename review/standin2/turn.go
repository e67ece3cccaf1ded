package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	usualWork = 120 * time.Millisecond // lamp-lookup of haenim-mesh, on average; manual-fetch has 96 ms
	slowBy    = 12                     // x of srv_slow in haenim-mesh
	slowFor   = 9 * time.Second        // the longest one of haenim-mesh with that x
	turnFor   = 12 * time.Second
	turnCount = 16 // clients
)

func usual(*http.Request) time.Duration { return usualWork }

// lostTurn has clients send a lookup behind a download while one of three servers of the downloads is
// slow. It is broken if more lookups than LOST allows were passed on to a sound server and had their
// connection closed without an answer, although the download in front was answered.
func lostTurn(record string, trouble bool) (int, error) {
	m, err := newMeshOf(record, usual, []placed{
		{"gyeongnam-a", "manualshelf"}, {"gyeongnam-b", "manualshelf"}, {"gyeongnam-c", "manualshelf"},
		{"gyeongnam-a", "wipeledger"}, {"gyeongnam-b", "lampbook"}, {"gyeongnam-a", "lampbook"},
	})
	if err != nil {
		return cannotDo, err
	}
	defer m.close()
	slow := m.machines[0]
	if trouble {
		slow.server.setWork(func(*http.Request) time.Duration { return slowBy * usualWork })
		end := time.AfterFunc(slowFor, func() { slow.server.setWork(usual) })
		defer end.Stop()
	}
	entry := m.machines[3]
	var served, failed, lost, unrun atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(turnFor)
	for i := range turnCount {
		clients.Go(func() {
			var c *client
			for n := 0; time.Now().Before(until); n++ {
				if c == nil {
					if c = keptConnection(entry, fmt.Sprintf("first-%d-%d", i, n)); c == nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				front, behind := fmt.Sprintf("front-%d-%d", i, n), fmt.Sprintf("behind-%d-%d", i, n)
				began := time.Now()
				frontErr, behindErr := c.doPair("/manuals/1", front, behind)
				if frontErr == nil && behindErr == nil {
					served.Add(1)
					continue
				}
				took := time.Since(began)
				_ = c.conn.Close()
				c = nil
				time.Sleep(2 * time.Second) // both have ended at their servers
				ran := m.ran(behind)
				m.note("%s: error %v; %s: error %v after %d ms, ran %d times", front, frontErr, behind, behindErr, took.Milliseconds(), ran)
				switch {
				case frontErr != nil:
					failed.Add(1)
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
	m.say("%d pairs answered; in %d the download got no answer; of the lookups behind one that was answered %d ran at a sound server and got no answer, %d did not run",
		served.Load(), failed.Load(), lost.Load(), unrun.Load())
	switch {
	case lost.Load() > mostClosed:
		return broken, nil
	case served.Load() == 0:
		return cannotDo, fmt.Errorf("no request was served")
	}
	return held, nil
}
