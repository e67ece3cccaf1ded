package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rankedKind is a kind of request of the load that the ranks of routes answer: lookups that are soon
// late, beside transfers that have time, all of one client account.
type rankedKind struct {
	class        Class
	perSecond    float64
	work, target time.Duration
	deadline     time.Duration
}

type runEnd struct {
	at time.Time
	id ID

	kind int
}

type runEnds []runEnd

func (r runEnds) Len() int           { return len(r) }
func (r runEnds) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r runEnds) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runEnds) Push(x any)        { *r = append(*r, x.(runEnd)) }
func (r *runEnds) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// playRanked plays a minute of a load at one queue, and returns for each kind the share of its
// requests that were answered within their target.
func playRanked(seed uint64, kinds []rankedKind) []float64 {
	rng := rand.New(rand.NewPCG(seed, 0))
	start := time.Unix(0, 0)
	q := New(DefaultConfig(9))
	arrived, next := map[ID]time.Time{}, make([]time.Time, len(kinds))
	kindOf, ends := map[ID]int{}, &runEnds{}
	asked, inTime := make([]float64, len(kinds)), make([]float64, len(kinds))
	wait := func(perSecond float64) time.Duration {
		return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	run := func(now time.Time, id ID) {
		k := kinds[kindOf[id]]
		heap.Push(ends, runEnd{at: now.Add(time.Duration((0.5 + rng.Float64()) * float64(k.work))), id: id, kind: kindOf[id]})
	}
	for i, k := range kinds {
		next[i] = start.Add(wait(k.perSecond))
	}
	for number := uint64(1); ; number++ {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		for ends.Len() > 0 && (*ends)[0].at.Before(next[first]) {
			e := heap.Pop(ends).(runEnd)
			took := e.at.Sub(arrived[e.id])
			if took <= kinds[e.kind].target {
				inTime[e.kind]++
			}
			_, started, _ := q.Done(e.at, e.id, Run{Took: kinds[e.kind].work})
			for _, s := range started {
				run(e.at, s.ID)
			}
		}
		now, k := next[first], kinds[first]
		if now.Sub(start) > time.Minute {
			break
		}
		next[first] = now.Add(wait(k.perSecond))
		id := ID{Number: number}
		arrived[id], kindOf[id] = now, first
		asked[first]++
		if q.Arrive(now, Attempt{ID: id, Class: k.class, Deadline: now.Add(k.deadline), TargetTime: now.Add(k.target)}).Run {
			run(now, id)
		}
	}
	for i := range inTime {
		inTime[i] /= asked[i]
	}
	return inTime
}

// TestRanksServeUrgentKinds guards against urgent requests that are late behind requests of the same
// account that have time. The load is 1.3 times what the slots can run. The baseline, in the same run, is
// one class for all kinds of an account.
func TestRanksServeUrgentKinds(t *testing.T) {
	is := is.New(t)
	kinds := func(lookups, transfers Class) []rankedKind {
		return []rankedKind{
			{class: lookups, perSecond: 25, work: 220 * time.Millisecond, target: 500 * time.Millisecond, deadline: 4 * time.Second},
			{class: transfers, perSecond: 21, work: 290 * time.Millisecond, target: 1500 * time.Millisecond, deadline: 5 * time.Second},
		}
	}
	for seed := range uint64(10) {
		before, after := playRanked(seed, kinds(3, 3)), playRanked(seed, kinds(3, 5))
		t.Logf("in time, one class: %.2f and %.2f; ranked: %.2f and %.2f", before[0], before[1], after[0], after[1])
		is.True(after[0] >= 0.9)         // the urgent kind alone fits
		is.True(after[0] > before[0]+.1) // which one class does not give it
		is.True(after[1] > 0)            // the other is not starved
	}
}
