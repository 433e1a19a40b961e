package registry

import (
	"slices"
	"time"

	"rattanchute/internal/objectstore"
)

// deltaRetention is how long a change is included in deltas. It is repeated because messages
// may be lost.
const deltaRetention = 1500 * time.Millisecond

// Delta holds the most recent changes of a view, for hosts whose views are slightly older.
type Delta struct {
	// Since and AsOf are store versions. Apart from SkippedVersions, the delta holds all
	// changes made after Since and up to AsOf.
	Since objectstore.Version `json:"since,omitempty"`
	AsOf  objectstore.Version `json:"as_of,omitempty"`
	// SkippedVersions are the version ranges over which the view did not observe each change,
	// because it read the whole list or applied a delta. Changes lacks the entries that were
	// both added and removed within one of them, and holds all others that were changed there.
	SkippedVersions []VersionRange `json:"lists,omitempty"`
	Changes         []EntryChange  `json:"changes,omitempty"`
}

// VersionRange is a range of store versions.
type VersionRange struct {
	From objectstore.Version `json:"from"`
	To   objectstore.Version `json:"to"`
}

// EntryChange is the new state of an endpoint.
type EntryChange struct {
	Version objectstore.Version `json:"version"`
	ID      string              `json:"id"`
	// Endpoint is nil if the entry was removed or marked as missing.
	Endpoint *Endpoint `json:"endpoint,omitempty"`
}

// changeLog holds the recent changes of a view.
type changeLog struct {
	// since is the version after which every observed change is kept.
	since   objectstore.Version
	skipped []timestamped[VersionRange]
	changes []timestamped[EntryChange]
}

// timestamped is a value that is kept for deltaRetention.
type timestamped[T any] struct {
	value T
	at    time.Time
	// asOf is the view's version after the value was applied.
	asOf objectstore.Version
}

// dropExpired drops the values older than deltaRetention, in place. It returns those that are
// kept, and the view's version after the last dropped one was applied; zero if none was dropped.
func dropExpired[T any](all []timestamped[T], now time.Time) (kept []timestamped[T], since objectstore.Version) {
	old := 0
	for old < len(all) && now.Sub(all[old].at) >= deltaRetention {
		since = all[old].asOf
		old++
	}
	return slices.Delete(all, 0, old), since
}

func (l *changeLog) prune(now time.Time) {
	var skipped, changes objectstore.Version
	l.skipped, skipped = dropExpired(l.skipped, now)
	l.changes, changes = dropExpired(l.changes, now)
	l.since = max(l.since, skipped, changes)
}

func (v *View) logChange(now time.Time, change EntryChange) {
	v.changeLog.prune(now)
	v.changeLog.changes = append(v.changeLog.changes, timestamped[EntryChange]{change, now, v.asOf})
}

// logSkipped records that the view advanced from one version to another without observing each
// change in between. From version zero, that of an empty view, it records no range: the log starts
// at to.
func (v *View) logSkipped(now time.Time, from, to objectstore.Version) {
	if from == 0 {
		v.changeLog.since = to
		return
	}
	v.changeLog.prune(now)
	v.changeLog.skipped = append(v.changeLog.skipped, timestamped[VersionRange]{VersionRange{from, to}, now, to})
}

// Delta returns the recent changes. LeavesIn of a leaving endpoint is relative to now.
func (v *View) Delta(now time.Time) Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.changeLog.prune(now)
	d := Delta{Since: v.changeLog.since, AsOf: v.asOf}
	for _, versions := range v.changeLog.skipped {
		d.SkippedVersions = append(d.SkippedVersions, versions.value)
	}
	for _, change := range v.changeLog.changes {
		d.Changes = append(d.Changes, v.withTimeLeft(now, change.value))
	}
	return d
}

// withTimeLeft returns the change with the endpoint's current state and remaining time if it is
// still the newest change of the endpoint; otherwise it returns the change as it is.
func (v *View) withTimeLeft(now time.Time, change EntryChange) EntryChange {
	state := v.entries[change.ID]
	if change.Endpoint == nil || state == nil || state.version != change.Version {
		return change
	}
	e := state.endpoint
	if !state.leavesAt.IsZero() {
		e.LeavesIn = max(state.leavesAt.Sub(now), time.Millisecond)
	}
	change.Endpoint = &e
	return change
}

// appliesTo reports whether the delta contains every change that a view at version asOf lacks, apart
// from those that skippedRemovals finds.
func (d *Delta) appliesTo(asOf objectstore.Version) bool { return asOf != 0 && asOf >= d.Since }

// skippedRemovals returns the entries of a view at version asOf that were both added and removed within a
// skipped range of the delta. The delta does not contain them; the view holds them if it read the list in
// between.
func (d *Delta) skippedRemovals(asOf objectstore.Version, entries map[string]*entryState) []EntryChange {
	var removed []EntryChange
	for _, versions := range d.SkippedVersions {
		if asOf <= versions.From || versions.To <= asOf {
			continue
		}
		for id, state := range entries {
			if versions.From < state.version && state.version <= asOf && !d.changesSince(id, state.version) {
				removed = append(removed, EntryChange{Version: versions.To, ID: id})
			}
		}
	}
	return removed
}

// changesSince reports whether the delta holds a change of an entry at a version or later.
func (d *Delta) changesSince(id string, version objectstore.Version) bool {
	return slices.ContainsFunc(d.Changes, func(c EntryChange) bool { return c.ID == id && c.Version >= version })
}

// Apply applies a delta received from another host. confirmed is a time at which the delta was
// known to be the newest; the zero time confirms nothing. complete is false if there is a gap
// between this view and the delta. The delta is then not applied, and the list must be read. A
// delta older than the view is ignored, and complete is true.
func (v *View) Apply(now time.Time, d Delta, confirmed time.Time) (changes []Change, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.asOf > d.AsOf {
		return nil, true
	}
	if !d.appliesTo(v.asOf) {
		return nil, false
	}
	if d.AsOf.Era() > v.asOf.Era() {
		v.markRestored(now)
	}
	if !confirmed.IsZero() {
		v.recordResponse(now)
		v.confirm(confirmed)
	}
	before := v.asOf
	v.asOf = d.AsOf
	if before < d.AsOf {
		v.logSkipped(now, before, d.AsOf)
	}
	for _, change := range slices.Concat(d.skippedRemovals(before, v.entries), d.Changes) {
		changes = v.applyChange(now, change, changes)
	}
	if len(changes) > 0 {
		v.changedAt = max(v.changedAt, d.AsOf)
	}
	return changes, true
}

// applyChange applies a change unless it, or a newer one, is already known.
func (v *View) applyChange(now time.Time, change EntryChange, changes []Change) []Change {
	state := v.entries[change.ID]
	if change.Endpoint == nil {
		if state == nil || state.version > change.Version {
			return changes
		}
		return v.removeOrMarkMissing(now, change.ID, change.Version, changes)
	}
	if state == nil && v.removed[change.ID].version >= change.Version || state != nil && state.version >= change.Version {
		return changes
	}
	return v.put(now, Entry{*change.Endpoint, change.Version}, changes)
}

// Confirm records that the view was the newest at a given time. A time before the last confirmed
// one has no effect.
func (v *View) Confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm(at)
}

func (v *View) confirm(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// ConfirmedAt returns the last time at which the view was known to be the newest.
func (v *View) ConfirmedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmedAt
}
