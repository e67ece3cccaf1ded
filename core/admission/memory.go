package admission

// Fate is what a node knows about an attempt ID.
type Fate uint8

// The fates of an attempt.
const (
	Fresh     Fate = iota // never seen
	Open                  // waits or runs
	Started               // has run
	Refused               // did not run and never will
	Forgotten             // so old that it may have been seen
)

// forgetOriginAfter is the number of calls of Age after which the mark of an
// origin is dropped. With a call each 50 ms it is over an hour: longer than
// TCP goes on sending what is not acknowledged, so no copy can come after it.
const forgetOriginAfter = 80_000

// originSweepEvery is the number of calls of Age between two searches for
// marks to drop.
const originSweepEvery = 10_000

// mark bounds what is forgotten of one origin.
type mark struct {
	number uint64 // attempts up to this one may have been seen
	age    uint64 // when number last rose
}

// Memory remembers attempts so that each runs at most once, however late a
// copy of it comes. Its size is bounded: the oldest IDs are dropped, and for
// the process that made them a mark is kept below which every ID counts as
// one that may have been seen (the sliding window of anti-replay protocols).
// No clock is involved: a budget that came with a message that was held up
// says nothing of the time since it was sent. Age counts ticks of the process,
// so a process that was paused forgets nothing for it.
type Memory struct {
	fates   map[uint64]Fate // by hash
	ring    []ID            // the oldest at next once it is full
	next    int
	limit   int
	marks   map[uint64]*mark // by origin
	age     uint64
	sweepAt uint64
}

// NewMemory returns a Memory of at most limit attempts.
func NewMemory(limit int) *Memory {
	return &Memory{fates: map[uint64]Fate{}, marks: map[uint64]*mark{}, limit: limit, sweepAt: originSweepEvery}
}

// hash returns the key of an ID in the memory. Two IDs that share one are
// taken for copies of each other, which refuses the second and runs nothing
// twice.
func (id ID) hash() uint64 {
	x := id.Origin ^ id.Number*0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Fate returns what is known of an attempt.
func (m *Memory) Fate(id ID) Fate {
	if f, ok := m.fates[id.hash()]; ok {
		return f
	}
	if k, ok := m.marks[id.Origin]; ok && id.Number <= k.number {
		return Forgotten
	}
	return Fresh
}

// Add remembers a fresh attempt.
func (m *Memory) Add(id ID, f Fate) {
	m.fates[id.hash()] = f
	if len(m.ring) < m.limit {
		m.ring = append(m.ring, id)
		return
	}
	m.drop(m.ring[m.next])
	m.ring[m.next] = id
	m.next = (m.next + 1) % m.limit
}

func (m *Memory) drop(id ID) {
	k, ok := m.marks[id.Origin]
	if !ok {
		k = &mark{}
		m.marks[id.Origin] = k
	}
	k.number, k.age = max(k.number, id.Number), m.age
	if h := id.hash(); m.fates[h] != Open {
		delete(m.fates, h)
	}
}

// End sets the fate of an open attempt.
func (m *Memory) End(id ID, f Fate) {
	if k, ok := m.marks[id.Origin]; ok && id.Number <= k.number {
		delete(m.fates, id.hash()) // dropped while it was open
		return
	}
	m.fates[id.hash()] = f
}

// Age lets one tick pass.
func (m *Memory) Age() {
	m.age++
	if m.age < m.sweepAt {
		return
	}
	m.sweepAt = m.age + originSweepEvery
	for origin, k := range m.marks {
		if m.age-k.age > forgetOriginAfter {
			delete(m.marks, origin)
		}
	}
}

// Len returns the numbers of attempts and of origins held.
func (m *Memory) Len() (attempts, origins int) { return len(m.fates), len(m.marks) }
