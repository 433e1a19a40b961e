package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/usage"
)

const (
	// settleTime is how long after its end the hosts' counts of a window are complete here.
	settleTime = 1200 * time.Millisecond
	// reportedWindows is how many windows back a holder reports: older ones are not known
	// to a host that has just started.
	reportedWindows = 3
	// storedWindows is how many windows' counts are kept in the store.
	storedWindows = 6
	// reportsName is the name of the one object.
	reportsName = "reports"
)

// storedReports are the counts that are or will be reported. They are stored before the
// first call, so that whoever holds the lease next repeats exactly what may have been sent.
type storedReports struct {
	Windows map[int64]usage.Counts `json:"windows"`
}

// reporter reports closed windows.
type reporter struct {
	store  objectstore.Store
	ledger *usage.Ledger
	// known says that version and stored are as in the store.
	known   bool
	version uint64
	stored  storedReports
	// done are the windows whose report was answered.
	done map[int64]bool
	// first is the first window to report: earlier ones began before this host knew of them.
	first int64
}

func newReporter(store objectstore.Store, ledger *usage.Ledger) *reporter {
	return &reporter{store: store, ledger: ledger, done: map[int64]bool{}}
}

// forget drops what was read under an earlier lease.
func (r *reporter) forget() { r.known = false }

// due lists the closed windows without an answered report, the oldest first.
func (r *reporter) due(trueTime time.Time) []int64 {
	var out []int64
	newest := r.ledger.Window(trueTime.Add(-settleTime)) - 1
	for w := max(newest-reportedWindows+1, r.first); w <= newest; w++ {
		if !r.done[w] {
			out = append(out, w)
		}
	}
	return out
}

// prepare has the window's counts in the store before they are reported.
func (r *reporter) prepare(ctx context.Context, windows []int64) error {
	if err := r.read(ctx); err != nil {
		return err
	}
	next := storedReports{Windows: maps.Clone(r.stored.Windows)}
	if next.Windows == nil {
		next.Windows = map[int64]usage.Counts{}
	}
	changed := false
	for _, w := range windows {
		if _, ok := next.Windows[w]; !ok {
			next.Windows[w] = r.ledger.Total(w)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	next.prune()
	return r.write(ctx, next)
}

func (s *storedReports) prune() {
	numbers := slices.Sorted(maps.Keys(s.Windows))
	for _, w := range numbers[:max(len(numbers)-storedWindows, 0)] {
		delete(s.Windows, w)
	}
}

func (r *reporter) read(ctx context.Context) error {
	if r.known {
		return nil
	}
	object, err := r.store.Get(ctx, objectstore.KindUsage, reportsName)
	if errors.Is(err, objectstore.ErrNotFound) {
		r.known, r.version, r.stored = true, 0, storedReports{}
		return nil
	}
	if err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	var stored storedReports
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	r.known, r.version, r.stored = true, object.Version, stored
	return nil
}

// write stores the counts. After any failure the object is read again: the write may have
// taken effect, or somebody else's.
func (r *reporter) write(ctx context.Context, next storedReports) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	object, err := put(ctx, r.store, objectstore.Object{
		Kind: objectstore.KindUsage, Name: reportsName, Version: r.version, Value: value,
	})
	if err != nil {
		r.known = false
		return fmt.Errorf("usage reports: %w", err)
	}
	r.version = object.Version
	r.stored = next
	return nil
}

// put creates an object that has no version yet, and updates others.
func put(ctx context.Context, store objectstore.Store, o objectstore.Object) (objectstore.Object, error) {
	if o.Version == 0 {
		return store.Create(ctx, o.Kind, o.Name, o.Value)
	}
	return store.Update(ctx, o)
}
