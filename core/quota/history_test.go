package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testLease     = 900 * time.Millisecond
	testHeartbeat = 300 * time.Millisecond
	testWindow    = 5 * time.Second
	testStep      = 10 * time.Millisecond
)

func testConfig() Config {
	return Config{Lease: testLease, AskTimeout: 300 * time.Millisecond, Window: testWindow, Overage: 0.1, Slack: 20}
}

// mesh is a number of ledgers in trees that change, with messages that are late, lost or doubled.
type mesh struct {
	rng    *rand.Rand
	start  time.Time
	now    time.Time
	nodes  []*node
	limits map[string]Limit
	mail   []mail
	peers  Peer
	grants map[string][]time.Time // by account
	last   Waiter
	faults faults
	slow   time.Duration // longest time that a message takes

	silence time.Duration // longest time after which the end of a link is noticed at its upper end
	counts  map[Verdict]int
	sent    int // messages, heartbeats not among them
}

type node struct {
	ledger    *Ledger
	down      bool
	pausedTo  time.Time
	nextBeat  time.Time
	parent    *node
	up        Peer // of the link to the parent, at both ends
	stamp     time.Duration
	passesOn  bool // what the parent said last
	stampedAt time.Time
	children  map[Peer]*node
	waits     map[Waiter]string
}

type mail struct {
	at      time.Time
	link    Peer
	to      *node
	deliver func(n *node)
}

func newTestMesh(seed uint64, hosts int, f faults) *mesh {
	start := time.Unix(1000, 0)
	m := &mesh{
		rng: rand.New(rand.NewPCG(seed, 1)), start: start, now: start, faults: f, slow: 20 * time.Millisecond, silence: 3 * time.Second, counts: map[Verdict]int{},
		limits: map[string]Limit{"big": {PerSecond: 200, Burst: 200}, "small": {PerSecond: 4, Burst: 4}}, grants: map[string][]time.Time{},
	}
	for range hosts {
		m.nodes = append(m.nodes, &node{})
		m.restart(m.nodes[len(m.nodes)-1])
	}
	return m
}

func (m *mesh) limitOf(account string) (Limit, bool) {
	l, ok := m.limits[account]
	return l, ok
}

func (m *mesh) restart(n *node) {
	*n = node{
		ledger: New(testConfig(), m.now, len(m.nodes), m.limitOf), children: map[Peer]*node{}, waits: map[Waiter]string{},
		nextBeat: m.now.Add(time.Duration(m.rng.Int64N(int64(testHeartbeat)))),
	}
	n.ledger.faults = m.faults
	for _, other := range m.nodes {
		other.ledger.SetHosts(m.now, len(m.nodes))
	}
	n.ledger.SetHosts(m.now, len(m.nodes))
}

// attach gives a node another parent, nil for none. The other end of the old link learns of its end
// within m.silence.
func (m *mesh) attach(n, parent *node) {
	if n.parent != nil {
		old, link := n.parent, n.up
		n.ledger.PeerGone(m.now, link)
		m.mail = slices.DeleteFunc(m.mail, func(x mail) bool { return x.link == link })
		delete(old.children, link)
		m.mail = append(m.mail, mail{at: m.now.Add(time.Duration(m.rng.Int64N(int64(m.silence)))), to: old, deliver: func(p *node) {
			p.ledger.PeerGone(m.now, link)
		}})
	}
	n.parent, n.up, n.stampedAt = parent, 0, time.Time{}
	if parent != nil {
		m.peers++
		n.up = m.peers
		parent.children[n.up] = n
	}
}

func (m *mesh) post(link Peer, to *node, deliver func(n *node)) {
	at := m.now.Add(time.Duration(m.rng.Int64N(int64(m.slow) + 1)))
	for _, x := range m.mail {
		if x.link == link && x.to == to && x.at.After(at) {
			at = x.at // a link keeps the order
		}
	}
	m.mail = append(m.mail, mail{at: at, link: link, to: to, deliver: deliver})
}

