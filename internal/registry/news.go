package registry

import (
	"slices"
	"time"
)

// newsFor is how long a change is told: some messages may be lost.
const newsFor = 1500 * time.Millisecond

// Delta are the newest changes of a view, for others that know the endpoints as of a little
// earlier.
type Delta struct {
	// Since and AsOf are store versions: the changes are all that were made after the one,
	// and up to the other.
	Since uint64 `json:"since,omitempty"`
	AsOf  uint64 `json:"as_of,omitempty"`
	// Relists are the steps taken by reading the whole list: what came and went within one
	// was not seen.
	Relists []VersionRange `json:"lists,omitempty"`
	Changes []EntryChange  `json:"changes,omitempty"`
}

// VersionRange is from one store version to another.
type VersionRange struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// EntryChange is what became of an endpoint.
type EntryChange struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	// Endpoint is nil if the entry was removed.
	Endpoint *Endpoint `json:"endpoint,omitempty"`
}

// journal is what a view tells of late.
type journal struct {
	// since is the version after which all changes are kept.
	since uint64
	lists []dated[VersionRange]
	items []dated[EntryChange]
}

// dated is something that is told for a while.
type dated[T any] struct {
	told T
	at   time.Time
	// asOf is the view's version once it was taken in.
	asOf uint64
}

// keep returns what is still told, and the version that the rest was taken in by.
func keep[T any](all []dated[T], now time.Time) (kept []dated[T], since uint64) {
	old := 0
	for old < len(all) && now.Sub(all[old].at) >= newsFor {
		since = all[old].asOf
		old++
	}
	return slices.Delete(all, 0, old), since
}

func (j *journal) prune(now time.Time) {
	var lists, items uint64
	j.lists, lists = keep(j.lists, now)
	j.items, items = keep(j.items, now)
	j.since = max(j.since, lists, items)
}

func (v *View) note(now time.Time, item EntryChange) {
	v.journal.prune(now)
	v.journal.items = append(v.journal.items, dated[EntryChange]{item, now, v.asOf})
}

func (v *View) noteList(now time.Time, from, to uint64) {
	if from == 0 {
		v.journal.since = to
		return
	}
	v.journal.prune(now)
	v.journal.lists = append(v.journal.lists, dated[VersionRange]{VersionRange{from, to}, now, to})
}

// Delta returns the changes of late. The time that is left to a leaving endpoint is as of now.
func (v *View) Delta(now time.Time) Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.journal.prune(now)
	n := Delta{Since: v.journal.since, AsOf: v.asOf}
	for _, step := range v.journal.lists {
		n.Relists = append(n.Relists, step.told)
	}
	for _, item := range v.journal.items {
		n.Changes = append(n.Changes, v.asOfNow(now, item.told))
	}
	return n
}

// asOfNow brings what is told of an endpoint up to date if it is the newest.
func (v *View) asOfNow(now time.Time, item EntryChange) EntryChange {
	h := v.entries[item.ID]
	if item.Endpoint == nil || h == nil || h.version != item.Version {
		return item
	}
	e := h.endpoint
	if !h.leavesAt.IsZero() {
		e.LeavesIn = max(h.leavesAt.Sub(now), time.Millisecond)
	}
	item.Endpoint = &e
	return item
}

// follows reports whether the changes are all that a view misses that knows the endpoints as
// of a version.
func (n *Delta) follows(asOf uint64) bool {
	if asOf == 0 || asOf < n.Since {
		return false
	}
	for _, step := range n.Relists {
		if step.From < asOf && asOf < step.To {
			return false
		}
	}
	return true
}

// Apply takes in another host's news, which were the newest at an instant; a zero instant
// confirms nothing. It reports false if changes are missing between what is known and the
// news: the list must be read.
func (v *View) Apply(now time.Time, n Delta, confirmed time.Time) (changes []Change, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.asOf > n.AsOf {
		return nil, true
	}
	if !n.follows(v.asOf) {
		return nil, false
	}
	if !confirmed.IsZero() {
		v.answered(now)
		v.confirm(confirmed)
	}
	before := v.asOf
	v.asOf = n.AsOf
	if before < n.AsOf {
		v.noteList(now, before, n.AsOf)
	}
	for _, item := range n.Changes {
		changes = v.applyItem(now, item, changes)
	}
	if len(changes) > 0 {
		v.changedAt = max(v.changedAt, n.AsOf)
	}
	return changes, true
}

// applyItem takes in a change unless it is known or a newer one is.
func (v *View) applyItem(now time.Time, item EntryChange, changes []Change) []Change {
	h := v.entries[item.ID]
	if item.Endpoint == nil {
		if h == nil || h.version > item.Version {
			return changes
		}
		return v.missing(now, item.ID, item.Version, changes)
	}
	if h == nil && v.removed[item.ID] >= item.Version || h != nil && h.version >= item.Version {
		return changes
	}
	return v.put(now, Entry{*item.Endpoint, item.Version}, changes)
}

// Confirm notes that the view was the newest at an instant.
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

// ConfirmedAt is when the view was last known to be the newest.
func (v *View) ConfirmedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmedAt
}
