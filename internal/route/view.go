package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// crossRegionRTT and crossDataCentreRTT are the assumed round-trip times to another region
	// and to another data centre of the same region.
	crossRegionRTT     = 30 * time.Millisecond
	crossDataCentreRTT = 2 * time.Millisecond
	// promptWeight is the weight of a new sample in the moving average of the prompt size.
	promptWeight = 0.05
)

// view combines a table with the state of its endpoints.
type view struct {
	table   *Table
	targets []*target
	lists   map[listKey]*liveList
	pools   map[string]*pool
	byName  map[string]*target
	// byAddress maps the address that requests are sent to.
	byAddress map[string]*target
}

// target is one endpoint of a view.
type target struct {
	info  *endpointInfo
	state *endpointState
	host  *hostState
	pool  *pool
	// rtt is the assumed round-trip time between this node and the endpoint, by their data centres
	// and regions.
	rtt time.Duration
}

// liveList is a candidate list with the state of its endpoints.
type liveList struct {
	*candidates
	targets        []*target
	popularity     *popularity
	mean           meanLoad
	meanPromptBits atomic.Uint64
}

func (l *liveList) observePrompt(tokens int) {
	old := l.meanPromptBits.Load()
	mean := float64(tokens)
	if old != 0 {
		mean = math.Float64frombits(old)*(1-promptWeight) + mean*promptWeight
	}
	l.meanPromptBits.CompareAndSwap(old, math.Float64bits(mean))
}

func (l *liveList) meanPrompt() float64 { return math.Float64frombits(l.meanPromptBits.Load()) }

// available reports whether the endpoint may be chosen for new requests: its host is usable, and the
// endpoint is not ejected and has not said that it leaves or is closed for some time.
func (t *target) available(now time.Time) bool {
	return t.host.usable.Load() && !t.state.ejected(now) && t.state.signals.current().Verdict(now).Allowed
}

func (t *target) excluded(names []string) bool {
	for _, name := range names {
		if name == t.info.endpoint.Name {
			return true
		}
	}
	return false
}
