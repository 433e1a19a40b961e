package duty

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/usage"
)

var errStoreUnavailable = errors.New("store unavailable")

const window = 5 * time.Second

// TestNextHolderRepeatsStoredCounts checks that two holders that counted differently report the
// same counts for a window, namely those stored first, even after the answer to the write was
// lost.
func TestNextHolderRepeatsStoredCounts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	closed := time.Unix(5000, 0)
	one, other := usage.NewLedger(window), usage.NewLedger(window)
	one.RecordStart(closed, "o")
	other.RecordStart(closed, "o")
	other.RecordStart(closed, "o")
	w := one.Window(closed)

	first := newReporter(store, store.eras, one)
	store.err, store.lateEffect = errStoreUnavailable, true
	_, err := first.persistCounts(ctx, []int64{w})
	is.True(err != nil) // the answer is lost, the write is not
	store.err = nil
	_, err = first.persistCounts(ctx, []int64{w})
	is.NoErr(err)
	next := newReporter(store, store.eras, other)
	_, err = next.persistCounts(ctx, []int64{w})
	is.NoErr(err)
	is.Equal(first.stored.Windows[w], usage.Counts{"o": 1})
	is.Equal(next.stored.Windows[w], first.stored.Windows[w])
	is.Equal(store.writes, 1)
}

// TestOpenWindowsAreNotDue checks that a window is reported only once the counts of all hosts
// can have arrived.
func TestOpenWindowsAreNotDue(t *testing.T) {
	is := is.New(t)
	ledger := usage.NewLedger(window)
	r := newReporter(newFakeStore(), new(objectstore.EraTracker), ledger)
	start := time.Unix(5000, 0)
	w := ledger.Window(start)
	is.Equal(r.dueWindows(ledger.End(w).Add(countsDelay - time.Millisecond))[reportableWindows-1], w-1)
	is.Equal(r.dueWindows(ledger.End(w).Add(countsDelay))[reportableWindows-1], w)
	r.reported[w] = true
	is.Equal(len(r.dueWindows(ledger.End(w).Add(countsDelay))), reportableWindows-1)
}

// restore replaces the store's contents by an earlier copy of them.
func (s *fakeStore) restore(objects map[string]objectstore.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[string]objectstore.Object{}
	maps.Copy(s.objects, objects)
	era := s.version.Era() + 1
	s.version = objectstore.NewVersion(era, s.version.Revision())
	if err := s.eras.Observe(era); err != nil {
		panic(err)
	}
}

// TestReportedCountsSurviveARestore checks that after a restore that loses what was stored about a
// window, a holder repeats the counts of which the previous holder has told it, and reports nothing for a
// window of which it was told nothing.
func TestReportedCountsSurviveARestore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	one, other := usage.NewLedger(window), usage.NewLedger(window)
	at := time.Unix(5000, 0)
	w := one.Window(at)
	one.RecordStart(at, "o")
	other.RecordStart(at, "o")
	other.RecordStart(at, "o")

	_, err := newReporter(store, store.eras, one).persistCounts(ctx, []int64{w - 1, w})
	is.NoErr(err)
	for told, total := range one.Final(1) {
		other.Finalize(told, total) // only the newest window is told in time
	}
	store.restore(nil)
	next := newReporter(store, store.eras, other)
	next.uncertainBefore = w + 1
	abandoned, err := next.persistCounts(ctx, []int64{w - 1, w, w + 1})
	is.NoErr(err)
	is.Equal(abandoned, []int64{w - 1})
	is.Equal(next.stored.Windows[w], usage.Counts{"o": 1})
	_, stored := next.stored.Windows[w-1]
	is.True(!stored)
	is.Equal(len(next.stored.Windows), 2) // windows that end after the restore are reported as usual
}

// TestHolderStoresItsReportsAgainAfterARestore checks that the holder itself does not count a window anew.
func TestHolderStoresItsReportsAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	ledger := usage.NewLedger(window)
	at := time.Unix(5000, 0)
	w := ledger.Window(at)
	ledger.RecordStart(at, "o")
	r := newReporter(store, store.eras, ledger)
	_, err := r.persistCounts(ctx, []int64{w})
	is.NoErr(err)
	store.restore(nil)
	ledger.RecordStart(at, "o") // a late count
	_, err = r.persistCounts(ctx, []int64{w, w + 1})
	is.NoErr(err)
	is.Equal(r.stored.Windows[w], usage.Counts{"o": 1})
}

func TestReportedWindowsAreForgotten(t *testing.T) {
	is := is.New(t)
	ledger := usage.NewLedger(window)
	r := newReporter(newFakeStore(), new(objectstore.EraTracker), ledger)
	for i := range 100 {
		for _, w := range r.dueWindows(time.Unix(5000, 0).Add(time.Duration(i) * window)) {
			r.reported[w] = true
		}
	}
	is.True(len(r.reported) <= storedWindows+2*reportableWindows)
}
