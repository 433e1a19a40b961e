package rollout

import (
	"errors"
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
	// switchBegunAt is the version of the order at which this host has begun to write StepSwitch; zero if it has not.
	switchBegunAt objectstore.Version
	// peersConfirmedAt is a time at which no host had switched, as all hosts have reported; zero if there is none.
	peersConfirmedAt time.Time
	// allHaveStopped is set once all hosts have stopped: nobody can decide on a switch any more.
	allHaveStopped bool
	// endpoints are those of the fleet that do not leave, target and old the numbers of them, and warmUntil until when
	// they are slow.
	endpoints   []registry.Endpoint
	target, old int
	// listed are the versions of all endpoints, those that leave included.
	listed map[string]bool
	// restricted is set if one of them is the target or blocked, and wasRestricted if one was since the order began.
	restricted, wasRestricted bool
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
