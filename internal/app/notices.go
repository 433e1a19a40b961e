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
	// noticeReaders is the number of daemons that read notices for all; the second
	// covers for the first while its failure is not yet noticed.
	noticeReaders = 2
	dutyNotices   = membership.Duty("cloud-notices")
)

// readNotices passes new notices on to all daemons, if that is this one's duty.
func (a *App) readNotices() {
	if !a.ownsShare(dutyNotices, noticeReaders) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	notices, err := a.cloud.Notices(ctx, a.noticesSeen)
	if err != nil {
		a.counter.noticeFailures.Inc()
		return
	}
	for _, n := range notices {
		a.noticesSeen = max(a.noticesSeen, n.Sequence)
		a.gossip.ObserveHostState(fleet.HostState{
			Host:     n.Host,
			Instance: n.Instance,
			Phase:    fleet.PhaseLeaving,
			Deadline: n.Deadline,
		})
	}
}

// ownsShare tells whether this daemon is among the first few that rank for a duty.
func (a *App) ownsShare(duty membership.Duty, count int) bool {
	ranked := membership.Rank(duty, a.gossip.Members())
	self := a.gossip.Self().Name
	for _, m := range ranked[:min(count, len(ranked))] {
		if m.Name == self {
			return true
		}
	}
	return false
}
