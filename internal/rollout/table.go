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
	// OnResponse, if set, is told each response that counts as evidence: whether it is of the target, and OutcomeGood,
	// OutcomeFailed or OutcomeSlow. It must be set before the first request, and must not call the table.
	OnResponse func(target bool, outcome string)
	// clusterTime returns the cluster time at an instant of the table's clock.
	clusterTime func(time.Time) time.Time

	mu sync.Mutex
	// asOf is the store version of the entries, and confirmedAt a time at which they were the newest.
	asOf        objectstore.Version
	confirmedAt time.Time
	// contactAt is when they were confirmed after some time without.
	contactAt time.Time
	fleets    map[string]*fleetState
	// running counts the requests in progress by fleet and version.
	running map[string]map[string]int
	changes []Change
	// hosts is the number of hosts that may be running.
	hosts int
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
	// tried is the version of the order at which this host has begun to write StepSwitch; zero if it has not.
	tried objectstore.Version
	// peersConfirmedAt is a time at which no host had switched, as all hosts have reported; zero if there is none.
	peersConfirmedAt time.Time
	// certain is set once all hosts have stopped: nobody can decide on a switch any more.
	certain bool
	// endpoints are those of the fleet that do not leave, target and old the numbers of them, and warmUntil until when
	// they are slow.
	endpoints   []registry.Endpoint
	target, old int
	// listed are the versions of all endpoints, those that leave included.
	listed map[string]bool
	// kept is set if one of them is the target or blocked, and wasKept if one was since the order began.
	kept, wasKept bool
	// sawProgress is set if this host has known the order before its end.
	sawProgress bool
	warmUntil   map[string]time.Time
	// rules are the versions that the order concerns, and filters the choices of endpoints that follow from them.
	rules   *rules
	filters map[mode]func(*registry.Endpoint) bool
	// canary holds the endpoints that get requests in the pulse canaryPulse, and canaryFilter chooses them.
	canary       map[string]bool
	canaryFilter func(*registry.Endpoint) bool
	canaryPulse  int64
	longest      time.Duration
	// cutAt is when each new endpoint last cut a response off.
	cutAt map[string]time.Time
	// heard are the numbers of the new version's responses that peers report, by route.
	heard map[string]float64
}

// rules say which versions of a fleet an order concerns. They do not change.
type rules struct {
	target string
	// blocked are versions that get no requests, and retired endpoints that a completed order has replaced.
	blocked []string
	retired map[string]bool
	// cleared is set once all endpoints are gone that an ended order keeps from requests.
	cleared bool
}

// newRules returns the rules of the order, which depend on its entry and, once it has completed, on the endpoints.
func (f *fleetState) newRules() {
	r := &rules{target: f.entry.Order.Target, blocked: f.entry.blocked(), retired: map[string]bool{}}
	for i := range f.endpoints {
		if e := &f.endpoints[i]; f.entry.Step() == StepCompleted && e.Version != r.target {
			r.retired[e.ID] = true
		}
	}
	f.setRules(r)
}

func (f *fleetState) setRules(r *rules) {
	f.rules, f.filters = r, map[mode]func(*registry.Endpoint) bool{}
	f.canary, f.canaryPulse = nil, -1
	f.count()
}

// count counts the endpoints of the target and of old versions.
func (f *fleetState) count() {
	isListed := func(version string) bool { return f.listed[version] }
	f.kept = isListed(f.rules.target) || slices.ContainsFunc(f.rules.blocked, isListed)
	f.wasKept = f.wasKept || f.kept
	f.target, f.old = 0, 0
	for i := range f.endpoints {
		switch version := f.endpoints[i].Version; {
		case version == f.rules.target:
			f.target++
		case f.rules.isOld(version):
			f.old++
		}
	}
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

// The outcomes of responses.
const (
	OutcomeGood   = "good"
	OutcomeFailed = "failed"
	OutcomeSlow   = "slow"
)

// Steps returns the number of orders at each step, those that have ended included.
func (t *Table) Steps() map[Step]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[Step]int{}
	for _, f := range t.fleets {
		if !f.deleted {
			out[f.entry.Step()]++
		}
	}
	return out
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
	if !requestedAt.After(t.confirmedAt) {
		return
	}
	if requestedAt.Sub(t.confirmedAt) > contactGap {
		t.contactAt = now
	}
	t.confirmedAt = requestedAt
}

// contactGap is the time without a confirmation after which a host knows only what it learns anew.
const contactGap = 3 * time.Second

// Try records that this host is about to write StepSwitch for an order. Until the order has another version, the write may
// take effect.
func (t *Table) Try(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.fleets[e.Name]; f != nil {
		f.tried = e.Version
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
		f = &fleetState{heardAt: now, stepAt: now, rules: &rules{}}
		t.fleets[e.Name] = f
		f.setEndpoints(now, e.Name, t.known)
	} else if e.Version < f.entry.Version || e.Version == f.entry.Version && !f.deleted {
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
	f.sawProgress = f.sawProgress || !e.Step().Ended()
	f.newRules()
	t.change(f, "order", e.Record.Reason, "")
}

// begin forgets what belongs to an earlier order.
func (f *fleetState) begin(now time.Time) {
	f.heardAt = now
	f.allowance = allowance{pulse: -1}
	f.routes = map[string]*routeEvidence{}
	f.peers = map[string]peerReport{}
	f.stopped, f.certain, f.longest = "", false, 0
	f.tried, f.peersConfirmedAt = 0, time.Time{}
	f.wasKept, f.sawProgress = false, false
	f.cutAt = map[string]time.Time{}
	f.heard = map[string]float64{}
}

// withdraw ends an order that is no longer there. Its target, unless it was completed, gets no requests while
// its endpoints are there.
func (t *Table) withdraw(now time.Time, f *fleetState) {
	if f.deleted {
		return
	}
	f.deleted, f.stepAt = true, now
	f.clearIfGone()
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
	f.listed = map[string]bool{}
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
		f.listed[e.Version] = true
		if !e.Leaving {
			f.endpoints = append(f.endpoints, *e)
		}
	}
	f.count()
	f.clearIfGone()
}

