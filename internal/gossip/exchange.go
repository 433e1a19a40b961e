package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip/digest"
	"rattanchute/internal/membership"
)

func (m *StateMachine) exchangeWithRandom(rnd *rand.Rand) []Send {
	return m.toRandom(rnd, m.message(KindExchange), 1, "")
}

// retryDead tries now and then to reach a member that was found dead, so that the
// parts of a healed network find each other.
func (m *StateMachine) retryDead(rnd *rand.Rand) []Send {
	dead := m.members.Dead()
	if len(dead) == 0 || rnd.IntN(deadRetryTicks) != 0 {
		return nil
	}
	to := dead[rnd.IntN(len(dead))]
	return []Send{{To: to.Address, Name: to.Name, Message: m.message(KindExchange)}}
}

// HandleMessage takes in a message from a peer and returns the answer to it.
func (m *StateMachine) HandleMessage(now time.Time, rnd *rand.Rand, msg Message) (Message, Output) {
	out := m.hear(now, rnd, msg)
	reply := m.message(msg.Kind)
	switch msg.Kind {
	case KindExchange:
		m.compare(msg, &reply)
	case KindDelta:
		m.answerDelta(msg, &reply)
	case KindFetch:
		m.answerFetch(msg, &reply)
	case KindProbe:
		out.Messages = append(out.Messages, m.probeFor(msg)...)
	case KindProbeOK:
		m.probed(msg)
	}
	m.tellSuspicion(msg.From, &reply)
	out.Messages = append(out.Messages, m.considerGeneration(now, msg.From, msg.Digest)...)
	return reply, out
}

// HandleReply takes in the answer to a message that was sent.
func (m *StateMachine) HandleReply(now time.Time, rnd *rand.Rand, s Send, reply Message) Output {
	out := m.hear(now, rnd, reply)
	switch s.Message.Kind {
	case KindExchange:
		out.Messages = append(out.Messages, m.sendDelta(now, s, reply)...)
		out.Messages = append(out.Messages, m.reportProbe(s, reply)...)
		out.add(m.asked(now, s, true))
	case KindDelta:
		m.deltaSince = time.Time{}
		out.add(m.advanceJoin(now))
	case KindFetch:
		out.add(m.fetched(now, rnd, reply))
	}
	out.Messages = append(out.Messages, m.considerGeneration(now, reply.From, reply.Digest)...)
	return out
}

// HandleSendFailure records that no answer to a message came.
func (m *StateMachine) HandleSendFailure(now time.Time, rnd *rand.Rand, s Send) Output {
	var out Output
	switch s.Message.Kind {
	case KindExchange:
		if s.origin == "" {
			out.Messages = m.startProbe(now, rnd, s)
		}
		out.add(m.asked(now, s, false))
	case KindDelta:
		m.deltaSince = time.Time{}
		out.add(m.advanceJoin(now))
	case KindFetch:
		out.add(m.fetchFailed(now, s))
	}
	return out
}

// HandleSendDropped records that a message was never sent, which says nothing about its receiver.
func (m *StateMachine) HandleSendDropped(now time.Time, s Send) Output {
	switch s.Message.Kind {
	case KindDelta:
		m.deltaSince = time.Time{}
	case KindFetch:
		m.config.fetchSince = time.Time{}
	case KindExchange:
		return m.asked(now, s, false)
	}
	return Output{}
}

// hear takes in what every message carries: its sender and its records.
func (m *StateMachine) hear(now time.Time, rnd *rand.Rand, msg Message) Output {
	delete(m.probes, msg.From.Name)
	m.noteGeneration(msg.Digest)
	members := append([]membership.Member{msg.From}, msg.Members...)
	return m.mergeAll(now, rnd, members, msg.Hosts, msg.From.Name)
}

// mergeAll takes in records and passes the news among them on: hosts that leave at
// once, everything else with the next tick.
func (m *StateMachine) mergeAll(now time.Time, rnd *rand.Rand, members []membership.Member, hosts []HostRecord, from string) Output {
	var out Output
	var leaving []HostRecord
	for _, r := range hosts {
		before := m.hosts.records[keyOf(r)].Phase
		merged, changed := m.hosts.merge(now, r)
		if !changed {
			continue
		}
		if merged.Phase < before {
			m.violated("host %s went from phase %d back to %d", merged.Host, before, merged.Phase)
		}
		out.Events = append(out.Events, HostStateChanged{merged.HostState})
		// A host that leaves is pushed at once and, like all news, with the next tick.
		m.pendingHosts[keyOf(merged)] = struct{}{}
		if merged.Phase == fleet.PhaseLive {
			continue
		}
		leaving = append(leaving, merged)
		m.fresh = append(m.fresh, freshHost{keyOf(merged), now})
	}
	for _, r := range members {
		change, changed := m.members.Merge(now, r)
		if !changed {
			continue
		}
		out.Events = append(out.Events, MemberChanged{change})
		m.pendingMembers[r.Name] = struct{}{}
		m.askMember(change.Member)
	}
	// What a starting node learns from a peer is no news to the others.
	if m.join.done || from == "" {
		m.urgent = append(m.urgent, leaving...)
	}
	out.add(m.Flush(now, rnd))
	return out
}

