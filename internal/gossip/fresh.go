package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// urgentInterval is the shortest time between two pushes of leaving hosts. The first
// one goes at once; what comes in the meantime goes together with the next.
const urgentInterval = 100 * time.Millisecond

// freshHost is a run of a host lately heard to be leaving.
type freshHost struct {
	key hostKey
	at  time.Time
}

// freshHosts returns the latest of the hosts that are leaving, to be repeated.
func (m *StateMachine) freshHosts() []HostRecord {
	latest := m.fresh[max(0, len(m.fresh)-maxFresh):]
	out := make([]HostRecord, 0, len(latest))
	for _, f := range latest {
		if r, known := m.hosts.records[f.key]; known {
			out = append(out, r)
		}
	}
	return out
}

// expireFresh drops the hosts that have been repeated for long enough.
func (m *StateMachine) expireFresh(now time.Time) {
	i := 0
	for i < len(m.fresh) && now.Sub(m.fresh[i].at) >= freshFor {
		i++
	}
	m.fresh = m.fresh[i:]
}

// Flush pushes the hosts that are leaving, or asks to be called again when the last
// push was too short ago.
func (m *StateMachine) Flush(now time.Time, rnd *rand.Rand) Output {
	if len(m.urgent) == 0 {
		return Output{}
	}
	if wait := m.urgentAt.Add(urgentInterval).Sub(now); wait > 0 {
		return m.wakeIn(now, wait)
	}
	leaving := m.urgent
	m.urgent = nil
	m.urgentAt = now
	var out Output
	for part := range slices.Chunk(leaving, MaxRecords) {
		msg := m.message(KindPush)
		msg.Hosts = part
		out.Messages = append(out.Messages, m.toRandom(rnd, msg, Fanout, "")...)
	}
	for i := range out.Messages {
		out.Messages[i].Urgent = true
	}
	return out
}

// wakeIn asks for a Flush, once for all that wait.
func (m *StateMachine) wakeIn(now time.Time, wait time.Duration) Output {
	if m.wakeAt.After(now) {
		return Output{}
	}
	m.wakeAt = now.Add(wait)
	return Output{FlushAfter: wait}
}
