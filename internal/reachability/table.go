package reachability

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRequired is the number of endpoints of a large fleet that must not have been reached before the fleet is
	// out of reach. Of a smaller fleet, all must.
	maxRequired = 4
	// unreachedRetention is how long a failure to reach an endpoint counts.
	unreachedRetention = 3 * time.Second
)

// Table holds the fleets. It is safe for concurrent use.
type Table struct {
	mu     sync.RWMutex
	fleets map[string]*fleet
}

// NewTable returns a table in which all fleets are in reach.
func NewTable() *Table { return &Table{fleets: map[string]*fleet{}} }

// fleet is what is known of the links to one fleet.
type fleet struct {
	// heardAt is when an endpoint was last heard, in nanoseconds since 1970 on the clock of the arguments.
	heardAt atomic.Int64
	// clear is set while nothing is known that hearing an endpoint changes: no lock is needed then.
	clear atomic.Bool

	mu sync.Mutex
	// unreached are the endpoints that could not be reached since one was last heard, with when that was.
	unreached map[string]time.Time
	// lostSince is when the fleet went out of reach; zero while it is in reach.
	lostSince time.Time
	waits     map[*Wait]struct{}
	// testedAt is when a test was last asked for, and turn counts the endpoints that were tried in turn.
	testedAt time.Time
	turn     int
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
	f = &fleet{unreached: map[string]time.Time{}, waits: map[*Wait]struct{}{}}
	f.clear.Store(true)
	t.fleets[name] = f
	return f
}

// Lost reports whether a fleet is out of reach.
func (t *Table) Lost(name string) bool {
	f := t.fleet(name)
	return !f.clear.Load() && f.lost()
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

// Heard records that an endpoint of a fleet sent something or accepted a connection. It returns for how long the
// fleet was out of reach if that ends now, else zero.
func (t *Table) Heard(now time.Time, name string) (lostFor time.Duration) {
	f := t.fleet(name)
	f.heardAt.Store(now.UnixNano())
	if f.clear.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unreached)
	f.clear.Store(true)
	if f.lostSince.IsZero() {
		return 0
	}
	lostFor = max(now.Sub(f.lostSince), time.Nanosecond)
	f.lostSince = time.Time{}
	return lostFor
}

// Unreached records that an endpoint of a fleet could not be reached, or that a connection to it no longer
// delivers anything. endpoints is the number of endpoints of the fleet that requests may be sent to. It reports
// whether the fleet is out of reach from now on.
func (t *Table) Unreached(now time.Time, name, endpoint string, endpoints int) (lost bool) {
	f := t.fleet(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clear.Store(false)
	f.unreached[endpoint] = now
	for id, at := range f.unreached {
		if now.Sub(at) >= unreachedRetention {
			delete(f.unreached, id)
		}
	}
	if !f.lostSince.IsZero() || len(f.unreached) < min(max(endpoints, 1), maxRequired) {
		return false
	}
	f.lostSince = now
	return true
}
