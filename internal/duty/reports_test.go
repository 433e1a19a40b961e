package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

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

	first := newReporter(store, one)
	store.err, store.lateEffect = errStoreUnavailable, true
	is.True(first.persistCounts(ctx, []int64{w}) != nil) // the answer is lost, the write is not
	store.err = nil
	is.NoErr(first.persistCounts(ctx, []int64{w}))
	next := newReporter(store, other)
	is.NoErr(next.persistCounts(ctx, []int64{w}))
	is.Equal(first.stored.Windows[w], usage.Counts{"o": 1})
	is.Equal(next.stored.Windows[w], first.stored.Windows[w])
	is.Equal(store.writes, 1)
}

// TestOpenWindowsAreNotDue checks that a window is reported only once the counts of all hosts
// can have arrived.
func TestOpenWindowsAreNotDue(t *testing.T) {
	is := is.New(t)
	ledger := usage.NewLedger(window)
	r := newReporter(newFakeStore(), ledger)
	start := time.Unix(5000, 0)
	w := ledger.Window(start)
	is.Equal(r.dueWindows(ledger.End(w).Add(countsDelay - time.Millisecond))[reportableWindows-1], w-1)
	is.Equal(r.dueWindows(ledger.End(w).Add(countsDelay))[reportableWindows-1], w)
	r.reported[w] = true
	is.Equal(len(r.dueWindows(ledger.End(w).Add(countsDelay))), reportableWindows-1)
}
