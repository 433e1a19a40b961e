package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const window = 5 * time.Second

// TestTotalIncludesAllRunsOfAllHosts checks that the counts of ended runs are included and that no
// report is counted twice.
func TestTotalIncludesAllRunsOfAllHosts(t *testing.T) {
	is := is.New(t)
	l := NewLedger(window)
	at := time.Unix(5000, 0)
	w := l.Window(at)
	l.RecordStart(at, "o")
	l.OnReport(Source{"a", 1}, map[int64]Counts{w: {"o": 2}})
	l.OnReport(Source{"a", 1}, map[int64]Counts{w: {"o": 3}})
	l.OnReport(Source{"a", 1}, map[int64]Counts{w: {"o": 2}}) // late
	l.OnReport(Source{"a", 2}, map[int64]Counts{w: {"o": 4}})
	is.Equal(l.Total(w), Counts{"o": 8})
}

// TestOldWindowsAreDropped checks that old windows are dropped, and with them the runs that have not
// reported any newer ones.
func TestOldWindowsAreDropped(t *testing.T) {
	is := is.New(t)
	l := NewLedger(window)
	at := time.Unix(5000, 0)
	l.OnReport(Source{"gone", 1}, map[int64]Counts{l.Window(at): {"o": 1}})
	l.RecordStart(at, "o")
	later := l.Window(at) + 2*retainedWindows
	l.OnReport(Source{"a", 1}, map[int64]Counts{later: {"o": 1}})
	is.Equal(len(l.reportedCounts), 1)
	l.RecordStart(at.Add(2*retainedWindows*window), "o")
	is.Equal(len(l.ownCounts), 1)
}

func TestWindowBoundaries(t *testing.T) {
	is := is.New(t)
	l := NewLedger(window)
	is.Equal(l.Window(time.UnixMilli(9999)), int64(1))
	is.Equal(l.End(1), time.UnixMilli(10000))
}
