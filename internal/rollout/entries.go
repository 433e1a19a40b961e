package rollout

import (
	"time"

	"rattanchute/internal/objectstore"
)

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

// BeginSwitch records that this host is about to write StepSwitch for an order. Until the order has another version, the write may
// take effect.
func (t *Table) BeginSwitch(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.fleets[e.Name]; f != nil {
		f.switchBegunAt = e.Version
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
	f.stopped, f.allHaveStopped, f.longest = "", false, 0
	f.switchBegunAt, f.peersConfirmedAt = 0, time.Time{}
	f.wasRestricted, f.sawProgress = false, false
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
