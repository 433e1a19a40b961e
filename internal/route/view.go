package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
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
	mean       meanLoad
	promptBits atomic.Uint64
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
