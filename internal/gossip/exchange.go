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

func (m *StateMachine) exchangeWithRandomMember(rnd *rand.Rand) []Send {
	return m.addressToRandom(rnd, m.message(KindExchange), 1, "")
}

// contactDeadMember occasionally sends an exchange to a member considered dead, so that the two
// sides of a healed partition find each other again.
func (m *StateMachine) contactDeadMember(rnd *rand.Rand) []Send {
	dead := m.members.Dead()
	if len(dead) == 0 || rnd.IntN(deadRetryTicks) != 0 {
		return nil
	}
	to := dead[rnd.IntN(len(dead))]
	return []Send{{To: to.Address, Name: to.Name, Message: m.message(KindExchange)}}
}

// HandleMessage processes a message from a peer and returns the reply to it.
func (m *StateMachine) HandleMessage(now time.Time, rnd *rand.Rand, msg Message) (Message, Output) {
	out := m.mergeMessage(now, rnd, msg)
	reply := m.message(msg.Kind)
	switch msg.Kind {
	case KindExchange:
		m.fillExchangeReply(msg, &reply)
	case KindDelta:
		m.fillDeltaReply(msg, &reply)
	case KindFetch:
		m.fillFetchReply(msg, &reply)
	case KindProbe:
		out.Messages = append(out.Messages, m.relayProbe(msg)...)
	case KindProbeOK:
		m.handleProbeOK(msg)
	}
	m.notifySuspected(msg.From, &reply)
	out.Messages = append(out.Messages, m.fetchIfNewer(now, msg.From, msg.Digest)...)
	return reply, out
}

// HandleReply processes the reply to a message that was sent.
func (m *StateMachine) HandleReply(now time.Time, rnd *rand.Rand, s Send, reply Message) Output {
	out := m.mergeMessage(now, rnd, reply)
	switch s.Message.Kind {
	case KindExchange:
		out.Messages = append(out.Messages, m.sendDelta(now, s, reply)...)
		out.Messages = append(out.Messages, m.reportProbe(s, reply)...)
		out.add(m.finishJoinRequest(now, s, true))
	case KindDelta:
		m.deltaSentAt = time.Time{}
		out.add(m.advanceJoin(now))
	case KindFetch:
		out.add(m.handleFetchReply(now, rnd, reply))
	}
	out.Messages = append(out.Messages, m.fetchIfNewer(now, reply.From, reply.Digest)...)
	return out
}

// HandleSendFailure processes the lack of a reply to a message. After an exchange that was not itself
// an indirect probe, it may start one of the receiver; a joining node may send an exchange or a fetch
// again.
func (m *StateMachine) HandleSendFailure(now time.Time, rnd *rand.Rand, s Send) Output {
	var out Output
	switch s.Message.Kind {
	case KindExchange:
		if s.origin == "" {
			out.Messages = m.startIndirectProbe(now, rnd, s)
		}
		out.add(m.finishJoinRequest(now, s, false))
	case KindDelta:
		m.deltaSentAt = time.Time{}
		out.add(m.advanceJoin(now))
	case KindFetch:
		out.add(m.handleFetchFailure(now, s))
	}
	return out
}

// HandleSendDropped records that a message was never sent. This says nothing about the state of
// its receiver.
func (m *StateMachine) HandleSendDropped(now time.Time, s Send) Output {
	switch s.Message.Kind {
	case KindDelta:
		m.deltaSentAt = time.Time{}
	case KindFetch:
		m.config.fetchStartedAt = time.Time{}
	case KindExchange:
		return m.finishJoinRequest(now, s, false)
	}
	return Output{}
}

// mergeMessage merges what a message carries: the sender's record, the generation that the sender
// advertises, and any records of other members and of hosts. It also ends an indirect probe of the
// sender, which is evidently alive.
func (m *StateMachine) mergeMessage(now time.Time, rnd *rand.Rand, msg Message) Output {
	delete(m.probes, msg.From.Name)
	m.recordGeneration(msg.Digest)
	members := append([]membership.Member{msg.From}, msg.Members...)
	return m.mergeRecords(now, rnd, members, msg.Hosts, msg.From.Name)
}

