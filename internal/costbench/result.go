package costbench

import (
	"slices"
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/reclaim"
)

const (
	// missWindow is the time in which more than missShare of the requests over the
	// target count as a miss.
	missWindow = 5 * time.Minute
	missShare  = 0.05
	dayWindows = int(24 * time.Hour / missWindow)
)

// Result is what one day of one policy gave.
type Result struct {
	// Cost is in units of currency.
	Cost       float64
	requests   int
	over       int
	windows    [dayWindows]window
	recomputed float64
	moved, cut int
	causes     [causes]int
	// lost are the hosts taken away by notice in each window.
	lost [dayWindows]int
	// stalls are the times between two engines of a stream that had begun.
	stalls     []time.Duration
	ways       map[reclaim.Strategy]int
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
	causeTargetGone
	causeCut
	causes
)

// hostLost counts a host taken away with its engine.
func (r *Result) hostLost(at time.Time) {
	if since := at.Sub(epoch); since >= 0 && since < 24*time.Hour {
		r.lost[since/missWindow]++
	}
}

// lostBefore counts the hosts lost in a window and in the two before it.
func (r *Result) lostBefore(at int) int {
	sum := 0
	for i := max(at-2, 0); i <= at; i++ {
		sum += r.lost[i]
	}
	return sum
}

type window struct{ requests, over int }

func (w window) missed() bool {
	return float64(w.over) > missShare*float64(w.requests)
}

// firstToken counts a request by when it arrived.
func (r *Result) firstToken(arrived time.Time, took time.Duration) {
	since := arrived.Sub(epoch)
	if since < 0 || since >= 24*time.Hour {
		return
	}
	w := &r.windows[since/missWindow]
	w.requests++
	r.requests++
	if took > capacity.DefaultSettings().Target.FirstToken {
		w.over++
		r.over++
	}
}

// OverShare is the share of requests over the first-token target.
func (r *Result) OverShare() float64 {
	return float64(r.over) / float64(max(r.requests, 1))
}

// Stall is the 95th percentile of the stalls, zero without any.
func (r *Result) Stall() time.Duration {
	if len(r.stalls) == 0 {
		return 0
	}
	slices.Sort(r.stalls)
	return r.stalls[(len(r.stalls)-1)*95/100]
}

// Missed counts the windows in which the target was missed.
func (r *Result) Missed() int {
	count := 0
	for _, w := range r.windows {
		if w.missed() {
			count++
		}
	}
	return count
}

// MissedWith counts the windows that both missed.
func (r *Result) MissedWith(other *Result) int {
	count := 0
	for i, w := range r.windows {
		if w.missed() && other.windows[i].missed() {
			count++
		}
	}
	return count
}
