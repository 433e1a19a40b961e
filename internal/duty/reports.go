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
	// countsDelay is how long after the end of a window the counts of the other hosts may take to
	// arrive here.
	countsDelay = 1200 * time.Millisecond
	// reportableWindows is how many of the last windows a holder reports; a host that has just
	// started does not know the counts of older ones.
	reportableWindows = 3
	// storedWindows is the number of windows whose counts are kept in the store.
	storedWindows = 6
	// reportsName is the name of the single stored object.
	reportsName = "reports"
)

// storedReports are the counts that were or will be reported. They are stored before the first
// call, so that the next lease holder repeats exactly what may have been sent.
type storedReports struct {
	Windows map[int64]usage.Counts `json:"windows"`
}

// reporter reports the usage of closed windows.
type reporter struct {
	store  objectstore.Store
	ledger *usage.Ledger
	// loaded means that version and stored were read or written under the current lease.
	loaded  bool
	version uint64
	stored  storedReports
	// reported are the windows whose report by this host the platform has accepted.
	reported map[int64]bool
	// firstWindow is the first window to report: the one in which this host started. Earlier ones
	// ended before it counted.
	firstWindow int64
}

func newReporter(store objectstore.Store, ledger *usage.Ledger) *reporter {
	return &reporter{store: store, ledger: ledger, reported: map[int64]bool{}}
}

// reset discards what was read under an earlier lease.
func (r *reporter) reset() { r.loaded = false }

// dueWindows returns the windows to report now, the oldest first: of the last reportableWindows that
// ended at least countsDelay ago, those from firstWindow on that this host has not reported yet.
func (r *reporter) dueWindows(clusterTime time.Time) []int64 {
	var out []int64
	newest := r.ledger.Window(clusterTime.Add(-countsDelay)) - 1
	for w := max(newest-reportableWindows+1, r.firstWindow); w <= newest; w++ {
		if !r.reported[w] {
			out = append(out, w)
		}
	}
	return out
}

// persistCounts stores the counts of the windows, which has to succeed before they are reported.
// Counts that are stored already are not changed.
func (r *reporter) persistCounts(ctx context.Context, windows []int64) error {
	if err := r.load(ctx); err != nil {
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

func (r *reporter) load(ctx context.Context) error {
	if r.loaded {
		return nil
	}
	object, err := r.store.Get(ctx, objectstore.KindUsage, reportsName)
	if errors.Is(err, objectstore.ErrNotFound) {
		r.loaded, r.version, r.stored = true, 0, storedReports{}
		return nil
	}
	if err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	var stored storedReports
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	r.loaded, r.version, r.stored = true, object.Version, stored
	return nil
}

// write stores the counts. After any error the object is read again, because this write or
// another host's may have taken effect.
func (r *reporter) write(ctx context.Context, next storedReports) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	object, err := put(ctx, r.store, objectstore.Object{
		Kind: objectstore.KindUsage, Name: reportsName, Version: r.version, Value: value,
	})
	if err != nil {
		r.loaded = false
		return fmt.Errorf("usage reports: %w", err)
	}
	r.version = object.Version
	r.stored = next
	return nil
}

// put creates an object that has no version yet and updates any other.
func put(ctx context.Context, store objectstore.Store, o objectstore.Object) (objectstore.Object, error) {
	if o.Version == 0 {
		return store.Create(ctx, o.Kind, o.Name, o.Value)
	}
	return store.Update(ctx, o)
}
