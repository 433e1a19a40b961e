package rollout

import (
	"fmt"
	"slices"
	"time"

	"rattanchute/internal/registry"
)

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
	f.restricted = isListed(f.rules.target) || slices.ContainsFunc(f.rules.blocked, isListed)
	f.wasRestricted = f.wasRestricted || f.restricted
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
		if !f.allHaveStopped && t.switchMayHaveBegun(now, f) || f.old == 0 {
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
