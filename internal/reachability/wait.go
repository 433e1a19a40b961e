package reachability

import (
	"sync/atomic"
	"time"
)

const (
	// minPatience is the least time without a byte after which a request counts as silent.
	minPatience = 400 * time.Millisecond
	// patienceFactor scales the longest time that requests to a fleet are without a byte, and that expected of the
	// request.
	patienceFactor = 2
)

// Request is a request to an endpoint.
type Request struct {
	Fleet, Endpoint string
	// Expected is the time until the first byte of the response; zero if unknown.
	Expected time.Duration
	// Repeatable is set if the request may be sent again after it may have run, or its response be resumed.
	Repeatable bool
	// Reserve reserves a further attempt, and reports whether there is one; nil if there always is. It must not block.
	Reserve func() bool
}

// Wait is a request that waits for an endpoint, until its response is complete.
type Wait struct {
	Request
	fleet *fleet
	since time.Time
	// heardAt is when a byte of the response last arrived, in nanoseconds since 1970; zero before.
	heardAt atomic.Int64
	// kept is set once nothing else can continue the response.
	kept atomic.Bool
	// longest is the longest time without a byte that has ended; only the request itself uses it.
	longest  time.Duration
	takeBack func()
}

// Begin records that a request is sent to an endpoint. Its wait must be ended. takeBack is called, at most once, if
// the wait is in vain.
func (t *Table) Begin(now time.Time, r Request, takeBack func()) *Wait {
	f := t.fleet(r.Fleet)
	w := &Wait{Request: r, fleet: f, since: now, takeBack: takeBack}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits[w] = struct{}{}
	return w
}

// End records that the request no longer waits.
func (w *Wait) End() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	delete(w.fleet.waits, w)
	if w.heardAt.Load() != 0 {
		w.fleet.pauses.observe(w.longest)
	}
}

// Heard records that bytes of the response have arrived. It may not be called concurrently with itself or End.
func (w *Wait) Heard(now time.Time) {
	before := w.since
	if at := w.heardAt.Swap(now.UnixNano()); at != 0 {
		before = time.Unix(0, at)
	}
	w.longest = max(w.longest, now.Sub(before))
}

// Keep records that nothing else can continue the response, which has begun.
func (w *Wait) Keep() { w.kept.Store(true) }

// silent reports whether neither the request nor its fleet was heard for as long as such requests never take.
// usual is the longest time for which requests to the fleet are without a byte.
func (w *Wait) silent(now, fleetHeard time.Time, usual time.Duration) bool {
	last := fleetHeard
	for _, at := range []time.Time{w.since, time.Unix(0, w.heardAt.Load())} {
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last) >= max(minPatience, patienceFactor*max(usual, w.Expected))
}

// silentWaits returns the requests that are silent; none while the fleet is heard.
func (f *fleet) silentWaits(now time.Time) []*Wait {
	heard := f.lastHeard()
	if len(f.waits) == 0 || now.Sub(heard) < minPatience {
		return nil
	}
	var silent []*Wait
	usual := f.pauses.high()
	for w := range f.waits {
		if w.silent(now, heard, usual) {
			silent = append(silent, w)
		}
	}
	return silent
}

// takeSilent removes those of the silent requests of a fleet out of reach that have a way on, and returns what takes them
// back. endpoints is the number of endpoints of the fleet.
func (f *fleet) takeSilent(now time.Time, endpoints int) []func() {
	if f.lostSince.IsZero() {
		return nil
	}
	var taken []func()
	failed := f.connectionsFail(now, endpoints)
	for _, w := range f.silentWaits(now) {
		if !f.mayTakeBack(now, w, failed) {
			continue
		}
		delete(f.waits, w)
		taken = append(taken, w.takeBack)
	}
	return taken
}

// mayTakeBack reports whether a silent request of a fleet out of reach is taken back. One without a byte of its response is if
// connections to the fleet fail. Silence alone may be that of the endpoints, and a response that has begun may go on: then
// a peer must hear the fleet, and a further attempt be left for it.
func (f *fleet) mayTakeBack(now time.Time, w *Wait, connectionsFail bool) bool {
	if connectionsFail && w.heardAt.Load() == 0 {
		return true
	}
	if !w.Repeatable || w.kept.Load() || !f.peersHear(now, w) {
		return false
	}
	return w.Reserve == nil || w.Reserve()
}
