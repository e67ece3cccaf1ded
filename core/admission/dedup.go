package admission

// AttemptState is what a node knows about an attempt ID.
type AttemptState uint8

// The fates of an attempt.
const (
	Unseen       AttemptState = iota // never seen
	Pending                          // waits or runs
	Executed                         // has run
	Refused                          // did not run and never will
	PossiblySeen                     // so old that it may have been seen
)

// watermarkTTLTicks is the number of calls of Age after which the mark of an
// origin is dropped. With a call each 50 ms it is over an hour: longer than
// TCP goes on sending what is not acknowledged, so no copy can come after it.
const watermarkTTLTicks = 80_000

// watermarkSweepTicks is the number of calls of Age between two searches for
// marks to drop.
const watermarkSweepTicks = 10_000

// watermark bounds what is forgotten of one origin.
type watermark struct {
	number   uint64 // attempts up to this one may have been seen
	raisedAt uint64 // when number last rose
}

// DedupWindow remembers attempts so that each runs at most once, however late a
// copy of it comes. Its size is bounded: the oldest IDs are dropped, and for
// the process that made them a mark is kept below which every ID counts as
// one that may have been seen (the sliding window of anti-replay protocols).
// No clock is involved: a budget that came with a message that was held up
// says nothing of the time since it was sent. Age counts ticks of the process,
// so a process that was paused forgets nothing for it.
type DedupWindow struct {
	states     map[uint64]AttemptState // by hash
	ring       []ID                    // the oldest at next once it is full
	next       int
	limit      int
	watermarks map[uint64]*watermark // by origin
	ticks      uint64
	sweepAt    uint64
}

// NewDedupWindow returns a Memory of at most limit attempts.
func NewDedupWindow(limit int) *DedupWindow {
	return &DedupWindow{states: map[uint64]AttemptState{}, watermarks: map[uint64]*watermark{}, limit: limit, sweepAt: watermarkSweepTicks}
}

// hash returns the key of an ID in the memory. Two IDs that share one are
// taken for copies of each other, which refuses the second and runs nothing
// twice.
func (id ID) hash() uint64 {
	x := id.Origin ^ id.Number*0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// State returns what is known of an attempt.
func (m *DedupWindow) State(id ID) AttemptState {
	if f, ok := m.states[id.hash()]; ok {
		return f
	}
	if k, ok := m.watermarks[id.Origin]; ok && id.Number <= k.number {
		return PossiblySeen
	}
	return Unseen
}

// Add remembers a fresh attempt.
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

// End sets the fate of an open attempt.
func (m *DedupWindow) End(id ID, f AttemptState) {
	if k, ok := m.watermarks[id.Origin]; ok && id.Number <= k.number {
		delete(m.states, id.hash()) // dropped while it was open
		return
	}
	m.states[id.hash()] = f
}

// Tick lets one tick pass.
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

// Len returns the numbers of attempts and of origins held.
func (m *DedupWindow) Len() (attempts, origins int) { return len(m.states), len(m.watermarks) }