// flushPending pushes the news collected since the last tick. A node that starts has
// no news for the others but itself, which every message carries.
func (m *StateMachine) flushPending(rnd *rand.Rand) Output {
	msg := m.message(KindPush)
	for name := range m.pendingMembers {
		if r, _, known := m.members.Get(name); known {
			msg.Members = append(msg.Members, r)
		}
	}
	for key := range m.pendingHosts {
		msg.Hosts = append(msg.Hosts, m.hosts.records[key])
	}
	clear(m.pendingMembers)
	clear(m.pendingHosts)
	records := len(msg.Members) + len(msg.Hosts)
	if records == 0 || records > MaxRecords || !m.join.done {
		return Output{}
	}
	slices.SortFunc(msg.Members, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	sortHosts(msg.Hosts)
	return Output{Messages: m.toRandom(rnd, msg, Fanout, "")}
}

// compare adds the hashes of the buckets of the tables that differ.
func (m *StateMachine) compare(asked Message, reply *Message) {
	if asked.Digest.Members != reply.Digest.Members {
		reply.MemberBuckets = m.members.Set().Bytes()
	}
	if asked.Digest.Hosts != reply.Digest.Hosts {
		reply.HostBuckets = m.hosts.set.Bytes()
	}
}

// sendDelta sends the differing buckets; one delta is in flight at a time, since
// several would mostly bring the same records.
func (m *StateMachine) sendDelta(now time.Time, s Send, reply Message) []Send {
	if !m.deltaSince.IsZero() {
		m.askAgain(s, reply)
		return nil
	}
	msg := m.message(KindDelta)
	records := 0
	for _, bucket := range m.hosts.set.Differing(reply.HostBuckets) {
		part := m.hosts.bucket(bucket)
		if records += len(part); records > MaxRecords {
			break
		}
		msg.WantHosts = append(msg.WantHosts, bucket)
		msg.Hosts = append(msg.Hosts, part...)
	}
	for _, bucket := range m.members.Set().Differing(reply.MemberBuckets) {
		part := m.members.Bucket(bucket)
		if records += len(part); records > MaxRecords {
			break
		}
		msg.WantMembers = append(msg.WantMembers, bucket)
		msg.Members = append(msg.Members, part...)
	}
	if len(msg.WantHosts)+len(msg.WantMembers) == 0 {
		return nil
	}
	m.deltaSince = now
	return []Send{{To: s.To, Name: reply.From.Name, Message: msg}}
}

// expireDelta gives up on a delta whose answer was lost.
func (m *StateMachine) expireDelta(now time.Time) {
	if now.Sub(m.deltaSince) > RequestTimeout {
		m.deltaSince = time.Time{}
	}
}

// answerDelta adds the records of the asked buckets that the asking node lacks.
func (m *StateMachine) answerDelta(asked Message, reply *Message) {
	hosts := make(map[hostKey]HostRecord, len(asked.Hosts))
	for _, r := range asked.Hosts {
		hosts[keyOf(r)] = r
	}
	for _, bucket := range asked.WantHosts {
		if !validBucket(bucket) {
			continue
		}
		for _, r := range m.hosts.bucket(bucket) {
			if theirs, ok := hosts[keyOf(r)]; !ok || !sameHost(theirs, r) {
				reply.Hosts = append(reply.Hosts, r)
			}
		}
	}
	members := make(map[string]membership.Member, len(asked.Members))
	for _, r := range asked.Members {
		members[r.Name] = r
	}
	for _, bucket := range asked.WantMembers {
		for _, r := range m.members.Bucket(bucket) {
			if members[r.Name] != r {
				reply.Members = append(reply.Members, r)
			}
		}
	}
}

func validBucket(bucket int) bool { return bucket >= 0 && bucket < digest.Buckets }
