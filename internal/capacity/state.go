package main

import (
	"runtime"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
)

// heapOf returns the heap bytes retained by one result of build, the mean of several.
func heapOf(build func() any) float64 {
	const copies = 4
	keep := make([]any, 0, copies)
	before := liveHeap()
	for range copies {
		keep = append(keep, build())
	}
	after := liveHeap()
	runtime.KeepAlive(keep)
	return float64(int64(after)-int64(before)) / copies
}

// liveHeap returns the bytes of live heap objects after garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// stateSlopes measures the memory of a node's state against the number of endpoints,
// routes, children and remembered attempts that it holds.
func stateSlopes() []Slope {
	return []Slope{
		measure("state of an endpoint", "B", []int{100, 1000, 5300}, func(n int) float64 {
			return heapOf(func() any { s, _ := sizes.JoinedState(n, 100); return s })
		}),
		measure("state of a route", "B", []int{100, 1000, 5000}, func(n int) float64 {
			return heapOf(func() any { s, _ := sizes.JoinedState(100, n); return s })
		}),
		measure("state of a child", "B", []int{16, 64, 256}, func(n int) float64 {
			return heapOf(func() any {
				s, now := sizes.JoinedState(100, 100)
				sizes.AddChildren(s, now, n)
				return s
			})
		}),
		measure("state of a remembered attempt", "B", []int{1000, 4000, 16000}, func(n int) float64 {
			return heapOf(func() any {
				s, now := sizes.JoinedState(100, 100)
				for i := range n {
					id := core.AttemptID{Origin: 7, Number: uint64(i)}
					s.Reduce(now, core.AttemptArrived{Attempt: id, Budget: second})
					s.Reduce(now, core.AttemptDone{Attempt: id, Took: second / 100})
				}
				return s
			})
		}),
	}
}
