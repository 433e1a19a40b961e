package configstore

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// run is a randomised sequence of changes by concurrent operators.
type run struct {
	t        *rapid.T
	store    *fakeStore
	racing   bool
	serial   int
	accepted map[string]bool
	rejected map[string]bool
	last     fleet.Generation
}

// TestPropertyNoChangeIsLostOrDuplicated lets operators race on a store that throttles, loses and
// delays writes, and loses responses. The audit trail must contain each accepted change, no rejected
// one, and one entry per generation.
func TestPropertyNoChangeIsLostOrDuplicated(t *testing.T) {
	var injected [faultKinds]int
	races, rejected, unknown := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := &run{t: t, store: newFakeStore(), accepted: map[string]bool{}, rejected: map[string]bool{}}
		r.seed(rapid.SampledFrom([]int{0, 49, 95, MaxInlineEntries}).Draw(t, "entries"))
		r.store.observe = r.observe
		kinds := rapid.IntRange(0, int(faultKinds)*rapid.SampledFrom([]int{1, 4}).Draw(t, "calm"))
		r.store.pick = func(write bool) fault {
			if !r.racing && rapid.IntRange(0, 9).Draw(t, "race") == 0 {
				races++
				r.racing = true
				r.accept()
				r.racing = false
			}
			if len(r.store.delayed) > 0 && rapid.Bool().Draw(t, "arrive") {
				r.store.applyDelayed()
			}
			f := fault(kinds.Draw(t, "fault"))
			if f >= faultKinds || (!write && f != faultRefused) {
				return faultNone
			}
			injected[f]++
			return f
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			r.accept()
		}
		r.store.pick = func(bool) fault { return faultNone }
		r.store.applyDelayed()
		r.check()
		rejected += len(r.rejected)
		unknown += r.serial - len(r.rejected) - len(r.accepted)
	})
	t.Logf("races %d, faults %v, rejected %d, unknown %d", races, injected, rejected, unknown)
	for f := faultRefused; f < faultKinds; f++ {
		if injected[f] == 0 {
			t.Errorf("fault %d never happened", f)
		}
	}
	if races == 0 || rejected == 0 || unknown == 0 {
		t.Error("no race, no rejected or no unknown change happened")
	}
}

// seed stores a configuration with a given number of audit entries.
func (r *run) seed(count int) {
	var entries []Entry
	for range count {
		r.serial++
		r.accepted[fmt.Sprint(r.serial)] = true
		r.last++
		entries = append(entries, Entry{ID: fmt.Sprint(r.serial), From: r.last - 1, To: r.last})
	}
	if count == 0 {
		return
	}
	value, err := encode(Stored{Generation: r.last, Text: text("d"), Audit: entries})
	if err != nil {
		r.t.Fatal(err)
	}
	_, _ = r.store.put(objectstore.Object{Kind: objectstore.KindConfiguration, Name: CurrentName, Value: value})
}

func (r *run) accept() {
	r.serial++
	id := fmt.Sprint(r.serial)
	stored := r.last
	if rapid.IntRange(0, 4).Draw(r.t, "stale") == 0 && stored > 0 {
		stored--
	}
	c := Change{ID: id, Operator: "o", Base: stored, Text: text("d" + id)}
	accepted, err := Accept(context.Background(), r.store, c, now)
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		r.accepted[id] = true
		if accepted.Entry.ID != id {
			r.t.Fatalf("change %s was answered with entry %s", id, accepted.Entry.ID)
		}
	case errors.As(err, &unknown):
	default:
		r.rejected[id] = true
	}
}

// observe checks that each value written as the configuration is the next generation and holds its
// audit entry.
func (r *run) observe(o objectstore.Object) {
	if o.Kind != objectstore.KindConfiguration {
		return
	}
	stored, err := Decode(o)
	if err != nil {
		r.t.Fatal(err)
	}
	last := stored.Audit[len(stored.Audit)-1]
	if stored.Generation != r.last+1 || last.From != r.last || len(stored.Audit) > MaxInlineEntries {
		r.t.Fatalf("generation %d after %d with %d entries", stored.Generation, r.last, len(stored.Audit))
	}
	r.last = stored.Generation
}

func (r *run) check() {
	trail, err := AuditTrail(context.Background(), r.store, 100_000)
	if err != nil {
		r.t.Fatal(err)
	}
	if len(trail) != int(r.last) {
		r.t.Fatalf("generation %d with %d entries", r.last, len(trail))
	}
	seen := map[string]bool{}
	for i, e := range trail {
		if e.To != r.last-fleet.Generation(i) || seen[e.ID] || r.rejected[e.ID] {
			r.t.Fatalf("entry %d is %+v, rejected: %v", i, e, r.rejected[e.ID])
		}
		seen[e.ID] = true
	}
	for id := range r.accepted {
		if !seen[id] {
			r.t.Fatalf("accepted change %s is lost", id)
		}
	}
}