// clearIfGone lets later endpoints of the same versions get requests once those that an ended order keeps from them are
// gone.
func (f *fleetState) clearIfGone() {
	ended := f.deleted && f.entry.Step() != StepCompleted || f.entry.Step() == StepRolledBack
	if !ended || f.kept || !f.wasKept || f.rules.cleared {
		return
	}
	r := *f.rules
	r.cleared = true
	f.setRules(&r)
}

// SetHosts records how many hosts may be running, this one included. A host that has started at startedAt has no part of the slack of
// earlier orders.
func (t *Table) SetHosts(hosts int, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = hosts
	started := t.clusterTime(startedAt).UnixMilli()
	for _, f := range t.fleets {
		if f.entry.Record.StartMillis > started {
			f.allowance.hosts = max(f.allowance.hosts, hosts)
		}
	}
}

// ConfirmedAt returns a time at which the known orders were the newest in the store; zero if there is none.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// StepsConfirmedAt returns a time at which the known steps were the newest, according to the store or to all hosts.
func (t *Table) StepsConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var at time.Time
	for _, f := range t.fleets {
		if f.deleted || f.entry.Step() != StepCanary {
			continue
		}
		if at.IsZero() || f.peersConfirmedAt.Before(at) {
			at = f.peersConfirmedAt
		}
	}
	return later(t.confirmedAt, at)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Active reports whether an order has not ended, and for how long a confirmation of its step counts; zero if there is no
// step yet.
func (t *Table) Active() (permit time.Duration, active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.fleets {
		if f.deleted || f.entry.Step().Ended() {
			continue
		}
		active = true
		p := time.Duration(f.entry.Record.PermitMillis) * time.Millisecond
		if p > 0 && (permit == 0 || p < permit) {
			permit = p
		}
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
	// modeAll: all versions get some.
	modeAll
)

const (
	// blockedAlone is how long after its end an order keeps requests from its target's endpoints although there are no
	// others, and blockedUnseen how long it does so at a host that started after its end.
	blockedAlone  = time.Minute
	blockedUnseen = 2 * time.Minute
)

// afterRollBack returns the mode after an order that was rolled back or withdrawn.
func (t *Table) afterRollBack(now time.Time, f *fleetState) mode {
	age := now.Sub(f.stepAt)
	if f.old == 0 && age > blockedAlone {
		return modeAll
	}
	if ended := f.entry.Record.EndedMillis; ended > 0 && !f.sawProgress {
		age = max(age, time.Duration(t.clusterTime(now).UnixMilli()-ended)*time.Millisecond)
		if age > blockedUnseen {
			return modeAll
		}
	}
	return modeOld
}

// mode returns which versions of the fleet get requests now.
func (t *Table) mode(now time.Time, f *fleetState) mode {
	if f.deleted {
		if f.entry.Step() == StepCompleted {
			return modeRetired
		}
		return t.afterRollBack(now, f)
	}
	switch f.entry.Step() {
	case StepCompleted:
		return modeRetired
	case StepRolledBack:
		return t.afterRollBack(now, f)
	case StepSwitch:
		return f.newUnlessStopped()
	case StepCanary:
		if !f.certain && t.switchMayHaveBegun(now, f) || f.old == 0 {
			return f.newUnlessStopped()
		}
		if f.stopped == "" {
			return modeCanary
		}
	case StepNone:
		if f.old == 0 {
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
	if now.Sub(later(t.confirmedAt, f.peersConfirmedAt)) <= time.Duration(r.PermitMillis)*time.Millisecond {
		return false
	}
	return t.clusterTime(now).Add(clockTolerance).UnixMilli() >= r.EarliestSwitchMillis
}

// isOld reports whether a version is one from which the order moves requests away.
func (r *rules) isOld(version string) bool {
	return version != r.target && !slices.Contains(r.blocked, version)
}

// permits reports whether an endpoint may get a request in a mode.
func (r *rules) permits(m mode, id, version string) bool {
	if r.cleared || m == modeAll {
		return true
	}
	if slices.Contains(r.blocked, version) {
		return false
	}
	switch m {
	case modeOld:
		return version != r.target
	case modeCanary:
		return true
	case modeNew:
		return version == r.target
	case modeRetired:
		return !r.retired[id]
	}
	return false
}

// filter returns the choice of endpoints in a mode. It may be used without the table's lock.
func (f *fleetState) filter(m mode) func(*registry.Endpoint) bool {
	if known := f.filters[m]; known != nil {
		return known
	}
	r := f.rules
	f.filters[m] = func(e *registry.Endpoint) bool { return r.permits(m, e.ID, e.Version) }
	return f.filters[m]
}

// describe returns the state of the fleet for an error.
func (f *fleetState) describe(m mode, version string) error {
	return fmt.Errorf("%w: version %s at step %s of the order for %s (mode %d, stopped: %q)",
		ErrNotPermitted, version, f.entry.Step(), f.entry.Order.Target, m, f.stopped)
}
