package admission

import "iter"

// line is the queue of waiting attempts of one class. Those that can't meet their target time
// any more go behind the others: a run that is late anyway would make another one late.
type line struct {
	timely fifo
	late   fifo
}

func (l *line) len() int { return l.timely.len() + l.late.len() }

func (l *line) push(w Attempt, late bool) {
	if late {
		l.late.push(w)
		return
	}
	l.timely.push(w)
}

// all iterates over the attempts, in the order in which they would start.
func (l *line) all() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, part := range [...][]Attempt{l.timely.all(), l.late.all()} {
			for i := range part {
				if !yield(&part[i]) {
					return
				}
			}
		}
	}
}

// pop removes and returns the attempt that starts next.
func (l *line) pop() Attempt {
	if l.timely.len() > 0 {
		return l.timely.pop()
	}
	return l.late.pop()
}

// popLast removes and returns the attempt that would start last.
func (l *line) popLast() Attempt {
	if l.late.len() > 0 {
		return l.late.popLast()
	}
	return l.timely.popLast()
}

func (l *line) remove(id ID) (Attempt, bool) {
	if w, ok := l.timely.remove(id); ok {
		return w, true
	}
	return l.late.remove(id)
}

// moveLate moves the oldest attempts that have become late behind the others.
func (l *line) moveLate(isLate func(Attempt) bool) {
	for l.timely.len() > 0 && isLate(l.timely.head()) {
		l.late.push(l.timely.pop())
	}
}

// popOverdue removes the oldest attempts that are overdue, and appends them to list.
func (l *line) popOverdue(list []Attempt, overdue func(Attempt) bool) []Attempt {
	for _, part := range [...]*fifo{&l.timely, &l.late} {
		for part.len() > 0 && overdue(part.head()) {
			list = append(list, part.pop())
		}
	}
	return list
}
