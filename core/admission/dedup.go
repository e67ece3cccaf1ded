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
func (w *DedupWindow) State(id ID) AttemptState {
	if state, ok := w.states[id.hash()]; ok {
		return state
	}
	if k, ok := w.watermarks[id.Origin]; ok && id.Number <= k.number {
		return PossiblySeen
	}
	return Unseen
}

// Add records an unseen attempt, and evicts the oldest one if the window is full.
func (w *DedupWindow) Add(id ID, state AttemptState) {
	w.states[id.hash()] = state
	if len(w.ring) < w.limit {
		w.ring = append(w.ring, id)
		return
	}
	w.evict(w.ring[w.next])
	w.ring[w.next] = id
	w.next = (w.next + 1) % w.limit
}

func (w *DedupWindow) evict(id ID) {
	k, ok := w.watermarks[id.Origin]
	if !ok {
		k = &watermark{}
		w.watermarks[id.Origin] = k
	}
	k.number, k.raisedAt = max(k.number, id.Number), w.ticks
	if h := id.hash(); w.states[h] != Pending {
		delete(w.states, h)
	}
}

// End sets the final state of a pending attempt.
func (w *DedupWindow) End(id ID, state AttemptState) {
	if k, ok := w.watermarks[id.Origin]; ok && id.Number <= k.number {
		delete(w.states, id.hash()) // evicted while it was pending
		return
	}
	w.states[id.hash()] = state
}

// Tick advances the tick count by one, and drops expired watermarks when a sweep
// is due.
func (w *DedupWindow) Tick() {
	w.ticks++
	if w.ticks < w.sweepAt {
		return
	}
	w.sweepAt = w.ticks + watermarkSweepTicks
	for origin, k := range w.watermarks {
		if w.ticks-k.raisedAt > watermarkTTLTicks {
			delete(w.watermarks, origin)
		}
	}
}

// Len returns the numbers of attempts and of watermarks held.
func (w *DedupWindow) Len() (attempts, origins int) { return len(w.states), len(w.watermarks) }
