package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/usage"
)

var errStoreAway = errors.New("store away")

const window = 5 * time.Second

// TestNextHolderRepeatsWhatWasStored: two holders that counted differently report a window
// with the same counts, those that were stored first, also after a lost answer.
func TestNextHolderRepeatsWhatWasStored(t *testing.T) {
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
	store.err, store.lateEffect = errStoreAway, true
	is.True(first.prepare(ctx, []int64{w}) != nil) // the answer is lost, the write is not
	store.err = nil
	is.NoErr(first.prepare(ctx, []int64{w}))
	next := newReporter(store, other)
	is.NoErr(next.prepare(ctx, []int64{w}))
	is.Equal(first.stored.Windows[w], usage.Counts{"o": 1})
	is.Equal(next.stored.Windows[w], first.stored.Windows[w])
	is.Equal(store.writes, 1)
}

// TestOpenWindowsAreNotDue: a window is reported once all hosts' counts can be here.
func TestOpenWindowsAreNotDue(t *testing.T) {
	is := is.New(t)
	ledger := usage.NewLedger(window)
	r := newReporter(newFakeStore(), ledger)
	start := time.Unix(5000, 0)
	w := ledger.Window(start)
	is.Equal(r.due(ledger.End(w).Add(settleTime - time.Millisecond))[reportedWindows-1], w-1)
	is.Equal(r.due(ledger.End(w).Add(settleTime))[reportedWindows-1], w)
	r.done[w] = true
	is.Equal(len(r.due(ledger.End(w).Add(settleTime))), reportedWindows-1)
}
