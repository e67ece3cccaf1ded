package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	oldClients = 20
	// The first request's head is padded to some 3 kB, and the second one's to some 7 kB:
	// max_header_bytes is 16,384.
	firstPad, secondPad = 3000, 7000
	secondBody          = 6000
)

// changedBody has clients that nobody controls send a request of HTTP/1.0, and behind it, before its
// answer, a safe request with a body. It is broken if a backend server ran that with another body.
func changedBody(record string, trouble bool) (int, error) {
	m, err := newHaenim(record, wipeOrBrief)
	if err != nil {
		return cannotDo, err
	}
	defer m.close()
	version := "HTTP/1.0"
	if !trouble {
		version = "HTTP/1.1"
	}
	entry := m.machines[0]
	changed, whole, unrun := 0, 0, 0
	for i := range oldClients {
		first, second := fmt.Sprintf("first-%d", i), fmt.Sprintf("second-%d", i)
		body := bodyOf(second)
		text := fmt.Sprintf("GET /lamps/1 %s\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nX-Pad: %s\r\n\r\n", version, first, strings.Repeat("p", firstPad)) +
			fmt.Sprintf("POST /lamps/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nContent-Length: %d\r\nX-Pad: %s\r\n\r\n%s", second, len(body), strings.Repeat("p", secondPad), body)
		for n := range 40 { // what follows is as legal
			text += fmt.Sprintf("GET /lamps/3 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: third-%d-%d\r\nX-Deadline-Ms: 2500\r\n\r\n", i, n)
		}
		answers, err := exchange(entry.callers, text)
		if err != nil {
			return cannotDo, err
		}
		m.note("%s behind a request of %s: client got %d bytes of answers, the first %.40q", second, version, len(answers), answers)
		time.Sleep(200 * time.Millisecond)
		bodies := m.bodies(second)
		switch {
		case len(bodies) == 0:
			unrun++
		case sameAll(bodies, body):
			whole++
		default:
			changed++
		}
		for _, got := range bodies {
			at := firstDifference(got, body)
			m.note("%s ran with a body of %d bytes, as sent up to byte %d of %d; from there on: %.120q", second, len(got), at, len(body), got[at:])
		}
	}
	m.say("second requests of %d clients: %d ran with the body that was sent, %d with another one, %d did not run", oldClients, whole, changed, unrun)
	switch {
	case changed > 0:
		return broken, nil
	case !trouble && whole == 0:
		return cannotDo, fmt.Errorf("no request ran")
	}
	return held, nil
}

// bodyOf returns a body of which each line is another one.
func bodyOf(id string) string {
	var b strings.Builder
	for i := 0; b.Len() < secondBody; i++ {
		fmt.Fprintf(&b, "line %d of %s\n", i, id)
	}
	return b.String()
}

// exchange sends text over a new connection and returns what comes back until it is closed.
func exchange(address, text string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return "", nil // closing the connection is allowed
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	answers, _ := io.ReadAll(c)
	return string(answers), nil
}

func sameAll(bodies []string, want string) bool {
	for _, b := range bodies {
		if b != want {
			return false
		}
	}
	return true
}

func firstDifference(a, b string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// bodies returns the bodies with which a request has run at all backend servers.
func (m *mesh) bodies(id string) []string {
	var out []string
	for _, h := range m.machines {
		h.server.mu.Lock()
		out = append(out, h.server.bodies[id]...)
		h.server.mu.Unlock()
	}
	return out
}
