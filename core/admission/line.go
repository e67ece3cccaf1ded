package admission

import "slices"

// line holds the waiting attempts of one class, the oldest first. It reuses
// its memory.
type line struct {
	items []Waiting
	first int // items before it have left
}

func (l *line) len() int { return len(l.items) - l.first }

func (l *line) head() Waiting { return l.items[l.first] }

func (l *line) push(w Waiting) {
	if l.first > 0 && len(l.items) == cap(l.items) {
		l.items = slices.Delete(l.items, 0, l.first)
		l.first = 0
	}
	l.items = append(l.items, w)
}

func (l *line) pop() Waiting {
	w := l.items[l.first]
	l.first++
	if l.first == len(l.items) {
		l.items, l.first = l.items[:0], 0
	}
	return w
}

func (l *line) popLast() Waiting {
	w := l.items[len(l.items)-1]
	l.items = l.items[:len(l.items)-1]
	return w
}

func (l *line) remove(id ID) (Waiting, bool) {
	for i := l.first; i < len(l.items); i++ {
		if w := l.items[i]; w.ID == id {
			l.items = slices.Delete(l.items, i, i+1)
			return w, true
		}
	}
	return Waiting{}, false
}
