package rollout

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
)

// ErrNotPermitted means that a request was not sent because its endpoint's version may get none now.
var ErrNotPermitted = errors.New("roll-out: the endpoint's version gets no requests")

// clockTolerance is by how much the cluster times of two hosts may differ.
const clockTolerance = 300 * time.Millisecond

// Table holds the orders that a host knows, its evidence and that of its peers. It is safe for concurrent use.
type Table struct {
	limits Limits
	// clusterTime returns the cluster time at an instant of the table's clock.
	clusterTime func(time.Time) time.Time

	mu sync.Mutex
	// asOf is the store version of the entries, and confirmedAt a time at which they were the newest.
	asOf        objectstore.Version
	confirmedAt time.Time
	fleets      map[string]*fleetState
	// running counts the requests in progress by fleet and version.
	running map[string]map[string]int
	changes []Change
	// known are the listed endpoints.
	known []registry.Known
}

// fleetState is the state of a fleet that has, or lately had, an order.
type fleetState struct {
	entry Entry
	// deleted is set if the order was withdrawn.
	deleted bool
	// heardAt is when this host first heard of the order, and stepAt when of its step.
	heardAt, stepAt time.Time
	allowance       allowance
	routes          map[string]*routeEvidence
	peers           map[string]peerReport
	// stopped says why this host sends nothing more to the new version; empty if it does.
	stopped string
	// endpoints are those of the fleet that do not leave, and warmUntil until when they are slow.
	endpoints []registry.Endpoint
	warmUntil map[string]time.Time
	// retired are the endpoints that a completed order has replaced.
	retired map[string]bool
	// canary holds the endpoints that get requests in the pulse canaryPulse.
	canary      map[string]bool
	canaryPulse int64
	longest     time.Duration
}

// Change is a change that is worth a log line.
type Change struct {
	Fleet  string
	Target string
	// Kind is "order", "stopped", "withdrawn".
	Kind   string
	Step   Step
	Reason string
	Source string
}

// NewTable returns a table without orders.
func NewTable(l Limits, clusterTime func(time.Time) time.Time) *Table {
	return &Table{
		limits: l, clusterTime: clusterTime, fleets: map[string]*fleetState{}, running: map[string]map[string]int{},
	}
}

// Replace records all orders that the store holds as of a version. requestedAt is when the list was requested; zero
// if it is not known to be the newest.
func (t *Table) Replace(now, requestedAt time.Time, entries []Entry, asOf objectstore.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf >= t.asOf {
		t.asOf = asOf
		listed := map[string]bool{}
		for _, e := range entries {
			listed[e.Name] = true
			t.put(now, e)
		}
		for name, f := range t.fleets {
			if !listed[name] {
				t.withdraw(now, f)
			}
		}
	}
	if requestedAt.After(t.confirmedAt) {
		t.confirmedAt = requestedAt
	}
}

// Put records an order that was read or written.
func (t *Table) Put(now time.Time, e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = max(t.asOf, e.Version)
	t.put(now, e)
}

// Delete records that an order is gone as of a version.
func (t *Table) Delete(now time.Time, name string, asOf objectstore.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = max(t.asOf, asOf)
	if f := t.fleets[name]; f != nil && f.entry.Version < asOf {
		t.withdraw(now, f)
	}
}

func (t *Table) put(now time.Time, e Entry) {
	f := t.fleets[e.Name]
	if f == nil {
		f = &fleetState{heardAt: now, stepAt: now, canaryPulse: -1}
		t.fleets[e.Name] = f
		f.setEndpoints(now, e.Name, t.known)
	} else if e.Version <= f.entry.Version {
		return
	}
	before := f.entry
	isSame := before.Version > 0 && !f.deleted && before.Order.Target == e.Order.Target &&
		(before.IsNew() || !e.IsNew() && before.Record.StartMillis == e.Record.StartMillis)
	f.entry, f.deleted = e, false
	if !isSame {
		f.begin(now)
	}
	if isSame && before.Step() == e.Step() {
		return
	}
	f.stepAt = now
	f.retire()
	t.change(f, "order", e.Record.Reason, "")
}

// begin forgets what belongs to an earlier order.
func (f *fleetState) begin(now time.Time) {
	f.heardAt = now
	f.allowance = allowance{pulse: -1}
	f.routes = map[string]*routeEvidence{}
	f.peers = map[string]peerReport{}
	f.stopped, f.canary, f.canaryPulse, f.longest = "", nil, -1, 0
}

// retire remembers which endpoints a completed order has replaced.
func (f *fleetState) retire() {
	f.retired = nil
	if f.entry.Step() != StepCompleted {
		return
	}
	f.retired = map[string]bool{}
	for _, e := range f.endpoints {
		if e.Version != f.entry.Order.Target {
			f.retired[e.ID] = true
		}
	}
}

// withdraw ends an order that is no longer there. Its target, unless it was completed, gets no requests while
// its endpoints are there.
func (t *Table) withdraw(now time.Time, f *fleetState) {
	if f.deleted {
		return
	}
	f.deleted, f.stepAt = true, now
	t.change(f, "withdrawn", "", "")
}

