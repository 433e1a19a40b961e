package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"rattanchute/internal/membership"
)

// probe is an ongoing indirect probe of a member that did not reply.
type probe struct {
	deadline time.Time
}

// startIndirectProbe asks up to IndirectProbes other members to contact a member that did not
// reply. It does nothing if the member is not alive in this node's table, or if it is already
// being probed.
func (m *StateMachine) startIndirectProbe(now time.Time, rnd *rand.Rand, s Send) []Send {
	target, live, known := m.members.Get(s.Name)
	if !known || !live || target.State != membership.StateAlive {
		return nil
	}
	if _, running := m.probes[s.Name]; running {
		return nil
	}
	m.probes[s.Name] = probe{deadline: now.Add(IndirectProbeTimeout)}
	msg := m.message(KindProbe)
	msg.Target = &target
	return m.addressToRandom(rnd, msg, IndirectProbes, s.Name)
}

// relayProbe contacts a member on behalf of the requesting one.
func (m *StateMachine) relayProbe(request Message) []Send {
	if request.Target == nil {
		return nil
	}
	return []Send{{
		To:      request.Target.Address,
		Name:    request.Target.Name,
		Message: m.message(KindExchange),
		origin:  request.From.Address,
	}}
}

// reportProbe notifies the requesting member that the probed one replied, if the exchange was a
// probe.
func (m *StateMachine) reportProbe(s Send, reply Message) []Send {
	if s.origin == "" {
		return nil
	}
	msg := m.message(KindProbeOK)
	msg.Target = &reply.From
	return []Send{{To: s.origin, Message: msg}}
}

// handleProbeOK ends the probe of a member that replied to another member.
func (m *StateMachine) handleProbeOK(msg Message) {
	if msg.Target != nil {
		delete(m.probes, msg.Target.Name)
	}
}

// expireProbes marks as suspect the members from which no sign of life arrived in time, neither
// directly nor through the members that probed them.
func (m *StateMachine) expireProbes(now time.Time) Output {
	var names []string
	for name, p := range m.probes {
		if !now.Before(p.deadline) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out Output
	for _, name := range names {
		delete(m.probes, name)
		change, changed := m.members.Suspect(now, name)
		if !changed {
			continue
		}
		m.pendingMembers[name] = struct{}{}
		out.Events = append(out.Events, MemberChanged{change})
	}
	return out
}

// notifySuspected includes the receiver's record of the sender in a reply if the two differ, so
// that a suspected sender can refute the suspicion.
func (m *StateMachine) notifySuspected(from membership.Member, reply *Message) {
	r, _, known := m.members.Get(from.Name)
	if known && r != from && !slices.Contains(reply.Members, r) {
		reply.Members = append(reply.Members, r)
	}
}
