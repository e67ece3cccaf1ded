package h1

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastIdle is the time without progress after which a connection without a request is closed for a
	// new one.
	leastIdle = 200 * time.Millisecond
	// leastStall is the time for which a client takes nothing of a response after which its connection is
	// closed for a new one. Lost packets are sent again earlier.
	leastStall = 2 * time.Second
	// evictDivisor is the divisor of Config.MaxConns that gives how many connections are closed at a
	// time: looking for them takes a look at all. As many are left for those that are closing.
	evictDivisor = 32
	// evictPause is the time after which connections are looked through again. Clients that come back at
	// once would take the processor otherwise.
	evictPause = 10 * time.Millisecond
)

// connState is what decides whether a connection is closed for a new one.
type connState struct {
	busy    bool          // requests of it are at work
	served  bool          // a request of it has been handled
	held    int64         // bytes that it occupies
	idle    time.Duration // time without progress
	stalled time.Duration // time for which the client has taken nothing of a response; zero: none is being sent
}

// evictionRank is the order in which connections are closed. A smaller one goes first.
type evictionRank int

const (
	neverServed evictionRank = iota
	servedIdle
	stalledReader
	notEvicted
)

func (s connState) rank() evictionRank {
	switch {
	case s.busy && s.stalled >= leastStall:
		return stalledReader
	case s.busy || s.idle < leastIdle:
		return notEvicted
	case s.served:
		return servedIdle
	}
	return neverServed
}

// chooseEvicted returns the indices of the connections that are closed so that others find room, at most
// some. Its load is clients that open more connections than there may be: those that never sent a request
// make room first, the ones that hold most before the others. One whose request is at work is closed only
// if its client does not read: the request has run or may run, so nobody could send it again. Of
// connections that have been of use only one is closed at a time.
func chooseEvicted(conns []connState, most int) []int {
	var order []int
	for i, c := range conns {
		if c.rank() != notEvicted {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := conns[i], conns[j]
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.held, a.held), cmp.Compare(max(b.idle, b.stalled), max(a.idle, a.stalled)))
	})
	order = order[:min(len(order), most)]
	for n, i := range order {
		if n > 0 && conns[i].rank() != neverServed {
			return order[:n]
		}
	}
	return order
}

// makeRoom closes connections if there are too many, and reports whether there is room for another one.
// One that is closing counts until its reader has ended.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.cfg.MaxConns
	if most <= 0 {
		return true
	}
	spare := most/evictDivisor + 1
	if now := time.Now(); len(s.conns) >= most-spare && s.closing < spare && !now.Before(s.nextEviction) {
		s.nextEviction = now.Add(evictPause)
		s.evict(now, spare-s.closing)
	}
	return len(s.conns) < most
}

// evict closes up to some connections.
func (s *Server) evict(now time.Time, most int) {
	var conns []*conn
	var states []connState
	for c := range s.conns {
		if !c.evicted {
			conns, states = append(conns, c), append(states, c.state(now))
		}
	}
	for _, i := range chooseEvicted(states, most) {
		if c := conns[i]; c.retire(states[i].busy) {
			c.evicted = true
			s.closing++
			c.abort()
			s.cfg.OnEvicted(1)
		}
	}
}

func (c *conn) state(now time.Time) connState {
	s := connState{
		busy: c.pending.Load() > 0, served: c.served.Load(), held: c.occupied.Load(),
		idle: now.Sub(time.Unix(0, c.progressAt.Load())),
	}
	if since := c.writingSince.Load(); since != 0 {
		s.stalled = now.Sub(time.Unix(0, since))
	}
	return s
}

// retire makes the connection accept no more requests. It returns false if it has requests although
// it is not known to be busy.
func (c *conn) retire(busy bool) bool {
	c.accepting.Lock()
	defer c.accepting.Unlock()
	if !busy && c.pending.Load() > 0 {
		return false
	}
	c.closing.Store(true)
	return true
}

// progress records that a request was read, or that a part of a response was sent.
func (c *conn) progress() { c.progressAt.Store(time.Now().UnixNano()) }
