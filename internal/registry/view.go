package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattanchute/internal/objectstore"
)

// ChangeKind is the kind of a change to an endpoint.
type ChangeKind string

// The kinds of change.
const (
	// ChangeAdded means that the endpoint was unknown, or that a new run of it was observed.
	ChangeAdded   ChangeKind = "added"
	ChangeLeaving ChangeKind = "leaving"
	// ChangeMissing means that the endpoint is no longer listed but may reappear, because the
	// store was unavailable.
	ChangeMissing ChangeKind = "missing"
	// ChangeReturned means that a missing endpoint is listed again and has not begun to leave meanwhile.
	ChangeReturned ChangeKind = "returned"
	ChangeRemoved  ChangeKind = "removed"
)

// Change is a change to the view of an endpoint.
type Change struct {
	Kind     ChangeKind
	Endpoint Endpoint
	// Version is the store version at which the change was observed.
	Version objectstore.Version
}

// Entry is an endpoint as of a store version.
type Entry struct {
	Endpoint Endpoint
	Version  objectstore.Version
}

// View is the state of the endpoints as observed in the store. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	entries map[string]*entryState
	// asOf is the newest store version observed.
	asOf objectstore.Version
	// changedAt is the store version at which a list, a watch or a delta last changed the view.
	// RemoveMissing leaves it as it is.
	changedAt objectstore.Version
	// respondedAt is when the store last responded to this host or to a peer; callFailed is set if a call
	// of this host has failed since its own last response, or since a delta last confirmed the view.
	respondedAt time.Time
	callFailed  bool
	// recoveredAt is when the store last responded again after an outage; zero if there was
	// none.
	recoveredAt time.Time
	// confirmedAt is the last time at which the view was known to be the newest.
	confirmedAt time.Time
	changeLog   changeLog
	// removed maps the IDs of removed entries to what is known of their removal, so that neither a
	// delta nor a store that was restored from an older copy adds them again.
	removed map[string]removal
	// restoredAt is when the store was last seen to be restored from an older copy; zero if never.
	restoredAt time.Time
}

// removal is the removal of an entry.
type removal struct {
	version  objectstore.Version
	endpoint Endpoint
}

// maxRemoved limits the number of removed entries that are remembered. When it is reached, all are
// forgotten.
const maxRemoved = 2000

// entryState is the state of an entry of a view.
type entryState struct {
	endpoint Endpoint
	version  objectstore.Version
	// seenAt is when the entry was last observed, in the store or in a delta.
	seenAt time.Time
	// missingSince is when the entry was found to be missing; zero while it is listed.
	missingSince time.Time
	// leavesAt is when a leaving endpoint ends; zero if unknown.
	leavesAt time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]*entryState{}, removed: map[string]removal{}}
}

// Replace replaces the view with a whole list, read at a store version, and returns the changes
// ordered by endpoint ID. Unlisted entries are removed or marked as missing. A list older than the
// view is ignored.
func (v *View) Replace(now time.Time, list []Entry, asOf objectstore.Version) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordResponse(now)
	if asOf < v.asOf {
		return nil
	}
	v.logSkipped(now, v.asOf, asOf)
	v.asOf = asOf
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Endpoint.ID] = true
		changes = v.put(now, e, changes)
	}
	for id := range v.entries {
		if !listed[id] {
			changes = v.removeOrMarkMissing(now, id, asOf, changes)
		}
	}
	if len(changes) > 0 {
		v.changedAt = asOf
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return changes
}

// Put applies an entry observed by a watch, unless the view has a newer version of it.
func (v *View) Put(now time.Time, e Entry) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordResponse(now)
	v.asOf = max(v.asOf, e.Version)
	changes := v.put(now, e, nil)
	if len(changes) > 0 {
		v.changedAt = max(v.changedAt, e.Version)
	}
	return changes
}

// Delete applies the removal of an entry, observed by a watch at a store version, unless the view
// has a newer version of the entry.
func (v *View) Delete(now time.Time, id string, asOf objectstore.Version) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordResponse(now)
	v.asOf = max(v.asOf, asOf)
	state := v.entries[id]
	if state == nil {
		// Hosts that receive the delta may still have the entry.
		v.logChange(now, EntryChange{Version: asOf, ID: id})
		return nil
	}
	if state.version > asOf {
		return nil
	}
	v.changedAt = max(v.changedAt, asOf)
	return v.removeOrMarkMissing(now, id, asOf, nil)
}

func (v *View) put(now time.Time, e Entry, changes []Change) []Change {
	old := v.entries[e.Endpoint.ID]
	if old == nil && v.endedBefore(now, &e.Endpoint) {
		return changes
	}
	if old != nil && e.Version < old.version {
		return changes
	}
	next := &entryState{endpoint: e.Endpoint, version: e.Version, seenAt: now}
	if old != nil && sameRun(old.endpoint, e.Endpoint) {
		// Leaving is final for one run of an endpoint.
		next.endpoint.Leaving = next.endpoint.Leaving || old.endpoint.Leaving
		next.leavesAt = old.leavesAt
	}
	if next.endpoint.LeavesIn > 0 && next.leavesAt.IsZero() {
		next.leavesAt = now.Add(next.endpoint.LeavesIn)
	}
	v.entries[e.Endpoint.ID] = next
	if old == nil || e.Version > old.version {
		v.logChange(now, EntryChange{Version: e.Version, ID: e.Endpoint.ID, Endpoint: &next.endpoint})
	}
	return appendChange(changes, old, next)
}

func sameRun(a, b Endpoint) bool { return a.StartMillis == b.StartMillis && a.Address == b.Address }

func appendChange(changes []Change, old, next *entryState) []Change {
	change := Change{Endpoint: next.endpoint, Version: next.version}
	switch {
	case old == nil || !sameRun(old.endpoint, next.endpoint):
		change.Kind = ChangeAdded
	case next.endpoint.Leaving && !old.endpoint.Leaving:
		change.Kind = ChangeLeaving
	case !old.missingSince.IsZero():
		change.Kind = ChangeReturned
	default:
		return changes
	}
	return append(changes, change)
}

// removeOrMarkMissing removes an entry that is not listed, or marks it as missing if it may
// have expired during a store outage.
func (v *View) removeOrMarkMissing(now time.Time, id string, asOf objectstore.Version, changes []Change) []Change {
	state := v.entries[id]
	if v.mayReappear(now, state) {
		if state.missingSince.IsZero() {
			state.missingSince = now
			v.logChange(now, EntryChange{Version: asOf, ID: id})
			changes = append(changes, Change{Kind: ChangeMissing, Endpoint: state.endpoint, Version: asOf})
		}
		return changes
	}
	delete(v.entries, id)
	if len(v.removed) >= maxRemoved {
		clear(v.removed)
	}
	v.removed[id] = removal{asOf, state.endpoint}
	v.logChange(now, EntryChange{Version: asOf, ID: id})
	return append(changes, Change{Kind: ChangeRemoved, Endpoint: state.endpoint, Version: asOf})
}

// Versions returns the newest store version observed, and the version at which a list, a watch or a
// delta last changed the view.
func (v *View) Versions() (asOf, changedAt objectstore.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asOf, v.changedAt
}

// Known is an endpoint in the view.
type Known struct {
	Endpoint
	// LeavesAt is when a leaving endpoint ends; zero if unknown.
	LeavesAt time.Time
}

// Known returns the endpoints ordered by ID, including those that are leaving or missing.
func (v *View) Known() []Known {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Known, 0, len(v.entries))
	for _, state := range v.entries {
		out = append(out, Known{state.endpoint, state.leavesAt})
	}
	slices.SortFunc(out, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