func (t *Table) change(f *fleetState, kind, reason, source string) {
	const most = 256
	if len(t.changes) >= most {
		return
	}
	t.changes = append(t.changes, Change{f.entry.Name, f.entry.Order.Target, kind, f.entry.Step(), reason, source})
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

// SetEndpoints records the endpoints that are listed now, and SetHosts how many hosts may be running.
func (t *Table) SetEndpoints(now time.Time, known []registry.Known) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = known
	for name, f := range t.fleets {
		f.setEndpoints(now, name, known)
	}
}

func (f *fleetState) setEndpoints(now time.Time, name string, known []registry.Known) {
	before := f.warmUntil
	f.endpoints, f.warmUntil, f.canary, f.canaryPulse = nil, map[string]time.Time{}, nil, -1
	for i := range known {
		e := &known[i].Endpoint
		if e.Fleet != name {
			continue
		}
		until, seen := before[e.ID]
		if !seen {
			until = now.Add(e.WarmupLeft)
		}
		f.warmUntil[e.ID] = until
		if !e.Leaving {
			f.endpoints = append(f.endpoints, *e)
		}
	}
}

// SetHosts records how many hosts may be running. A host that has started at startedAt has no part of the slack of
// earlier orders.
func (t *Table) SetHosts(hosts int, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	started := t.clusterTime(startedAt).UnixMilli()
	for _, f := range t.fleets {
		if f.entry.Record.StartMillis > started {
			f.allowance.hosts = max(f.allowance.hosts, hosts)
		}
	}
}

// ConfirmedAt returns a time at which the known orders were the newest; zero if there is none.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// Active reports whether an order has not ended, and for how long a confirmation of its step counts.
func (t *Table) Active() (permit time.Duration, active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.fleets {
		if f.deleted || f.entry.Step().Ended() {
			continue
		}
		p := time.Duration(f.entry.Record.PermitMillis) * time.Millisecond
		if !active || p < permit {
			permit = p
		}
		active = true
	}
	return permit, active
}

// mode is which versions get requests.
type mode int

const (
	// modeOld: none goes to the target, or to blocked versions.
	modeOld mode = iota
	// modeCanary: a share goes to the target.
	modeCanary
	// modeNew: all go to the target.
	modeNew
	// modeNone: neither version may get any.
	modeNone
	// modeRetired: all but those that the order has replaced get some.
	modeRetired
)

// mode returns which versions of the fleet get requests now.
func (t *Table) mode(now time.Time, f *fleetState) mode {
	if f.deleted {
		if f.entry.Step() == StepCompleted {
			return modeRetired
		}
		return modeOld
	}
	switch f.entry.Step() {
	case StepCompleted:
		return modeRetired
	case StepSwitch:
		return f.newUnlessStopped()
	case StepCanary:
		if t.switchMayHaveBegun(now, f) || !f.hasOld() {
			return f.newUnlessStopped()
		}
		if f.stopped == "" {
			return modeCanary
		}
	case StepNone:
		if !f.hasOld() {
			return modeNew
		}
	}
	return modeOld
}

func (f *fleetState) newUnlessStopped() mode {
	if f.stopped != "" {
		return modeNone
	}
	return modeNew
}

// switchMayHaveBegun reports whether this host's confirmation of the canary step is too old to rule out the next one.
func (t *Table) switchMayHaveBegun(now time.Time, f *fleetState) bool {
	r := &f.entry.Record
	if now.Sub(t.confirmedAt) <= time.Duration(r.PermitMillis)*time.Millisecond {
		return false
	}
	return t.clusterTime(now).Add(clockTolerance).UnixMilli() >= r.EarliestSwitchMillis
}

// hasOld reports whether there is an endpoint of an old version.
func (f *fleetState) hasOld() bool {
	for i := range f.endpoints {
		if f.isOld(f.endpoints[i].Version) {
			return true
		}
	}
	return false
}

// isOld reports whether a version is one from which the order moves requests away.
func (f *fleetState) isOld(version string) bool {
	return version != f.entry.Order.Target && !slices.Contains(f.blocked(), version)
}

func (f *fleetState) blocked() []string { return f.entry.blocked() }

// permits reports whether an endpoint may get a request in a mode.
func (f *fleetState) permits(m mode, id, version string) bool {
	target := f.entry.Order.Target
	if slices.Contains(f.blocked(), version) {
		return false
	}
	switch m {
	case modeOld:
		return version != target
	case modeCanary:
		return true
	case modeNew:
		return version == target
	case modeRetired:
		return !f.retired[id]
	}
	return false
}

// describe returns the state of the fleet for an error.
func (f *fleetState) describe(m mode, version string) error {
	return fmt.Errorf("%w: version %s at step %s of the order for %s (mode %d, stopped: %q)",
		ErrNotPermitted, version, f.entry.Step(), f.entry.Order.Target, m, f.stopped)
}
