package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// returnGrace is how long after the store's return an entry that lapsed meanwhile may be
// missing; the platform says about two seconds.
const returnGrace = 2200 * time.Millisecond

// ChangeKind tells what became of an endpoint.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeLeaving ChangeKind = "leaving"
	// ChangeMissing: no longer listed, but the store was away and it may come back.
	ChangeMissing  ChangeKind = "missing"
	ChangeReturned ChangeKind = "returned"
	ChangeRemoved  ChangeKind = "removed"
)

// Change is one change of what is believed of an endpoint.
type Change struct {
	Kind     ChangeKind
	Endpoint Endpoint
	// Version is the store version that showed it.
	Version uint64
}

// Entry is an endpoint at a version of the store.
type Entry struct {
	Endpoint Endpoint
	Version  uint64
}

// View is what the store has shown of the endpoints. It may be used by several goroutines.
type View struct {
	mu      sync.Mutex
	entries map[string]*held
	// asOf is the newest store version taken in.
	asOf uint64
	// changedAt is the version of the newest change.
	changedAt uint64
	// answeredAt is when the store last answered, and failed is set if a call failed since.
	answeredAt time.Time
	failed     bool
	// returnedAt is when it answered again after it was away; zero if it never was.
	returnedAt time.Time
	// confirmedAt is when the view was last known to be the newest.
	confirmedAt time.Time
	journal     journal
	// removed are the versions at which entries were last not listed any more.
	removed map[string]uint64
}

// maxRemoved bounds what is remembered of removed entries.
const maxRemoved = 2000

// awayAfter is the time without an answer of a store that fails after which entries may have
// lapsed: endpoints miss two heartbeats in that time.
const awayAfter = 2 * time.Second

type held struct {
	endpoint Endpoint
	version  uint64
	// seenAt is when the store last showed the entry.
	seenAt time.Time
	// missingSince is set while the entry is not listed.
	missingSince time.Time
	// leavesAt is when a leaving endpoint ends; zero if unknown.
	leavesAt time.Time
}

// NewView returns a view without endpoints.
func NewView() *View { return &View{entries: map[string]*held{}, removed: map[string]uint64{}} }

// StoreFailed notes that the store did not answer a call.
func (v *View) StoreFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failed = true
}

// answered notes that the store answers. It was away only if a call has failed: a host that
// asks seldom hears from it seldom.
func (v *View) answered(now time.Time) {
	if v.failed && !v.answeredAt.IsZero() && now.Sub(v.answeredAt) >= awayAfter {
		v.returnedAt = now
	}
	v.answeredAt = now
	v.failed = false
}

// mayReturn reports whether an entry that is not listed may only have lapsed while the
// store was away: it has not been shown since.
func (v *View) mayReturn(now time.Time, h *held) bool {
	if h.endpoint.Leaving || v.returnedAt.IsZero() {
		return false
	}
	return h.seenAt.Before(v.returnedAt) && now.Sub(v.returnedAt) < returnGrace
}

// Replace takes in a whole list read at a store version. A list older than what is known
// changes nothing.
func (v *View) Replace(now time.Time, list []Entry, asOf uint64) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered(now)
	if asOf < v.asOf {
		return nil
	}
	v.noteList(now, v.asOf, asOf)
	v.asOf = asOf
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Endpoint.ID] = true
		changes = v.put(now, e, changes)
	}
	for id := range v.entries {
		if !listed[id] {
			changes = v.missing(now, id, asOf, changes)
		}
	}
	if len(changes) > 0 {
		v.changedAt = asOf
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return changes
}

// StoreAnswered takes in that a watch answered without a change.
func (v *View) StoreAnswered(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered(now)
}

// Put takes in one entry that a watch has shown.
func (v *View) Put(now time.Time, e Entry) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered(now)
	v.asOf = max(v.asOf, e.Version)
	changes := v.put(now, e, nil)
	if len(changes) > 0 {
		v.changedAt = max(v.changedAt, e.Version)
	}
	return changes
}

// Delete takes in that a watch has shown an entry's removal at a version.
func (v *View) Delete(now time.Time, id string, asOf uint64) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered(now)
	v.asOf = max(v.asOf, asOf)
	h := v.entries[id]
	if h == nil {
		// Others may know it.
		v.note(now, EntryChange{Version: asOf, ID: id})
		return nil
	}
	if h.version > asOf {
		return nil
	}
	v.changedAt = max(v.changedAt, asOf)
	return v.missing(now, id, asOf, nil)
}

func (v *View) put(now time.Time, e Entry, changes []Change) []Change {
	old := v.entries[e.Endpoint.ID]
	if old != nil && e.Version < old.version {
		return changes
	}
	next := &held{endpoint: e.Endpoint, version: e.Version, seenAt: now}
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
		v.note(now, EntryChange{Version: e.Version, ID: e.Endpoint.ID, Endpoint: &next.endpoint})
	}
	return appendChange(changes, old, next)
}

func sameRun(a, b Endpoint) bool { return a.StartMillis == b.StartMillis && a.Address == b.Address }

func appendChange(changes []Change, old, next *held) []Change {
	change := Change{Endpoint: next.endpoint, Version: next.version}
	switch {
	case old == nil || !sameRun(old.endpoint, next.endpoint):
		change.Kind = ChangeAdded
	case !old.missingSince.IsZero():
		change.Kind = ChangeReturned
	case next.endpoint.Leaving && !old.endpoint.Leaving:
		change.Kind = ChangeLeaving
	default:
		return changes
	}
	return append(changes, change)
}

// missing removes an entry that is not listed, or marks it while it may only have lapsed.
func (v *View) missing(now time.Time, id string, asOf uint64, changes []Change) []Change {
	h := v.entries[id]
	if v.mayReturn(now, h) {
		if h.missingSince.IsZero() {
			h.missingSince = now
			v.note(now, EntryChange{Version: asOf, ID: id})
			changes = append(changes, Change{Kind: ChangeMissing, Endpoint: h.endpoint, Version: asOf})
		}
		return changes
	}
	delete(v.entries, id)
	if len(v.removed) >= maxRemoved {
		clear(v.removed)
	}
	v.removed[id] = asOf
	v.note(now, EntryChange{Version: asOf, ID: id})
	return append(changes, Change{Kind: ChangeRemoved, Endpoint: h.endpoint, Version: asOf})
}

// Versions are the newest store version taken in and that of the newest change.
func (v *View) Versions() (asOf, changedAt uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asOf, v.changedAt
}

// RemoveMissing lets time pass: what is still missing after the store's return is removed.
func (v *View) RemoveMissing(now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes []Change
	for id, h := range v.entries {
		if !h.missingSince.IsZero() && !v.mayReturn(now, h) {
			changes = v.missing(now, id, v.asOf, changes)
		}
	}
	return changes
}

// Known is an endpoint as it is believed to be.
type Known struct {
	Endpoint
	// LeavesAt is when a leaving endpoint ends; zero if unknown.
	LeavesAt time.Time
}

// Known lists the endpoints in order of their ids, the leaving ones included.
func (v *View) Known() []Known {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Known, 0, len(v.entries))
	for _, h := range v.entries {
		out = append(out, Known{h.endpoint, h.leavesAt})
	}
	slices.SortFunc(out, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
