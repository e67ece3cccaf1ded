package main

import "time"

const (
	orders = "orders"
	books  = "books"
)

// startPair starts two nodes with an upstream of the service orders each, and one of the
// service books, from whose machine the clients send.
func (w *world) startPair(work time.Duration) (entry *node, leaving, stays *upstream, err error) {
	w.store.configure(7,
		route{name: "r-orders", prefix: "/orders/", kind: "unsafe", service: orders, timeoutMS: 1500, attempts: 2},
		route{name: "r-books", prefix: "/books/", kind: "safe", service: books, timeoutMS: 1200, attempts: 2})
	if entry, _, err = w.addNode(books, "mid-a", work); err != nil {
		return nil, nil, nil, err
	}
	if _, leaving, err = w.addNode(orders, "mid-a", work); err != nil {
		return nil, nil, nil, err
	}
	if _, stays, err = w.addNode(orders, "mid-b", work); err != nil {
		return nil, nil, nil, err
	}
	if err := awaitReady(readyIn, w.nodes...); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(4 * time.Second) // longer than stability_window_ms
	return entry, leaving, stays, nil
}

// orderLoop sends an order each period until stop is closed, and returns the answers.
func orderLoop(c *client, period time.Duration, stop <-chan struct{}) <-chan []answer {
	out := make(chan []answer, 1)
	go func() {
		var answers []answer
		got := make(chan answer, 10000)
		sent := 0
		tick := time.NewTicker(period)
		defer tick.Stop()
		for open := true; open; {
			select {
			case <-tick.C:
				sent++
				go func() { got <- c.send("POST", "/orders/new", "flour", 3*time.Second) }()
			case <-stop:
				open = false
			}
		}
		for range sent {
			answers = append(answers, <-got)
		}
		out <- answers
	}()
	return out
}

// stabilityWindow is stability_window_ms: a machine is in touch once its process has run so long.
const stabilityWindow = 3 * time.Second

// judgeDrain reports whether the rule DRAIN was broken: a request reached an upstream later
// than drain_ms after a machine acknowledged that it leaves. Only requests count that came
// when that machine was in touch; its process was started at a time (zero: long before).
func (w *world) judgeDrain(u *upstream, acknowledged, started time.Time, answers []answer) bool {
	from := acknowledged.Add(drainMS * time.Millisecond)
	if inTouch := started.Add(stabilityWindow); inTouch.After(from) {
		from = inTouch
	}
	late := u.runsAfter(from)
	for _, r := range late {
		w.rec.note("request %s reached %s %s after the acknowledgement that it leaves", r.id, u.id, millis(r.at.Sub(acknowledged)))
	}
	for _, a := range answers {
		if a.status/100 != 2 {
			w.rec.note("order %s was not served: status %d, error %v, after %s", a.id, a.status, a.err, millis(a.took))
		}
	}
	w.rec.note("%d orders were sent, %d reached %s too late", len(answers), len(late), u.id)
	return len(late) > 0
}

// lateBeat: an upstream leaves, and its node acknowledges that. The node's process is
// killed and starts again. A heartbeat from before arrives seconds late.
func lateBeat(w *world) (bool, error) {
	entry, u, _, err := w.startPair(700 * time.Millisecond)
	if err != nil {
		return false, err
	}
	late := u.beatBody() // sent now, held up on its way
	u.silence()          // it is about to leave and sends no more heartbeats
	u.leaves()
	if !u.say("deregister", map[string]any{"born": u.born}) {
		return false, errNoAck
	}
	acknowledged := time.Now()
	w.rec.note("%s is acknowledged as leaving", u.id)
	stop := make(chan struct{})
	answers := orderLoop(newClient(entry, w.rec), 200*time.Millisecond, stop)
	time.Sleep(500 * time.Millisecond)
	started := time.Time{}
	if w.trouble {
		u.node.kill()
		w.rec.note("process of %s killed", u.node.name)
		time.Sleep(500 * time.Millisecond)
		if err := u.node.start(false); err != nil {
			return false, err
		}
		w.rec.note("process of %s started again", u.node.name)
		if err := awaitReady(readyIn, u.node); err != nil {
			return false, err
		}
		started = time.Now() // not before it is ready
		w.rec.note("%s is ready", u.node.name)
	}
	time.Sleep(time.Until(acknowledged.Add(5 * time.Second)))
	_ = u.say("heartbeat", late)
	time.Sleep(900 * time.Millisecond)
	u.exit()
	w.rec.note("%s has ended", u.id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	return w.judgeDrain(u, acknowledged, started, <-answers), nil
}

// otherWriter: a heartbeat from another writer, with a field missing, arrives. Then the
// upstream reports that it is draining.
func otherWriter(w *world) (bool, error) {
	entry, u, _, err := w.startPair(300 * time.Millisecond)
	if err != nil {
		return false, err
	}
	if w.trouble {
		forged := u.beatBody()
		delete(forged, "address")
		forged["sequence"] = 4000
		_ = u.say("heartbeat", forged)
	}
	time.Sleep(2 * time.Second)
	u.setState("draining")
	u.leaves()
	if !u.say("heartbeat", u.beatBody()) {
		return false, errNoAck
	}
	acknowledged := time.Now()
	w.rec.note("%s is acknowledged as draining", u.id)
	time.Sleep(2500 * time.Millisecond)
	stop := make(chan struct{})
	answers := orderLoop(newClient(entry, w.rec), 100*time.Millisecond, stop)
	time.Sleep(350 * time.Millisecond)
	u.silence()
	_ = u.say("deregister", map[string]any{"born": u.born})
	u.exit()
	w.rec.note("%s has ended", u.id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	return w.judgeDrain(u, acknowledged, time.Time{}, <-answers), nil
}
