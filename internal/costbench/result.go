package costbench

import (
	"slices"
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/reclaim"
)

const (
	// missWindow is the length of the windows into which a day is divided. A window counts as
	// missed if more than missShare of its requests exceed the first-token target.
	missWindow = 5 * time.Minute
	missShare  = 0.05
	dayWindows = int(24 * time.Hour / missWindow)
)

// Result is the result of one simulated day with one policy.
type Result struct {
	// Cost is the cost of the hosts during the day, in units of the currency.
	Cost       float64
	requests   int
	overTarget int
	windows    [dayWindows]window
	// recomputed is the number of tokens that engines had to compute again.
	recomputed float64
	moved, cut int
	causes     [causes]int
	// hostsLost counts, in each window, the hosts with an engine that received a reclaim notice.
	hostsLost [dayWindows]int
	// stalls are the times that started streams were interrupted: from leaving an engine to the
	// next token on another.
	stalls     []time.Duration
	strategies map[reclaim.Strategy]int
	refused    int
	starts     int
	shortPlans int
	peakHosts  int
}

// cause is why a stream was computed again.
type cause int

const (
	causePlanned cause = iota
	causeTransferFailed
	causeTargetUnavailable
	causeEngineStopped
	causes
)

// recordHostLost counts a host with an engine that received a reclaim notice.
func (r *Result) recordHostLost(at time.Time) {
	if since := at.Sub(epoch); since >= 0 && since < 24*time.Hour {
		r.hostsLost[since/missWindow]++
	}
}

// lostBefore returns the number of hosts lost in a window and the two before it.
func (r *Result) lostBefore(at int) int {
	sum := 0
	for i := max(at-2, 0); i <= at; i++ {
		sum += r.hostsLost[i]
	}
	return sum
}

type window struct{ requests, overTarget int }

func (w window) missed() bool {
	return float64(w.overTarget) > missShare*float64(w.requests)
}

// firstToken counts a request in the window of its arrival; one that arrived outside the day is
// not counted.
func (r *Result) firstToken(arrived time.Time, took time.Duration) {
	since := arrived.Sub(epoch)
	if since < 0 || since >= 24*time.Hour {
		return
	}
	w := &r.windows[since/missWindow]
	w.requests++
	r.requests++
	if took > capacity.DefaultSettings().Target.FirstToken {
		w.overTarget++
		r.overTarget++
	}
}

// OverShare returns the share of requests that exceeded the first-token target.
func (r *Result) OverShare() float64 {
	return float64(r.overTarget) / float64(max(r.requests, 1))
}

// StallP95 returns the 95th percentile of the stalls, zero if there were none.
func (r *Result) StallP95() time.Duration {
	if len(r.stalls) == 0 {
		return 0
	}
	slices.Sort(r.stalls)
	return r.stalls[(len(r.stalls)-1)*95/100]
}

// Missed returns the number of windows in which the target was missed.
func (r *Result) Missed() int {
	count := 0
	for _, w := range r.windows {
		if w.missed() {
			count++
		}
	}
	return count
}

// MissedByBoth returns the number of windows in which both results missed the target.
func (r *Result) MissedByBoth(other *Result) int {
	count := 0
	for i, w := range r.windows {
		if w.missed() && other.windows[i].missed() {
			count++
		}
	}
	return count
}
