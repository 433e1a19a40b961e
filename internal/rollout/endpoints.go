package rollout

import (
	"time"

	"rattanchute/internal/registry"
)

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
	if !ended || f.restricted || !f.wasRestricted || f.rules.cleared {
		return
	}
	r := *f.rules
	r.cleared = true
	f.setRules(&r)
}
