package reachability

import (
	"time"
)

const (
	// maxSilence is how long nothing may be heard from a fleet while a request waits before its links are
	// tested.
	maxSilence = 400 * time.Millisecond
	// testInterval is the least time between two tests of a fleet that is in reach. While it is not, it is
	// lostTestInterval.
	testInterval     = time.Second
	lostTestInterval = 200 * time.Millisecond
	// lostTestEndpoints is how many endpoints a test of a fleet out of reach tries.
	lostTestEndpoints = 2
)

// Endpoint is an endpoint that a connection may be opened to.
type Endpoint struct {
	ID      string
	Address string
}

// Wait is a request that waits for an endpoint.
type Wait struct {
	fleet    *fleet
	endpoint string
	since    time.Time
}

// Begin records that a request is sent to an endpoint. Its wait must be ended.
func (t *Table) Begin(now time.Time, name, endpoint string) *Wait {
	f := t.fleet(name)
	w := &Wait{fleet: f, endpoint: endpoint, since: now}
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
}

// Test asks for connections to endpoints of a fleet, to find out whether they are accepted.
type Test struct {
	Fleet string
	// First are tried at once, and Rest only if none of them accepts.
	First, Rest []Endpoint
}

// Due returns the tests that are due. endpoints returns those of a fleet that requests may be sent to; it is called
// only for fleets that are tested.
func (t *Table) Due(now time.Time, endpoints func(fleet string) []Endpoint) []Test {
	fleets := t.all()
	anyLost := false
	for _, f := range fleets {
		anyLost = anyLost || f.lost()
	}
	var tests []Test
	for name, f := range fleets {
		if !f.takeDue(now, anyLost) {
			continue
		}
		if list := endpoints(name); len(list) > 0 {
			test := f.test(list)
			test.Fleet = name
			tests = append(tests, test)
		}
	}
	return tests
}

func (f *fleet) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lostSince.IsZero()
}

// takeDue reports whether a test of the fleet is due, and if so counts it as done. All fleets are tested while
// another one is out of reach.
func (f *fleet) takeDue(now time.Time, anyLost bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval, due := testInterval, anyLost || f.isSilent(now)
	if !f.lostSince.IsZero() {
		interval = lostTestInterval
	}
	if !due || now.Sub(f.testedAt) < interval {
		return false
	}
	f.testedAt = now
	return true
}

// test chooses the endpoints of a test: the one that is awaited for the longest time first, unless the fleet is
// out of reach.
func (f *fleet) test(list []Endpoint) Test {
	f.mu.Lock()
	defer f.mu.Unlock()
	var test Test
	if !f.lostSince.IsZero() {
		test.First = f.takeTurn(list, lostTestEndpoints)
		return test
	}
	test.First = f.takeTurn(list, 1)
	if w := f.longestWait(); w != nil {
		for _, e := range list {
			if e.ID == w.endpoint {
				test.First = []Endpoint{e}
			}
		}
	}
	test.Rest = f.takeTurn(list, maxRequired)
	return test
}

// isSilent reports whether nothing was heard from the fleet for maxSilence although a request has waited as long.
func (f *fleet) isSilent(now time.Time) bool {
	w := f.longestWait()
	heard := time.Unix(0, f.heardAt.Load())
	return w != nil && now.Sub(w.since) >= maxSilence && now.Sub(heard) >= maxSilence
}

// longestWait returns the wait that began first; nil if there is none.
func (f *fleet) longestWait() *Wait {
	var longest *Wait
	for w := range f.waits {
		if longest == nil || w.since.Before(longest.since) {
			longest = w
		}
	}
	return longest
}

// takeTurn returns the next n endpoints in turn, at most all.
func (f *fleet) takeTurn(list []Endpoint, n int) []Endpoint {
	var next []Endpoint
	for range min(n, len(list)) {
		next = append(next, list[f.turn%len(list)])
		f.turn++
	}
	return next
}
