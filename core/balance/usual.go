package balance

import (
	"slices"
	"time"
)

const (
	// blockTime is the least time that a block of answers spans: those that one stall
	// held up come together, and count as one block or two.
	blockTime = 250 * time.Millisecond
	// blockAnswers is the least number of answers in a block, so that the mean of a
	// block tells of slow answers that are few.
	blockAnswers = 8
	// maxUsualWeight is the number of blocks by which the usual latency is divided for
	// the largest change that a block makes to it.
	maxUsualWeight = 16
	// recentBlocks is the number of blocks whose median is the recent latency: more than
	// twice the two that a stall raises.
	recentBlocks = 5
	// recentStale is the time without an answer after which the recent latency counts
	// least. It is no shorter than the time of the blocks that it stands for.
	recentStale = 2 * time.Second
)

// usual holds the usual latency of a kind of request. Answers are put together in blocks,
// and it is a running median of the means of blocks. The mean of all answers would follow
// a single stall, after which whoever is refused because of it can't lower it again.
type usual struct {
	latency    time.Duration // each block moves it by a bounded step; zero: no block has ended
	blocks     int           // that have ended, at most maxUsualWeight
	recent     [recentBlocks]time.Duration
	next       int           // index in recent of the block that ends next
	began      time.Time     // first answer of the current block
	answers    int           // in the current block
	sum        time.Duration // of the latencies in the current block
	answeredAt time.Time     // last answer
}

// observe adds an answer.
func (u *usual) observe(now time.Time, took time.Duration) {
	if u.answers == 0 {
		u.began = now
	}
	u.answers++
	u.sum += took
	u.answeredAt = now
	if u.answers >= blockAnswers && now.Sub(u.began) >= blockTime {
		u.endBlock()
	}
}

func (u *usual) endBlock() {
	mean := u.blockMean()
	u.answers, u.sum = 0, 0
	u.recent[u.next] = mean
	u.next = (u.next + 1) % recentBlocks
	if u.blocks == 0 {
		u.blocks, u.latency = 1, mean
		return
	}
	step := u.latency / time.Duration(u.blocks)
	u.latency += min(max(mean-u.latency, -step), step)
	u.blocks = min(u.blocks+1, maxUsualWeight)
}

func (u *usual) blockMean() time.Duration { return u.sum / time.Duration(max(u.answers, 1)) }

// value returns the usual latency, zero if there was no answer.
func (u *usual) value() time.Duration {
	if u.blocks == 0 {
		return u.blockMean()
	}
	return u.latency
}

// recentValue returns the median of the last blocks.
func (u *usual) recentValue() time.Duration {
	last := u.recent
	slices.Sort(last[:])
	return last[recentBlocks/2]
}

// bound returns factor times the usual latency, or times the recent one if that is more.
// The recent one counts less while no answers come, and a single time in the end: what
// has become slow may be quick again.
func (u *usual) bound(now time.Time, factor float64) time.Duration {
	fresh := decay(now.Sub(u.answeredAt), recentStale)
	recent := float64(u.recentValue()) * (1 + (factor-1)*fresh)
	return time.Duration(max(factor*float64(u.value()), recent))
}
