package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// meanInterval is how long a list's mean load is used before it is added up again.
	meanInterval = 20 * time.Millisecond
	// regionDelay and dataCentreDelay are the round trips to another region and to
	// another data centre of the same region.
	regionDelay     = 30 * time.Millisecond
	dataCentreDelay = 2 * time.Millisecond
	// promptWeight is the weight of a new sample in the mean prompt size.
	promptWeight = 0.05
)

// view joins a table with the state of the endpoints that it names.
type view struct {
	table   *Table
	targets []*target
	lists   map[listKey]*liveList
	groups  map[string]*group
	byName  map[string]*target
}

// target is one endpoint of a view.
type target struct {
	info  *endpointInfo
	state *endpointState
	host  *hostState
	group *group
	// network is the round trip from this node.
	network time.Duration
}

// liveList is a candidate list with the state of its endpoints.
type liveList struct {
	*candidates
	targets    []*target
	popularity *popularity
	// mean and usable are as of meanAt, in Unix nanoseconds.
	meanAt     atomic.Int64
	meanBits   atomic.Uint64
	promptBits atomic.Uint64
}

// meanLoad is the mean number of requests over the list's usable endpoints.
func (l *liveList) meanLoad(now time.Time) float64 {
	nanos := now.UnixNano()
	last := l.meanAt.Load()
	age := nanos - last
	if last != 0 && age < int64(meanInterval) && age > -int64(meanInterval) {
		return math.Float64frombits(l.meanBits.Load())
	}
	mean := l.sumLoad(now)
	l.meanBits.Store(math.Float64bits(mean))
	l.meanAt.Store(nanos)
	return mean
}

func (l *liveList) sumLoad(now time.Time) float64 {
	sum, known := 0.0, 0
	for _, t := range l.targets {
		if !t.available(now) {
			continue
		}
		sum += t.state.lastRequests(now)
		known++
	}
	return sum / float64(max(known, 1))
}

func (l *liveList) observePrompt(tokens int) {
	old := l.promptBits.Load()
	mean := float64(tokens)
	if old != 0 {
		mean = math.Float64frombits(old)*(1-promptWeight) + mean*promptWeight
	}
	l.promptBits.CompareAndSwap(old, math.Float64bits(mean))
}

func (l *liveList) meanPrompt() float64 { return math.Float64frombits(l.promptBits.Load()) }

// available reports whether the endpoint takes new work at all.
func (t *target) available(now time.Time) bool {
	return t.host.usable.Load() && !t.state.ejected(now)
}

func (t *target) excluded(names []string) bool {
	for _, name := range names {
		if name == t.info.endpoint.Name {
			return true
		}
	}
	return false
}
