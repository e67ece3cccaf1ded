package admission

// AttemptState is the state of an attempt ID in a node's deduplication window.
type AttemptState uint8

// The states of an attempt.
const (
	Unseen       AttemptState = iota // never seen
	Pending                          // waiting or running
	Executed                         // has run
	Refused                          // did not run and never will
	PossiblySeen                     // not above the origin's watermark, so it may have been seen
)

// watermarkTTLTicks is the number of ticks after which the watermark of an
// origin is dropped. With a tick every 50 ms this is over an hour, which is
// longer than TCP retransmits unacknowledged data, so no copy can arrive later.
const watermarkTTLTicks = 80_000

// watermarkSweepTicks is the number of ticks between two sweeps for expired
// watermarks.
const watermarkSweepTicks = 10_000

// watermark covers the IDs of one origin that have been evicted from the window.
type watermark struct {
	number   uint64 // attempts up to this number may have been seen
	raisedAt uint64 // tick of the last eviction for this origin
}

// DedupWindow records attempt IDs so that each attempt runs at most once, however
// late a copy of it arrives. Its size is bounded: the oldest IDs are evicted, and
// for their origin a watermark is kept, up to which every ID counts as possibly
// seen (as in the sliding window of anti-replay protocols).
//
// It uses no clock: the time budget in a message that was delayed doesn't tell
// how long ago the message was sent. It counts the ticks of its own process, so
// a pause of the process expires nothing.
type DedupWindow struct {
	states     map[uint64]AttemptState // by ID.hash
	ring       []ID                    // IDs in order of arrival; once full, the oldest is at next
	next       int
	limit      int                   // capacity of ring
	watermarks map[uint64]*watermark // by origin
	ticks      uint64
	sweepAt    uint64 // tick of the next sweep of watermarks
}

// NewDedupWindow returns a DedupWindow that holds at most limit attempts.
func NewDedupWindow(limit int) *DedupWindow {
	return &DedupWindow{states: map[uint64]AttemptState{}, watermarks: map[uint64]*watermark{}, limit: limit, sweepAt: watermarkSweepTicks}
}

// hash returns the key of an ID in DedupWindow.states. On a collision the two
// IDs are taken for copies of one attempt: the second is refused, and nothing
// runs twice.
func (id ID) hash() uint64 {
	x := id.Origin ^ id.Number*0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// State returns the state of an attempt.
func (m *DedupWindow) State(id ID) AttemptState {
	if f, ok := m.states[id.hash()]; ok {
		return f
	}
	if k, ok := m.watermarks[id.Origin]; ok && id.Number <= k.number {
		return PossiblySeen
	}
	return Unseen
}

// Add records an unseen attempt, and evicts the oldest one if the window is full.
func (m *DedupWindow) Add(id ID, f AttemptState) {
	m.states[id.hash()] = f
	if len(m.ring) < m.limit {
		m.ring = append(m.ring, id)
		return
	}
	m.evict(m.ring[m.next])
	m.ring[m.next] = id
	m.next = (m.next + 1) % m.limit
}

func (m *DedupWindow) evict(id ID) {
	k, ok := m.watermarks[id.Origin]
	if !ok {
		k = &watermark{}
		m.watermarks[id.Origin] = k
	}
	k.number, k.raisedAt = max(k.number, id.Number), m.ticks
	if h := id.hash(); m.states[h] != Pending {
		delete(m.states, h)
	}
}

// End sets the final state of a pending attempt.
func (m *DedupWindow) End(id ID, f AttemptState) {
	if k, ok := m.watermarks[id.Origin]; ok && id.Number <= k.number {
		delete(m.states, id.hash()) // evicted while it was pending
		return
	}
	m.states[id.hash()] = f
}

// Tick advances the tick count by one, and drops expired watermarks when a sweep
// is due.
func (m *DedupWindow) Tick() {
	m.ticks++
	if m.ticks < m.sweepAt {
		return
	}
	m.sweepAt = m.ticks + watermarkSweepTicks
	for origin, k := range m.watermarks {
		if m.ticks-k.raisedAt > watermarkTTLTicks {
			delete(m.watermarks, origin)
		}
	}
}

// Len returns the numbers of attempts and of watermarks held.
func (m *DedupWindow) Len() (attempts, origins int) { return len(m.states), len(m.watermarks) }
