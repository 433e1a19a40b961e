package quarantine

import "time"

// ChangeKind is what happened to an entry.
type ChangeKind string

// The kinds of changes.
const (
	Quarantined ChangeKind = "quarantined"
	// Prolonged means that there was another crash.
	Prolonged ChangeKind = "prolonged"
	Released  ChangeKind = "released"
)

// Change is a change to the entries of this host.
type Change struct {
	Kind  ChangeKind
	Entry Entry
	// Source is the host that reported it; empty if this host found it out.
	Source string
}

// recordChanges records how the entries differ from those before.
func (t *Table) recordChanges(before []Entry, source string) {
	known := make(map[string]int, len(before))
	for _, e := range before {
		known[e.key()] = e.Crashes
	}
	for key, e := range t.entries {
		switch n, ok := known[key]; {
		case !ok:
			t.change(Quarantined, e.Entry, source)
		case e.Crashes > n:
			t.change(Prolonged, e.Entry, source)
		}
	}
	for _, e := range before {
		if t.entries[e.key()] == nil {
			t.change(Released, e, source)
		}
	}
}

func (t *Table) change(kind ChangeKind, e Entry, source string) {
	t.changes = append(t.changes, Change{Kind: kind, Entry: e, Source: source})
	t.version++
}

// TakeChanges returns the changes to the entries since its last call.
func (t *Table) TakeChanges(now time.Time) []Change {
	if !t.active.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now, "")
	changes := t.changes
	t.changes = nil
	return changes
}
