package balancer

// waitingList holds the attempts at an endpoint that have no answer yet, the oldest first.
type waitingList struct {
	first, last *Attempt
}

func (l *waitingList) add(a *Attempt) {
	a.before = l.last
	if l.last == nil {
		l.first = a
	} else {
		l.last.after = a
	}
	l.last = a
}

// remove removes an attempt that is in the list.
func (l *waitingList) remove(a *Attempt) {
	if a.before == nil {
		l.first = a.after
	} else {
		a.before.after = a.after
	}
	if a.after == nil {
		l.last = a.before
	} else {
		a.after.before = a.before
	}
	a.before, a.after = nil, nil
}
