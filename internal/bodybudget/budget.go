package bodybudget

import (
	"container/list"
	"sync"
	"time"
)

const (
	// SmallBytes is the largest size of a small body. Most bodies of ordinary requests are small.
	SmallBytes = 32 << 10
	// largeFraction of the budget may be held by bodies that are not small, so that a few large ones do not keep out
	// the many small ones.
	largeFraction = 0.75
	// stallTime is how long a body may make no progress before it is evicted for others. To make progress is to receive
	// at least progressFraction of what the body holds: to keep a part of the budget, a client must go on to send in
	// proportion.
	stallTime        = time.Second
	progressFraction = 0.125
	// largestPerBudget is how many bodies of the largest size a budget has room for at least. One that grows holds up to
	// twice its size while it is copied, and large bodies have largeFraction of the budget.
	largestPerBudget = 3
)

// Decision is the answer to a wish for memory.
type Decision int

// The decisions.
const (
	// Granted means that the memory is reserved.
	Granted Decision = iota
	// Awaited means that the memory is not reserved yet; evicted bodies will release as much.
	Awaited
	// Refused means that there is no room.
	Refused
	// Evicted means that the body itself has been evicted.
	Evicted
)

// Budget bounds the memory that request bodies take. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// base is the limit in bytes without regard to the size of bodies, most the largest one allowed, zero for any, and
	// limit the one in force.
	base, most, limit int64
	// held is what all bodies hold, and largeHeld what those hold that are not small.
	held, largeHeld int64
	// leaving is the part of held, and largeLeaving that of largeHeld, of evicted bodies.
	leaving, largeLeaving int64
	// receiving are the bodies that are not whole, the one that made progress last at the end.
	receiving list.List
	// released is closed at the next release; nil if nobody waits for it.
	released chan struct{}
	counts   Counts
}

// Counts are what a Budget has decided since it exists.
type Counts struct {
	// Refused counts the wishes that were refused, and Evicted the evicted bodies.
	Refused, Evicted uint64
}

// Usage is the state of a Budget at a moment.
type Usage struct {
	// Limit and Held are in bytes.
	Limit, Held int64
	// Receiving is the number of bodies that are not whole.
	Receiving int
	Counts
}

// New returns a budget of a number of bytes, which grows with the size of the largest body to most bytes; zero means that
// nothing bounds it then.
func New(bytes, most int64) *Budget { return &Budget{base: bytes, most: most, limit: bytes} }

// SetLargest states the size of the largest body, in bytes, for which the budget must have room while nothing else is held.
// It reports whether there is as much.
func (b *Budget) SetLargest(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(b.base, largestPerBudget*size)
	if b.most > 0 {
		b.limit = min(b.limit, max(b.base, b.most))
	}
	return b.limit >= largestPerBudget*size
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Held: b.held, Receiving: b.receiving.Len(), Counts: b.counts}
}

// Holding is the part of a budget that one body takes. Its methods are safe for concurrent use.
type Holding struct {
	budget *Budget
	// evict stops the reception of the body. It must not block.
	evict func()

	// The rest is guarded by the budget's mutex.
	held int64
	// element is the body's place among those that are received; nil once it is whole, evicted or released.
	element *list.Element
	evicted bool
	// received counts the body's bytes; markBytes of them had come at markAt, when it last made progress.
	received, markBytes int64
	markAt              time.Time
}

// Open begins to hold a body that is received from now on. evict is called, at most once, if the body is to be given up.
func (b *Budget) Open(now time.Time, evict func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holding{budget: b, evict: evict, markAt: now}
	h.element = b.receiving.PushBack(h)
	return h
}

// Reserve asks for more bytes, at a moment.
func (h *Holding) Reserve(now time.Time, bytes int64) Decision {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return Evicted
	}
	missing := b.missing(h, bytes)
	if missing.none() {
		b.add(h, bytes)
		return Granted
	}
	if !b.makeRoom(now, h, missing) {
		b.counts.Refused++
		return Refused
	}
	return Awaited
}

