package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const window = 5 * time.Second

// TestSumHoldsAllRunsOfAllHosts: also those that have ended, and each report once.
func TestSumHoldsAllRunsOfAllHosts(t *testing.T) {
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

// TestOldWindowsAreForgotten: also of hosts that are gone.
func TestOldWindowsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := NewLedger(window)
	at := time.Unix(5000, 0)
	l.OnReport(Source{"gone", 1}, map[int64]Counts{l.Window(at): {"o": 1}})
	l.RecordStart(at, "o")
	later := l.Window(at) + 2*keptWindows
	l.OnReport(Source{"a", 1}, map[int64]Counts{later: {"o": 1}})
	is.Equal(len(l.others), 1)
	l.RecordStart(at.Add(2*keptWindows*window), "o")
	is.Equal(len(l.own), 1)
}

func TestWindowsOfTrueTime(t *testing.T) {
	is := is.New(t)
	l := NewLedger(window)
	is.Equal(l.Window(time.UnixMilli(9999)), int64(1))
	is.Equal(l.End(1), time.UnixMilli(10000))
}