// mergeRecords merges records and pushes those that changed. All of them wait for the next tick (see
// flushPending); records of hosts that are leaving or gone are also pushed as soon as
// urgentPushInterval allows. A joining node pushes only records of hosts that are leaving or gone,
// and of these only those that it observed itself. from is the member that sent the records; it is
// empty if this node observed them itself.
func (m *StateMachine) mergeRecords(
	now time.Time, rnd *rand.Rand, members []membership.Member, hosts []HostRecord, from string,
) Output {
	var out Output
	var leaving []HostRecord
	for _, r := range hosts {
		before := m.hosts.records[keyOf(r)].Phase
		merged, changed := m.hosts.merge(now, r)
		if !changed {
			continue
		}
		if merged.Phase < before {
			m.reportViolation("host %s went from phase %d back to %d", merged.Host, before, merged.Phase)
		}
		out.Events = append(out.Events, HostStateChanged{merged.HostState})
		// Like every change, a leaving host is also pushed with the next tick, in addition to
		// the push by Flush.
		m.pendingHosts[keyOf(merged)] = struct{}{}
		if merged.Phase == fleet.PhaseLive {
			continue
		}
		leaving = append(leaving, merged)
		m.recentLeaving = append(m.recentLeaving, leavingHost{keyOf(merged), now})
	}
	for _, r := range members {
		change, changed := m.members.Merge(now, r)
		if !changed {
			continue
		}
		out.Events = append(out.Events, MemberChanged{change})
		m.pendingMembers[r.Name] = struct{}{}
		m.enqueueMember(change.Member)
	}
	// What a node learns from a peer while it joins is already known to the other nodes.
	if m.join.done || from == "" {
		m.urgentHosts = append(m.urgentHosts, leaving...)
	}
	out.add(m.Flush(now, rnd))
	return out
}

// flushPending pushes the changes collected since the last tick. If there are more than
// MaxRecords, it pushes nothing, and the exchanges spread them. A joining node pushes nothing
// either: its own record is part of every message, and it has learned nearly everything else from
// the others.
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
	return Output{Messages: m.addressToRandom(rnd, msg, Fanout, "")}
}

// fillExchangeReply adds the bucket hashes of the tables whose overall hashes differ.
func (m *StateMachine) fillExchangeReply(request Message, reply *Message) {
	if request.Digest.Members != reply.Digest.Members {
		reply.MemberBuckets = m.members.Set().Bytes()
	}
	if request.Digest.Hosts != reply.Digest.Hosts {
		reply.HostBuckets = m.hosts.hashes.Bytes()
	}
}

// sendDelta sends the records of the buckets that differ, as long as there are no more than
// MaxRecords; later exchanges cover the other buckets. Only one delta is in flight at a time,
// because concurrent ones would mostly return the same records.
func (m *StateMachine) sendDelta(now time.Time, s Send, reply Message) []Send {
	if !m.deltaSentAt.IsZero() {
		m.recheckLater(s, reply)
		return nil
	}
	msg := m.message(KindDelta)
	records := 0
	for _, bucket := range m.hosts.hashes.Differing(reply.HostBuckets) {
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
	m.deltaSentAt = now
	return []Send{{To: s.To, Name: reply.From.Name, Message: msg}}
}

// expireDelta gives up on a delta whose reply did not arrive within RequestTimeout.
func (m *StateMachine) expireDelta(now time.Time) {
	if now.Sub(m.deltaSentAt) > RequestTimeout {
		m.deltaSentAt = time.Time{}
	}
}

// fillDeltaReply adds the records of the requested buckets that the requesting node lacks or has
// in another version.
func (m *StateMachine) fillDeltaReply(request Message, reply *Message) {
	hosts := make(map[hostKey]HostRecord, len(request.Hosts))
	for _, r := range request.Hosts {
		hosts[keyOf(r)] = r
	}
	for _, bucket := range request.WantHosts {
		if !validBucket(bucket) {
			continue
		}
		for _, r := range m.hosts.bucket(bucket) {
			if theirs, ok := hosts[keyOf(r)]; !ok || !equalHostRecords(theirs, r) {
				reply.Hosts = append(reply.Hosts, r)
			}
		}
	}
	members := make(map[string]membership.Member, len(request.Members))
	for _, r := range request.Members {
		members[r.Name] = r
	}
	for _, bucket := range request.WantMembers {
		for _, r := range m.members.Bucket(bucket) {
			if members[r.Name] != r {
				reply.Members = append(reply.Members, r)
			}
		}
	}
}

func validBucket(bucket int) bool { return bucket >= 0 && bucket < digest.Buckets }