func (m *mesh) step() {
	m.now = m.now.Add(testStep)
	mails := m.mail
	m.mail = nil
	for _, x := range mails {
		if x.at.After(m.now) || m.now.Before(x.to.pausedTo) {
			m.mail = append(m.mail, x)
			continue
		}
		if !x.to.down {
			x.deliver(x.to)
			m.poll(x.to)
		}
	}
	for _, n := range m.nodes {
		if !n.down && !m.now.Before(n.pausedTo) {
			m.beat(n)
			m.poll(n)
		}
	}
}

func (m *mesh) beat(n *node) {
	if m.now.Before(n.nextBeat) {
		return
	}
	n.nextBeat = m.now.Add(testHeartbeat)
	stamp, passesOn := n.ledger.Stamp(m.now), n.parent != nil
	for link, child := range n.children {
		m.post(link, child, func(c *node) {
			c.stamp, c.stampedAt, c.passesOn = stamp, m.now, passesOn
			c.ledger.SetParent(m.now, link)
		})
	}
	if n.parent == nil || n.stampedAt.IsZero() {
		return
	}
	loan, link := n.ledger.Lend(m.now, n.stamp+m.now.Sub(n.stampedAt), n.passesOn), n.up
	m.post(link, n.parent, func(p *node) { p.ledger.Borrow(m.now, link, loan) })
}

func (m *mesh) poll(n *node) {
	for _, o := range slices.Clone(n.ledger.Poll(m.now)) {
		switch o := o.(type) {
		case AskParent:
			m.sent++
			link := n.up
			for range 1 + m.rng.IntN(20)/19 { // some are doubled
				m.post(link, n.parent, func(p *node) { p.ledger.Asked(m.now, link, o.Ask) })
			}
		case Answer:
			m.sent++
			child := n.children[o.To]
			if child != nil {
				m.post(o.To, child, func(c *node) { c.ledger.Answered(m.now, o.To, o.Grant) })
			}
		case Settled:
			m.record(n.waits[o.ID], o.Verdict)
			delete(n.waits, o.ID)
		}
	}
}

func (m *mesh) take(n *node, account string) {
	if n.down || m.now.Before(n.pausedTo) {
		return
	}
	m.last++
	v, _ := n.ledger.Take(m.now, m.last, 0, account)
	if v == Waits {
		n.waits[m.last] = account
		m.poll(n)
		return
	}
	m.record(account, v)
}

func (m *mesh) record(account string, v Verdict) {
	m.counts[v]++
	if v == Granted {
		m.grants[account] = append(m.grants[account], m.now)
	}
}

// check returns an error if more requests were granted in some window than the limit of the account
// and the tolerance allow.
func (m *mesh) check() error {
	c := testConfig()
	for account, times := range m.grants {
		l := m.limits[account]
		most := (l.PerSecond*c.Window.Seconds()+l.Burst)*(1+c.Overage) + c.Slack
		for i, j := 0, 0; j < len(times); j++ {
			for times[j].Sub(times[i]) >= c.Window {
				i++
			}
			if n := j - i + 1; float64(n) > most {
				return fmt.Errorf("account %s: %d requests were granted in the window that ends after %v, at most %.0f are allowed",
					account, n, times[j].Sub(m.start), most)
			}
		}
	}
	return nil
}

// tree gives every node but the first a parent that precedes it.
func (m *mesh) tree() {
	for i, n := range m.nodes[1:] {
		m.attach(n, m.nodes[m.rng.IntN(min(i+1, 4))])
	}
}

// run plays some seconds in which callers ask for a multiple of each limit, mostly at one node at a
// time. disturb is called before each step.
func (m *mesh) run(length time.Duration, demand float64, disturb func(step int)) {
	due := map[string]float64{}
	for step := range int(length / testStep) {
		disturb(step)
		for _, account := range []string{"big", "small"} {
			due[account] += demand * m.limits[account].PerSecond * testStep.Seconds()
			for ; due[account] >= 1; due[account]-- {
				m.take(m.nodes[m.rng.IntN(len(m.nodes))], account)
			}
		}
		m.step()
	}
}

