package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// urgentPushInterval is the minimum time between two pushes by Flush. The first push is sent
// immediately; hosts that start leaving in the meantime are batched into the next one.
const urgentPushInterval = 100 * time.Millisecond

// leavingHost identifies one run of a host that was recently learned to be leaving or gone.
type leavingHost struct {
	key   hostKey
	since time.Time
}

// recentLeavingRecords returns the records that exchanges repeat: those of the hosts that were most
// recently learned to be leaving or gone, at most maxRepeatedLeaving.
func (m *StateMachine) recentLeavingRecords() []HostRecord {
	latest := m.recentLeaving[max(0, len(m.recentLeaving)-maxRepeatedLeaving):]
	out := make([]HostRecord, 0, len(latest))
	for _, h := range latest {
		if r, known := m.hosts.records[h.key]; known {
			out = append(out, r)
		}
	}
	return out
}

// expireRecentLeaving drops the hosts that were learned to be leaving or gone leavingRepeatDuration
// ago or earlier.
func (m *StateMachine) expireRecentLeaving(now time.Time) {
	i := 0
	for i < len(m.recentLeaving) && now.Sub(m.recentLeaving[i].since) >= leavingRepeatDuration {
		i++
	}
	m.recentLeaving = m.recentLeaving[i:]
}

// Flush pushes the hosts that were learned to be leaving or gone since its last push. If that was
// less than urgentPushInterval ago, it requests a later call instead, unless one is already
// requested.
func (m *StateMachine) Flush(now time.Time, rnd *rand.Rand) Output {
	if len(m.urgentHosts) == 0 {
		return Output{}
	}
	if wait := m.urgentPushedAt.Add(urgentPushInterval).Sub(now); wait > 0 {
		return m.scheduleFlush(now, wait)
	}
	leaving := m.urgentHosts
	m.urgentHosts = nil
	m.urgentPushedAt = now
	var out Output
	for part := range slices.Chunk(leaving, MaxRecords) {
		msg := m.message(KindPush)
		msg.Hosts = part
		out.Messages = append(out.Messages, m.addressToRandom(rnd, msg, Fanout, "")...)
	}
	for i := range out.Messages {
		out.Messages[i].Urgent = true
	}
	return out
}

// scheduleFlush requests a single call of Flush for all hosts waiting to be pushed.
func (m *StateMachine) scheduleFlush(now time.Time, wait time.Duration) Output {
	if m.flushAt.After(now) {
		return Output{}
	}
	m.flushAt = now.Add(wait)
	return Output{FlushAfter: wait}
}
