package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// patience is how long a connection may take to its first whole header before it is the first to go.
const patience = 500 * time.Millisecond

// Decision is what was done for want of room.
type Decision string

// The decisions.
const (
	// Closed means that a connection was closed, or is given up by its request, for others.
	Closed Decision = "closed"
	// Refused means that a connection was not taken: requests are in progress on all others.
	Refused Decision = "refused"
)

// Options are what a Table works with. All may be nil.
type Options struct {
	// Yield asks the requests in progress to give up a connection, and reports whether one will.
	Yield func(now time.Time) bool
	// OnDecision is told of each decision, and the state of the table after it. It must not block.
	OnDecision func(now time.Time, d Decision, u Usage)
}

// Table holds the open connections of a listener. It is safe for concurrent use.
type Table struct {
	options Options

	mu sync.Mutex
	// open is the number of connections that are not closed.
	open int
	// silent are the connections that have never sent a whole header, idle those between two requests, in each the one
	// that waits longest first.
	silent, idle list.List
	counts       Counts
}

// Counts are what a Table has decided since it exists.
type Counts struct {
	// Closed counts the connections that were closed for others, and Refused those that were not taken.
	Closed, Refused uint64
}

// NewTable returns a table without connections.
func NewTable(o Options) *Table { return &Table{options: o} }

// Entry is one connection. Its methods are safe for concurrent use.
type Entry struct {
	table *Table
	close func()

	// The rest is guarded by the table's mutex. kind is the list that holds element; both are nil while a request is in
	// progress.
	kind    *list.List
	element *list.Element
	since   time.Time
	gone    bool
}

// Add takes a connection if there are fewer than most, or if another one can go for it; most is not positive if there is no
// limit. close must close the connection without blocking.
func (t *Table) Add(now time.Time, most int, close func()) (*Entry, bool) {
	t.mu.Lock()
	var decision Decision
	switch {
	case most <= 0 || t.open < most:
	case t.closeOne(now):
		decision = Closed
	default:
		decision = Refused
		t.counts.Refused++
	}
	var e *Entry
	if decision != Refused {
		t.open++
		e = &Entry{table: t, close: close}
		e.wait(now, &t.silent)
	}
	u := t.usage()
	t.mu.Unlock()
	t.tell(now, decision, u)
	return e, e != nil
}

// CloseOne closes the connection that can best be done without, and reports whether there was one.
func (t *Table) CloseOne(now time.Time) bool {
	t.mu.Lock()
	var decision Decision
	if t.closeOne(now) {
		decision = Closed
	}
	u := t.usage()
	t.mu.Unlock()
	t.tell(now, decision, u)
	return decision == Closed
}

// tell passes on a decision; an empty one is none.
func (t *Table) tell(now time.Time, d Decision, u Usage) {
	if d != "" && t.options.OnDecision != nil {
		t.options.OnDecision(now, d, u)
	}
}

// closeOne closes a connection for others, and reports whether there was one.
func (t *Table) closeOne(now time.Time) bool {
	victim := t.silent.Front()
	if victim == nil || now.Sub(victim.Value.(*Entry).since) < patience {
		if t.options.Yield != nil && t.options.Yield(now) {
			t.counts.Closed++
			return true
		}
		// Of those that have just begun to wait, the more numerous kind is the more likely to be a crowd.
		if t.idle.Len() >= t.silent.Len() {
			victim = t.idle.Front()
		}
	}
	if victim == nil {
		return false
	}
	e := victim.Value.(*Entry)
	e.leave()
	t.counts.Closed++
	e.close()
	return true
}

// wait puts the connection behind the others of a kind.
func (e *Entry) wait(now time.Time, kind *list.List) {
	e.kind, e.since = kind, now
	e.element = kind.PushBack(e)
}

// stopWaiting takes the connection out of its list.
func (e *Entry) stopWaiting() {
	if e.element != nil {
		e.kind.Remove(e.element)
		e.kind, e.element = nil, nil
	}
}

// leave takes the connection out of the table.
func (e *Entry) leave() {
	if !e.gone {
		e.gone = true
		e.stopWaiting()
		e.table.open--
	}
}

// Begin records that a whole header has come: from now on the connection is not closed for others. It returns false if it
// has been.
func (e *Entry) Begin() bool {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.stopWaiting()
	return !e.gone
}

// End records that the request is answered and the connection waits for another.
func (e *Entry) End(now time.Time) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if !e.gone && e.element == nil {
		e.wait(now, &e.table.idle)
	}
}

// Remove records that the connection is closed. It may be called more than once.
func (e *Entry) Remove() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.leave()
}

// Usage is the state of a Table at a moment.
type Usage struct {
	Open, Silent, Idle int
	Counts
}

// Usage returns the state of the table.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usage()
}

func (t *Table) usage() Usage {
	return Usage{Open: t.open, Silent: t.silent.Len(), Idle: t.idle.Len(), Counts: t.counts}
}
