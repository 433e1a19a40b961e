package app

import (
	"context"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/membership"
)

const (
	// noticeInterval is the time between two reads of the cloud's notices.
	noticeInterval = 500 * time.Millisecond
	// noticeTimeout bounds one read.
	noticeTimeout = time.Second
	// noticeReaderCount is the number of daemons that read notices on behalf of all. The
	// second covers the time until a failure of the first is detected.
	noticeReaderCount = 2
	dutyNotices       = membership.Duty("cloud-notices")
)

// readNotices reads new notices from the cloud and gossips them to all daemons, if this
// daemon is one of the readers.
func (a *App) readNotices() {
	if !a.ranksAmongFirst(dutyNotices, noticeReaderCount) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	notices, err := a.cloud.Notices(ctx, a.lastNotice)
	if err != nil {
		a.metrics.noticeFailures.Inc()
		return
	}
	for _, n := range notices {
		a.lastNotice = max(a.lastNotice, n.Sequence)
		a.gossip.ObserveHostState(fleet.HostState{
			Host:     n.Host,
			Instance: n.Instance,
			Phase:    fleet.PhaseLeaving,
			Deadline: n.Deadline,
		})
	}
}

// ranksAmongFirst reports whether this daemon is among the first count members in the
// ranking for a duty.
func (a *App) ranksAmongFirst(duty membership.Duty, count int) bool {
	ranked := membership.Rank(duty, a.gossip.Members())
	self := a.gossip.Self().Name
	for _, m := range ranked[:min(count, len(ranked))] {
		if m.Name == self {
			return true
		}
	}
	return false
}
