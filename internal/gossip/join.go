package gossip

import (
	"maps"
	"slices"
	"time"

	"rattanchute/internal/membership"
)

// maxConcurrentJoinRequests is the number of members that a joining node contacts in parallel.
const maxConcurrentJoinRequests = 32

// join is the state of a node's join. The node asks its seeds, and then every member it learns
// of, which configuration is active. The join is complete once the node has the newest one that
// it was told of and can obtain.
type join struct {
	seeds []string
	// queue lists the addresses still to be contacted.
	queue []string
	// queued holds every address that enqueue has added to queue since the join was last
	// restarted.
	queued map[string]struct{}
	// outstanding maps the addresses with a request in flight to the time it was sent.
	outstanding map[string]time.Time
	// recheck holds the addresses whose member table differed while a delta was in flight. They
	// are contacted once more after the delta.
	recheck map[string]struct{}
	// responded is set once the platform has responded or a peer has replied to an exchange.
	responded bool
	done      bool
}

func newJoin(seeds []string) join {
	j := join{
		seeds: seeds, queued: map[string]struct{}{}, outstanding: map[string]time.Time{}, recheck: map[string]struct{}{},
	}
	for _, address := range seeds {
		j.enqueue(address)
	}
	return j
}

func (j *join) enqueue(address string) {
	if _, ok := j.queued[address]; ok {
		return
	}
	j.queued[address] = struct{}{}
	j.queue = append(j.queue, address)
}

// enqueueMember queues a member that a joining node has learned of, unless the member has left.
// Members suspected by others are queued too, because they may be reachable from this node.
func (m *StateMachine) enqueueMember(r membership.Member) {
	if m.join.done || r.State == membership.StateLeft || r.Name == m.settings.Self.Name {
		return
	}
	m.join.enqueue(r.Address)
}

// recheckLater makes a joining node contact a peer once more if their member tables differ.
func (m *StateMachine) recheckLater(s Send, reply Message) {
	if !m.join.done && len(m.members.Set().Differing(reply.MemberBuckets)) > 0 {
		m.join.recheck[s.To] = struct{}{}
	}
}

// restartJoin makes a joining node contact all seeds once more, and all known members except those
// that have left.
func (m *StateMachine) restartJoin() {
	if m.join.done {
		return
	}
	clear(m.join.queued)
	m.join.queue = nil
	for _, address := range m.join.seeds {
		m.join.enqueue(address)
	}
	for _, r := range m.members.All() {
		m.enqueueMember(r)
	}
}

// tickJoin expires requests that are older than RequestTimeout, and restarts the join if neither
// the platform nor a peer has responded and no request is queued or outstanding.
func (m *StateMachine) tickJoin(now time.Time) Output {
	if m.join.done {
		return Output{}
	}
	for address, since := range m.join.outstanding {
		if now.Sub(since) > RequestTimeout {
			delete(m.join.outstanding, address)
		}
	}
	if !m.join.responded && len(m.join.queue) == 0 && len(m.join.outstanding) == 0 {
		m.restartJoin()
	}
	return m.advanceJoin(now)
}

// advanceJoin sends the next requests. It completes the join once the platform or a peer has
// responded, no request is queued or outstanding, no delta is in flight, and the node has the
// newest configuration that it knows of.
func (m *StateMachine) advanceJoin(now time.Time) Output {
	j := &m.join
	if j.done {
		return Output{}
	}
	if m.deltaSentAt.IsZero() && len(j.queue) == 0 {
		j.queue = slices.Sorted(maps.Keys(j.recheck))
		clear(j.recheck)
	}
	var out Output
	for len(j.queue) > 0 && len(j.outstanding) < maxConcurrentJoinRequests {
		address := j.queue[0]
		j.queue = j.queue[1:]
		if address == m.settings.Self.Address {
			continue
		}
		j.outstanding[address] = now
		out.Messages = append(out.Messages, Send{To: address, Message: m.message(KindExchange)})
	}
	idle := len(j.outstanding)+len(j.queue)+len(j.recheck) == 0 && m.deltaSentAt.IsZero()
	j.done = idle && j.responded && m.config.active >= m.config.newestSeen
	return out
}

// finishJoinRequest handles the reply to, or the failure of, an exchange while the node joins. A
// failed request of the join is sent again until it has been sent maxAttemptsFor times. Of other
// exchanges, only the fact that the peer replied matters.
func (m *StateMachine) finishJoinRequest(now time.Time, s Send, replied bool) Output {
	j := &m.join
	if j.done {
		return Output{}
	}
	j.responded = j.responded || replied
	if _, ok := j.outstanding[s.To]; !ok {
		return Output{}
	}
	if !replied && s.attempt+1 < m.maxAttemptsFor(s.To) {
		s.attempt++
		s.Message = m.message(KindExchange)
		j.outstanding[s.To] = now
		return Output{Messages: []Send{s}}
	}
	delete(j.outstanding, s.To)
	return m.advanceJoin(now)
}

// maxAttemptsFor returns how often an address is contacted: once if the member is considered
// dead, maxAttempts times otherwise.
func (m *StateMachine) maxAttemptsFor(address string) int {
	for _, r := range m.members.Dead() {
		if r.Address == address {
			return 1
		}
	}
	return maxAttempts
}
