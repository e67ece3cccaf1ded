package admission

import "slices"

// fifo is the queue of waiting attempts of one class, oldest first. It reuses
// its backing array.
type fifo struct {
	items []Attempt
	first int // index of the oldest item; those before it have been removed
}

func (l *fifo) len() int { return len(l.items) - l.first }

// all returns the items. They are valid until the next change.
func (l *fifo) all() []Attempt { return l.items[l.first:] }

func (l *fifo) head() Attempt { return l.items[l.first] }

func (l *fifo) push(w Attempt) {
	if l.first > 0 && len(l.items) == cap(l.items) {
		l.items = slices.Delete(l.items, 0, l.first)
		l.first = 0
	}
	l.items = append(l.items, w)
}

func (l *fifo) pop() Attempt {
	w := l.items[l.first]
	l.first++
	if l.first == len(l.items) {
		l.items, l.first = l.items[:0], 0
	}
	return w
}

func (l *fifo) popLast() Attempt {
	w := l.items[len(l.items)-1]
	l.items = l.items[:len(l.items)-1]
	return w
}

func (l *fifo) remove(id ID) (Attempt, bool) {
	for i := l.first; i < len(l.items); i++ {
		if w := l.items[i]; w.ID == id {
			l.items = slices.Delete(l.items, i, i+1)
			return w, true
		}
	}
	return Attempt{}, false
}
