package reachability

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the fleets. It is safe for concurrent use.
type Table struct {
	mu     sync.RWMutex
	fleets map[string]*fleet
	// budget bounds the probes of all fleets; checks guards it.
	checks sync.Mutex
	budget budget
}

// NewTable returns a table in which all fleets are in reach.
func NewTable() *Table { return &Table{fleets: map[string]*fleet{}} }

// fleet is what is known of the links to one fleet.
type fleet struct {
	// heardAt is when an endpoint was last heard, and wantedAt when a request was last to be sent to one, in
	// nanoseconds since 1970 on the clock of the arguments.
	heardAt, wantedAt atomic.Int64
	// clear is set while nothing is known that hearing an endpoint changes: no lock is needed then.
	clear atomic.Bool

	mu sync.Mutex
	// failures are, by endpoint, those that no response has refuted.
	failures map[string]evidence
	// lastKind is the kind of the last failure.
	lastKind FailureKind
	// lostSince is when the fleet went out of reach; zero while it is in reach.
	lostSince time.Time
	waits     map[*Wait]struct{}
	// pauses are, for each answered request, the longest time without a byte, that before the first included.
	pauses   latency
	schedule schedule
	// peerHeardAt is when a peer last heard an endpoint, as far as is known, and askNext when peers may be asked again.
	peerHeardAt, askNext time.Time
	// askedAt is when a peer last asked whether this host hears the fleet.
	askedAt time.Time
}

func (t *Table) fleet(name string) *fleet {
	t.mu.RLock()
	f := t.fleets[name]
	t.mu.RUnlock()
	if f != nil {
		return f
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.fleets[name]; f != nil {
		return f
	}
	f = &fleet{failures: map[string]evidence{}, waits: map[*Wait]struct{}{}}
	f.clear.Store(true)
	t.fleets[name] = f
	return f
}

// Want records that a request is to be sent to a fleet. Only wanted fleets are probed.
func (t *Table) Want(now time.Time, name string) { t.fleet(name).wantedAt.Store(now.UnixNano()) }

// Lost reports whether a fleet is out of reach.
func (t *Table) Lost(name string) bool {
	f := t.fleet(name)
	return !f.clear.Load() && f.lost()
}

// FailsAtOnce reports whether the last failure to reach a fleet took no time and sent nothing, so that a try
// costs nothing.
func (t *Table) FailsAtOnce(name string) bool {
	f := t.fleet(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastKind == Refused
}

// LostFleets returns the names of the fleets that are out of reach, sorted.
func (t *Table) LostFleets() []string {
	var lost []string
	for name, f := range t.all() {
		if f.lost() {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

func (t *Table) all() map[string]*fleet {
	t.mu.RLock()
	defer t.mu.RUnlock()
	fleets := make(map[string]*fleet, len(t.fleets))
	for name, f := range t.fleets {
		fleets[name] = f
	}
	return fleets
}

func (f *fleet) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lostSince.IsZero()
}

func (f *fleet) lastHeard() time.Time { return time.Unix(0, f.heardAt.Load()) }

// Heard records that bytes of a response of a fleet's endpoint arrived on a connection that was opened at a time.
// It returns for how long the fleet was out of reach if that ends now, else zero: that needs a connection that was
// opened since.
func (t *Table) Heard(now time.Time, name string, openedAt time.Time) (lostFor time.Duration) {
	f := t.fleet(name)
	f.heardAt.Store(now.UnixNano())
	if f.clear.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refute(openedAt)
	if !f.lostSince.IsZero() {
		if !openedAt.After(f.lostSince) {
			return 0
		}
		lostFor = max(now.Sub(f.lostSince), time.Nanosecond)
		f.lostSince = time.Time{}
		clear(f.failures)
	}
	f.clear.Store(len(f.failures) == 0)
	return lostFor
}

// Failed records that an endpoint of a fleet was not reached. endpoints is the number of endpoints of the fleet that
// requests may be sent to. It reports whether the fleet is out of reach from now on.
func (t *Table) Failed(now time.Time, name string, x Failure, endpoints int) (lost bool) {
	f := t.fleet(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clear.Store(false)
	f.addFailure(now, x)
	return f.becomesLost(now, endpoints)
}

// becomesLost records whether the fleet is out of reach, and reports whether that is new.
func (f *fleet) becomesLost(now time.Time, endpoints int) bool {
	if !f.lostSince.IsZero() || !f.isLost(now, endpoints) {
		return false
	}
	f.clear.Store(false)
	f.lostSince = now
	f.schedule.begin(now)
	return true
}
