// Package usage counts the requests of each organisation that began to run, in windows of
// true time, over all entry hosts. It does no I/O.
package usage

import (
	"slices"
	"sync"
	"time"
)

// keptWindows is how many windows are remembered: a report may be late when the platform
// is away.
const keptWindows = 8

// Counts are requests by organisation.
type Counts map[string]int64

// Source is one run of a host.
type Source struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// Ledger holds the counts of this host and what was heard of the others. It may be used by
// several goroutines.
type Ledger struct {
	length time.Duration
	mu     sync.Mutex
	own    map[int64]Counts
	others map[Source]map[int64]Counts
}

// NewLedger returns a ledger for windows of the given length.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, own: map[int64]Counts{}, others: map[Source]map[int64]Counts{}}
}

// Window is the number of the window that the instant of true time lies in.
func (l *Ledger) Window(trueTime time.Time) int64 {
	return trueTime.UnixMilli() / l.length.Milliseconds()
}

// End is when the window ends, in true time.
func (l *Ledger) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * l.length.Milliseconds())
}

// RecordStart counts a request that began to run.
func (l *Ledger) RecordStart(trueTime time.Time, organisation string) {
	window := l.Window(trueTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.own[window]
	if counts == nil {
		counts = Counts{}
		l.own[window] = counts
		prune(l.own, window)
	}
	counts[organisation]++
}

// prune drops the windows that nobody asks for any more.
func prune(windows map[int64]Counts, newest int64) {
	for w := range windows {
		if w <= newest-keptWindows {
			delete(windows, w)
		}
	}
}

// OwnCounts returns this host's counts of the newest windows.
func (l *Ledger) OwnCounts(windows int) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[int64]Counts, windows)
	for _, w := range newest(l.own, windows) {
		out[w] = clone(l.own[w])
	}
	return out
}

// CountsOf returns what was heard of the named hosts, of the newest windows.
func (l *Ledger) CountsOf(names []string, windows int) map[Source]map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Source]map[int64]Counts{}
	for from, known := range l.others {
		if !slices.Contains(names, from.Name) {
			continue
		}
		out[from] = make(map[int64]Counts, windows)
		for _, w := range newest(known, windows) {
			out[from][w] = clone(known[w])
		}
	}
	return out
}

func newest(windows map[int64]Counts, n int) []int64 {
	var all []int64
	for w := range windows {
		all = append(all, w)
	}
	slices.Sort(all)
	return all[max(len(all)-n, 0):]
}

func clone(c Counts) Counts {
	out := make(Counts, len(c))
	for name, n := range c {
		out[name] = n
	}
	return out
}

// OnReport takes in another host's counts; each window's only rise.
func (l *Ledger) OnReport(from Source, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.others[from]
	if known == nil {
		known = map[int64]Counts{}
		l.others[from] = known
	}
	for w, counts := range windows {
		if known[w] == nil {
			known[w] = Counts{}
			l.pruneOthers(w)
		}
		for name, n := range counts {
			known[w][name] = max(known[w][name], n)
		}
	}
}

// pruneOthers drops old windows of all hosts, and hosts of which none are left: earlier runs
// count until then.
func (l *Ledger) pruneOthers(newest int64) {
	for from, windows := range l.others {
		prune(windows, newest)
		if len(windows) == 0 {
			delete(l.others, from)
		}
	}
}

// Total is what all hosts counted in a window, as far as is known here.
func (l *Ledger) Total(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := clone(l.own[window])
	for _, windows := range l.others {
		for name, n := range windows[window] {
			sum[name] += n
		}
	}
	return sum
}
