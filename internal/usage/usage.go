// Package usage counts the requests of each organisation that may have started to run, on all entry
// hosts, in windows of cluster time, which clock.ClusterClock estimates. It does no I/O.
package usage

import (
	"slices"
	"sync"
	"time"
)

// retainedWindows is the number of windows that are kept, counted back from the newest one. Several
// are needed because reports to the platform are late when the platform is unavailable.
const retainedWindows = 8

// Counts are numbers of requests by organisation.
type Counts map[string]int64

// Source identifies one run of a host.
type Source struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// Ledger holds the counts of this run of this host, and those that other hosts have reported, by
// window. It is safe for concurrent use.
type Ledger struct {
	windowLength   time.Duration
	mu             sync.Mutex
	ownCounts      map[int64]Counts
	reportedCounts map[Source]map[int64]Counts
	// final are the totals that may have been reported to the platform. They no longer change.
	final map[int64]Counts
}

// NewLedger returns a ledger with windows of the given length.
func NewLedger(windowLength time.Duration) *Ledger {
	return &Ledger{windowLength: windowLength, ownCounts: map[int64]Counts{}, reportedCounts: map[Source]map[int64]Counts{}, final: map[int64]Counts{}}
}

// Window returns the number of the window that contains the given cluster time.
func (l *Ledger) Window(clusterTime time.Time) int64 {
	return clusterTime.UnixMilli() / l.windowLength.Milliseconds()
}

// End returns the cluster time at which the window ends.
func (l *Ledger) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * l.windowLength.Milliseconds())
}

// RecordStart counts a request of an organisation that may have started to run.
func (l *Ledger) RecordStart(clusterTime time.Time, organisation string) {
	window := l.Window(clusterTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.ownCounts[window]
	if counts == nil {
		counts = Counts{}
		l.ownCounts[window] = counts
		prune(l.ownCounts, window)
	}
	counts[organisation]++
}

// prune drops the windows that are retainedWindows or more before newestWindow.
func prune(windows map[int64]Counts, newestWindow int64) {
	for w := range windows {
		if w <= newestWindow-retainedWindows {
			delete(windows, w)
		}
	}
}

// OwnCounts returns this host's counts in its newest windows, at most the given number of them.
func (l *Ledger) OwnCounts(windows int) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[int64]Counts, windows)
	for _, w := range newestWindows(l.ownCounts, windows) {
		out[w] = cloneCounts(l.ownCounts[w])
	}
	return out
}

// CountsOf returns the counts of the named hosts, by run, in each run's newest windows, at most the
// given number of them.
func (l *Ledger) CountsOf(names []string, windows int) map[Source]map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Source]map[int64]Counts{}
	for from, reported := range l.reportedCounts {
		if !slices.Contains(names, from.Name) {
			continue
		}
		out[from] = make(map[int64]Counts, windows)
		for _, w := range newestWindows(reported, windows) {
			out[from][w] = cloneCounts(reported[w])
		}
	}
	return out
}

func newestWindows(windows map[int64]Counts, n int) []int64 {
	var all []int64
	for w := range windows {
		all = append(all, w)
	}
	slices.Sort(all)
	return all[max(len(all)-n, 0):]
}

func cloneCounts(c Counts) Counts {
	out := make(Counts, len(c))
	for name, n := range c {
		out[name] = n
	}
	return out
}

// OnReport merges the counts of another host's run. The counts of a run never decrease, so the
// higher count is kept, and late and repeated reports have no effect.
func (l *Ledger) OnReport(from Source, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reported := l.reportedCounts[from]
	if reported == nil {
		reported = map[int64]Counts{}
		l.reportedCounts[from] = reported
	}
	for w, counts := range windows {
		if reported[w] == nil {
			reported[w] = Counts{}
			l.pruneReported(w)
		}
		for name, n := range counts {
			reported[w][name] = max(reported[w][name], n)
		}
	}
}

// pruneReported drops the old windows of all other hosts, and runs that have none left. Until then,
// the counts of runs that have ended are included in the totals.
func (l *Ledger) pruneReported(newestWindow int64) {
	for from, windows := range l.reportedCounts {
		prune(windows, newestWindow)
		if len(windows) == 0 {
			delete(l.reportedCounts, from)
		}
	}
}

// Finalize records the total of a window that may have been reported to the platform, by this host or by
// another one. Only the first total of a window counts.
func (l *Ledger) Finalize(window int64, total Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.final[window] != nil {
		return
	}
	l.final[window] = cloneCounts(total)
	prune(l.final, window)
}

// Final returns the final totals of the newest windows that have one, at most the given number of them.
func (l *Ledger) Final(windows int) map[int64]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[int64]Counts, windows)
	for _, w := range newestWindows(l.final, windows) {
		out[w] = cloneCounts(l.final[w])
	}
	return out
}

// IsFinal reports whether the window has a final total.
func (l *Ledger) IsFinal(window int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.final[window] != nil
}

// Total returns the final total of a window or, without one, the sum of the counts of all hosts, as far
// as they are known here.
func (l *Ledger) Total(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	if final := l.final[window]; final != nil {
		return cloneCounts(final)
	}
	total := cloneCounts(l.ownCounts[window])
	for _, windows := range l.reportedCounts {
		for name, n := range windows[window] {
			total[name] += n
		}
	}
	return total
}