// shortage is how many bytes too few there are, in all and for bodies that are not small.
type shortage struct{ total, large int64 }

func (s shortage) none() bool { return s.total <= 0 && s.large <= 0 }

// missing returns what is missing for a body to take more bytes.
func (b *Budget) missing(h *Holding, bytes int64) shortage {
	s := shortage{total: b.held + bytes - b.limit}
	if after := h.held + bytes; after > SmallBytes {
		s.large = b.largeHeld + after - h.largeBytes() - int64(largeFraction*float64(b.limit))
	}
	return s
}

// largeBytes returns what the body counts among the bodies that are not small.
func (h *Holding) largeBytes() int64 {
	if h.held <= SmallBytes {
		return 0
	}
	return h.held
}

// makeRoom evicts stalled bodies until what is missing will be released, those first that made progress least recently. If
// they do not hold enough, it evicts none and returns false.
func (b *Budget) makeRoom(now time.Time, h *Holding, missing shortage) bool {
	missing.total -= b.leaving
	missing.large -= b.largeLeaving
	var victims []*Holding
	for e := b.receiving.Front(); e != nil && !missing.none(); e = e.Next() {
		victim := e.Value.(*Holding)
		if !victim.stalled(now) {
			return false
		}
		large := victim.largeBytes()
		helps := missing.total > 0 || large > 0
		if victim == h || victim.held == 0 || !helps {
			continue
		}
		missing.total -= victim.held
		missing.large -= large
		victims = append(victims, victim)
	}
	if !missing.none() {
		return false
	}
	for _, victim := range victims {
		b.evict(victim)
	}
	return true
}

// stalled reports whether the body has made no progress for stallTime.
func (h *Holding) stalled(now time.Time) bool { return now.Sub(h.markAt) >= stallTime }

func (b *Budget) evict(h *Holding) {
	h.evicted = true
	b.receiving.Remove(h.element)
	h.element = nil
	b.leaving += h.held
	b.largeLeaving += h.largeBytes()
	b.counts.Evicted++
	h.evict()
}

// EvictStalled evicts the body that made progress least recently, for the sake of its connection, and reports whether there
// was one that has come to a halt.
func (b *Budget) EvictStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.receiving.Front()
	if first == nil || !first.Value.(*Holding).stalled(now) {
		return false
	}
	b.evict(first.Value.(*Holding))
	return true
}

// add changes what a body holds by a number of bytes, which may be negative.
func (b *Budget) add(h *Holding, bytes int64) {
	large := h.largeBytes()
	h.held += bytes
	large = h.largeBytes() - large
	b.held += bytes
	b.largeHeld += large
	if h.evicted {
		b.leaving += bytes
		b.largeLeaving += large
	}
	if bytes < 0 && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Return gives back a part of what the body holds.
func (h *Holding) Return(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h, -bytes)
}

// Received records that bytes of the body have come.
func (h *Holding) Received(now time.Time, bytes int) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.received += int64(bytes)
	if h.element == nil || float64(h.received-h.markBytes) < progressFraction*float64(h.held) {
		return
	}
	h.markBytes, h.markAt = h.received, now
	b.receiving.MoveToBack(h.element)
}

// Complete records that the body is whole: it is evicted no longer. It returns false if it has been evicted.
func (h *Holding) Complete() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.forget()
	return !h.evicted
}

// Release gives back all that the body holds. It may be called more than once, and on nil.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.forget()
	b.add(h, -h.held)
}

// forget takes the body off those that are received.
func (h *Holding) forget() {
	if h.element != nil {
		h.budget.receiving.Remove(h.element)
		h.element = nil
	}
}

// IsEvicted reports whether the body has been evicted.
func (h *Holding) IsEvicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// State is what a body holds at a moment.
type State struct {
	// Held and Received are in bytes.
	Held, Received int64
}

// State returns what the body holds; on nil, nothing.
func (h *Holding) State() State {
	if h == nil {
		return State{}
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return State{Held: h.held, Received: h.received}
}
