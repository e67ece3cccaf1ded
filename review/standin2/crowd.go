package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdFor      = 15 * time.Second
	crowdClients  = 3000
	crowdPause    = 100 * time.Millisecond // until a client of the crowd that was closed comes back
	crowdSources  = 30                     // loopback addresses that the crowd comes from
	ordinaryCount = 6
	// wipeWork is within the work of a wipe-log of haenim-mesh: 160 ms on average, 940 ms at most.
	wipeWork     = 700 * time.Millisecond
	wipeDeadline = 3 * time.Second
	// mostClosed is how often LOST allows the end of a kept connection without an answer.
	mostClosed = 3
)

func wipeOrBrief(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/wipes/") {
		return wipeWork
	}
	return 30 * time.Millisecond
}

// crowdedOut has clients that nobody controls open connections and send nothing, while ordinary
// callers send unsafe requests on kept connections. It is broken if more of these than LOST allows
// ran at a server and had their connection closed without an answer.
func crowdedOut(record string, trouble bool) (int, error) {
	m, err := newHaenim(record, wipeOrBrief)
	if err != nil {
		return cannotDo, err
	}
	defer m.close()
	entry := m.machines[0]
	clients := crowdClients
	if !trouble {
		clients = 0
	}
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	var crowd sync.WaitGroup
	var opened atomic.Int64
	for i := range clients {
		crowd.Go(func() { silentClient(stopped, entry.callers, i, &opened) })
	}
	time.Sleep(2 * time.Second) // all of the crowd is there
	var orders orderCounts
	var ordinary sync.WaitGroup
	until := time.Now().Add(crowdFor)
	for i := range ordinaryCount {
		ordinary.Go(func() { m.sendOrders(entry, i, until, &orders) })
	}
	ordinary.Wait()
	stop()
	crowd.Wait()
	m.say("crowd: %d clients opened %d connections", clients, opened.Load())
	m.say("unsafe requests on kept connections: %d answered with 200, %d with another status; %d ran and their connection was closed without an answer; %d did not run and their connection was closed",
		orders.served.Load(), orders.refused.Load(), orders.lost.Load(), orders.unsent.Load())
	switch {
	case orders.lost.Load() > mostClosed:
		return broken, nil
	case !trouble && orders.served.Load() == 0:
		return cannotDo, fmt.Errorf("no request was served")
	case opened.Load() < int64(clients):
		return cannotDo, fmt.Errorf("only %d of %d clients could connect", opened.Load(), clients)
	}
	return held, nil
}

// silentClient keeps one connection to an address open, and opens it again when it is closed.
func silentClient(ctx context.Context, address string, number int, opened *atomic.Int64) {
	source := net.IPv4(127, 1, 1, byte(10+number%crowdSources))
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: source}}
	wait := time.Duration(number) * time.Second / crowdClients // the crowd comes within a second
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = crowdPause
		c, err := dialer.Dial("tcp", address)
		if err != nil {
			continue
		}
		opened.Add(1)
		closed := context.AfterFunc(ctx, func() { _ = c.Close() })
		_, _ = c.Read(make([]byte, 1))
		closed()
		_ = c.Close()
	}
}

// orderCounts counts unsafe requests by how they ended.
type orderCounts struct{ served, refused, lost, unsent atomic.Int64 }

// sendOrders sends unsafe requests on a kept connection, one after the other, each on a connection
// that has carried a request before.
func (m *mesh) sendOrders(entry *machine, number int, until time.Time, counts *orderCounts) {
	var c *client
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			if c = keptConnection(entry, fmt.Sprintf("first-%d-%d", number, n)); c == nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("order-%d-%d", number, n)
		began := time.Now()
		status, _, err := c.do(http.MethodPost, "/wipes/1", id, wipeDeadline)
		took := time.Since(began)
		ran := m.ran(id)
		m.note("%s: status %d after %d ms, error %v, ran %d times", id, status, took.Milliseconds(), err, ran)
		switch {
		case err == nil && status == http.StatusOK:
			counts.served.Add(1)
		case err == nil:
			counts.refused.Add(1)
		case ran > 0:
			counts.lost.Add(1)
		default:
			counts.unsent.Add(1)
		}
		if err != nil {
			_ = c.conn.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// keptConnection returns a connection that has carried a request, nil if that got no answer.
func keptConnection(entry *machine, id string) *client {
	c, err := dialClient(entry.callers)
	if err != nil {
		return nil
	}
	if status, _, err := c.do(http.MethodGet, "/lamps/1", id, 2500*time.Millisecond); err != nil || status != http.StatusOK {
		_ = c.conn.Close()
		return nil
	}
	return c
}

// ran returns how often a request has run at all backend servers together.
func (m *mesh) ran(id string) int {
	times := 0
	for _, h := range m.machines {
		times += h.server.ran(id)
	}
	return times
}
