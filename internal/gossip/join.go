package gossip

import (
	"maps"
	"slices"
	"time"

	"rattanchute/internal/membership"
)

// joinWindow is the number of members a starting node asks at the same time.
const joinWindow = 32

// join is the start of a node: it asks its seeds, and then every member it hears of,
// which configuration is in force, and is done when it has the newest.
type join struct {
	seeds []string
	// queue lists the addresses still to be asked.
	queue []string
	// known holds every address that was queued.
	known map[string]struct{}
	// outstanding holds the addresses asked and not yet heard from, with the time.
	outstanding map[string]time.Time
	// differing holds the addresses whose member table differed while a delta was in
	// flight; they are asked once more after it.
	differing map[string]struct{}
	heard     bool
	done      bool
}

func newJoin(seeds []string) join {
	j := join{seeds: seeds, known: map[string]struct{}{}, outstanding: map[string]time.Time{}, differing: map[string]struct{}{}}
	for _, address := range seeds {
		j.enqueue(address)
	}
	return j
}

func (j *join) enqueue(address string) {
	if _, ok := j.known[address]; ok {
		return
	}
	j.known[address] = struct{}{}
	j.queue = append(j.queue, address)
}

// askMember queues a member that a starting node has heard of. Those that others
// suspect are asked too: they may be within this node's reach.
func (m *StateMachine) askMember(r membership.Member) {
	if m.join.done || r.State == membership.StateLeft || r.Name == m.settings.Self.Name {
		return
	}
	m.join.enqueue(r.Address)
}

// askAgain has a starting node ask a peer once more whose members it does not all know.
func (m *StateMachine) askAgain(s Send, reply Message) {
	if !m.join.done && len(m.members.Set().Differing(reply.MemberBuckets)) > 0 {
		m.join.differing[s.To] = struct{}{}
	}
}

// askAll makes a starting node ask every seed and live member again.
func (m *StateMachine) askAll() {
	if m.join.done {
		return
	}
	clear(m.join.known)
	m.join.queue = nil
	for _, address := range m.join.seeds {
		m.join.enqueue(address)
	}
	for _, r := range m.members.All() {
		m.askMember(r)
	}
}

// tickJoin gives up on questions that were lost and starts over when nobody answered.
func (m *StateMachine) tickJoin(now time.Time) Output {
	if m.join.done {
		return Output{}
	}
	for address, since := range m.join.outstanding {
		if now.Sub(since) > RequestTimeout {
			delete(m.join.outstanding, address)
		}
	}
	if !m.join.heard && len(m.join.queue) == 0 && len(m.join.outstanding) == 0 {
		m.askAll()
	}
	return m.advanceJoin(now)
}

// advanceJoin sends the next questions, and ends the join when all were answered.
func (m *StateMachine) advanceJoin(now time.Time) Output {
	j := &m.join
	if j.done {
		return Output{}
	}
	if m.deltaSince.IsZero() && len(j.queue) == 0 {
		j.queue = slices.Sorted(maps.Keys(j.differing))
		clear(j.differing)
	}
	var out Output
	for len(j.queue) > 0 && len(j.outstanding) < joinWindow {
		address := j.queue[0]
		j.queue = j.queue[1:]
		if address == m.settings.Self.Address {
			continue
		}
		j.outstanding[address] = now
		out.Messages = append(out.Messages, Send{To: address, Message: m.message(KindExchange)})
	}
	idle := len(j.outstanding)+len(j.queue)+len(j.differing) == 0 && m.deltaSince.IsZero()
	j.done = idle && j.heard && m.config.inForce >= m.config.newest
	return out
}

// asked takes in the end of a question of the join.
func (m *StateMachine) asked(now time.Time, s Send, answered bool) Output {
	j := &m.join
	if j.done {
		return Output{}
	}
	j.heard = j.heard || answered
	if _, ok := j.outstanding[s.To]; !ok {
		return Output{}
	}
	if !answered && s.attempt+1 < m.attemptsFor(s.To) {
		s.attempt++
		s.Message = m.message(KindExchange)
		j.outstanding[s.To] = now
		return Output{Messages: []Send{s}}
	}
	delete(j.outstanding, s.To)
	return m.advanceJoin(now)
}

// attemptsFor is how often an address is asked; one found dead only once.
func (m *StateMachine) attemptsFor(address string) int {
	for _, r := range m.members.Dead() {
		if r.Address == address {
			return 1
		}
	}
	return maxAttempts
}
