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
	// reportsName is the name of the stored object, of which each era of the store has its own.
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
	eras   *objectstore.EraTracker
	ledger *usage.Ledger
	// loaded means that version and stored were read or written under the current lease, in the era
	// loadedEra of the store.
	loaded    bool
	loadedEra uint64
	version   objectstore.Version
	stored    storedReports
	// reported are the windows whose report by this host the platform has accepted.
	reported map[int64]bool
	// firstWindow is the first window to report: the one in which this host started. Earlier ones
	// ended before it counted.
	firstWindow int64
	// uncertainBefore is the first window that cannot have ended before a restore of the store; zero if
	// there was none. Another host may have reported earlier ones, and the store has lost what.
	uncertainBefore int64
}

func newReporter(store objectstore.Store, eras *objectstore.EraTracker, ledger *usage.Ledger) *reporter {
	return &reporter{store: store, eras: eras, ledger: ledger, reported: map[int64]bool{}}
}

// reset discards what was read under an earlier lease.
func (r *reporter) reset() { r.loaded = false }

// dueWindows returns the windows to report now, the oldest first: of the last reportableWindows that
// ended at least countsDelay ago, those from firstWindow on that this host has not reported yet.
func (r *reporter) dueWindows(clusterTime time.Time) []int64 {
	var out []int64
	newest := r.ledger.Window(clusterTime.Add(-countsDelay)) - 1
	// A margin covers a cluster time that is corrected backwards.
	r.forgetBefore(newest - storedWindows - reportableWindows)
	for w := max(newest-reportableWindows+1, r.firstWindow); w <= newest; w++ {
		if !r.reported[w] {
			out = append(out, w)
		}
	}
	return out
}

// persistCounts stores the counts of the windows, which has to succeed before they are reported.
// Counts that are stored already are not changed. It returns the windows that must not be reported,
// because it is not known which counts were reported for them.
func (r *reporter) persistCounts(ctx context.Context, windows []int64) (abandoned []int64, err error) {
	if err := r.load(ctx); err != nil {
		return nil, err
	}
	next := storedReports{Windows: maps.Clone(r.stored.Windows)}
	if next.Windows == nil {
		next.Windows = map[int64]usage.Counts{}
	}
	changed := false
	for _, w := range windows {
		if _, ok := next.Windows[w]; ok {
			continue
		}
		if w < r.uncertainBefore && !r.ledger.IsFinal(w) {
			abandoned = append(abandoned, w)
			continue
		}
		next.Windows[w] = r.ledger.Total(w)
		changed = true
	}
	if !changed {
		return abandoned, nil
	}
	next.prune()
	return abandoned, r.write(ctx, next)
}

// forgetBefore forgets which windows before the given one were reported, as they are no longer due.
func (r *reporter) forgetBefore(window int64) {
	maps.DeleteFunc(r.reported, func(w int64, _ bool) bool { return w < window })
}

// finalize makes the stored counts final in the ledger, which shares them with the other hosts.
func (r *reporter) finalize() {
	for w, counts := range r.stored.Windows {
		r.ledger.Finalize(w, counts)
	}
}

func (s *storedReports) prune() {
	numbers := slices.Sorted(maps.Keys(s.Windows))
	for _, w := range numbers[:max(len(numbers)-storedWindows, 0)] {
		delete(s.Windows, w)
	}
}

func (r *reporter) load(ctx context.Context) error {
	era, _ := r.eras.Era()
	if r.loaded && r.loadedEra == era {
		return nil
	}
	r.loadedEra = era
	object, err := r.store.Get(ctx, objectstore.KindUsage, r.objectName())
	if errors.Is(err, objectstore.ErrNotFound) {
		r.loaded, r.version, r.stored = true, 0, storedReports{}
		return r.checkEra()
	}
	if err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	var stored storedReports
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return fmt.Errorf("usage reports: %w", err)
	}
	r.loaded, r.version, r.stored = true, object.Version, stored
	r.finalize()
	return r.checkEra()
}

func (r *reporter) objectName() string { return objectstore.NameInEra(reportsName, r.loadedEra) }

// checkEra returns an error if the store was restored since its state was loaded. What was read or written
// under the name of the earlier era then does not count.
func (r *reporter) checkEra() error {
	if era, _ := r.eras.Era(); era != r.loadedEra {
		r.loaded = false
		return fmt.Errorf("usage reports: %w: restored in era %d", objectstore.ErrUnavailable, era)
	}
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
		Kind: objectstore.KindUsage, Name: r.objectName(), Version: r.version, Value: value,
	})
	if err != nil {
		r.loaded = false
		return fmt.Errorf("usage reports: %w", err)
	}
	if err := r.checkEra(); err != nil {
		return err
	}
	r.version = object.Version
	r.stored = next
	r.finalize()
	return nil
}

// put creates an object that has no version yet and updates any other.
func put(ctx context.Context, store objectstore.Store, o objectstore.Object) (objectstore.Object, error) {
	if o.Version == 0 {
		return store.Create(ctx, o.Kind, o.Name, o.Value)
	}
	return store.Update(ctx, o)
}