// trouble returns a disturbance: nodes are killed, paused and cut off, and trees are rebuilt.
func (m *mesh) trouble() func(step int) {
	return func(int) {
		n := m.nodes[m.rng.IntN(len(m.nodes))]
		switch m.rng.IntN(120) {
		case 0:
			m.kill(n)
		case 1:
			if n.down {
				m.restart(n)
			}
		case 2:
			n.pausedTo = m.now.Add(time.Duration(m.rng.Int64N(int64(3 * time.Second))))
		case 3:
			m.isolate(n)
		case 4, 5, 6:
			i := slices.Index(m.nodes, n)
			if !n.down && i > 0 {
				if parent := m.nodes[m.rng.IntN(i)]; !parent.down {
					m.attach(n, parent)
				}
			}
		case 7:
			m.slow = time.Duration(m.rng.Int64N(int64(600 * time.Millisecond)))
		}
	}
}

// kill ends a node, which those that lent it their shares notice: it refuses their connections.
func (m *mesh) kill(n *node) {
	lenders := maps.Clone(n.children)
	m.isolate(n)
	n.down = true
	for link, lender := range lenders {
		lender.ledger.Ended(m.now, link)
	}
}

// isolate ends all links of a node.
func (m *mesh) isolate(n *node) {
	m.attach(n, nil)
	for _, child := range n.children {
		m.attach(child, nil)
	}
}

// TestLimitHoldsUnderFaults guards against an account that gets more than its limit while nodes are
// killed, paused and cut off, messages are late or doubled, and trees are rebuilt.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMesh(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 16).Draw(t, "hosts"), faults{})
		m.tree()
		m.run(15*time.Second, rapid.Float64Range(0.5, 6).Draw(t, "demand"), m.trouble())
		if err := m.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// partitioned lets all pools fill, then cuts every node off at once and asks far more than the limit.
func (m *mesh) partitioned() {
	m.tree()
	m.run(8*time.Second, 0, func(int) {})
	m.silence = 20 * time.Second
	for _, n := range m.nodes {
		m.isolate(n)
	}
	m.run(10*time.Second, 6, func(int) {})
}

// hoarded lets nodes ask spare tokens for a demand that doesn't come, then asks far more than the limit.
func (m *mesh) hoarded() {
	m.tree()
	m.run(20*time.Second, 0.3, func(int) {
		for _, n := range m.nodes {
			n.ledger.account("big").recent, n.ledger.account("big").seenAt = 60, m.now
		}
	})
	m.run(6*time.Second, 6, func(int) {})
}

// TestLimitChecksDetectFaults shows that the check of the limit can fail: each safeguard that is
// taken out lets an account exceed it, in a history in which it holds otherwise.
func TestLimitChecksDetectFaults(t *testing.T) {
	for name, tt := range map[string]struct {
		fault faults
		play  func(*mesh)
	}{
		"lent shares are used":        {faults{usesLentShares: true}, (*mesh).partitioned},
		"loans are not returned":      {faults{neverReturns: true}, (*mesh).partitioned},
		"granted tokens don't expire": {faults{keepsTokens: true}, (*mesh).hoarded},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				whole, broken := newTestMesh(seed, 12, faults{}), newTestMesh(seed, 12, tt.fault)
				tt.play(whole)
				is.NoErr(whole.check())
				tt.play(broken)
				is.True(broken.check() != nil)
			}
		})
	}
}

// TestCalmGrantsAll guards against an account below its limit that is refused, wherever in the mesh
// its requests come in.
func TestCalmGrantsAll(t *testing.T) {
	for _, hosts := range []int{1, 2, 16, 59, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			m := newTestMesh(1, hosts, faults{})
			m.tree()
			m.run(5*time.Second, 0, func(int) {})
			m.run(20*time.Second, 0.6, func(int) {})
			is.Equal(m.counts[Denied]+m.counts[Unavailable], 0)
			is.True(m.counts[Granted] > 0)
		})
	}
}
