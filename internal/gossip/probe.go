package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"rattanchute/internal/membership"
)

// probe is a member that did not answer and whom others are trying to reach.
type probe struct {
	until time.Time
}

// startProbe asks two others to contact a member that did not answer.
func (m *StateMachine) startProbe(now time.Time, rnd *rand.Rand, s Send) []Send {
	target, live, known := m.members.Get(s.Name)
	if !known || !live || target.State != membership.StateAlive {
		return nil
	}
	if _, running := m.probes[s.Name]; running {
		return nil
	}
	m.probes[s.Name] = probe{until: now.Add(IndirectProbeTimeout)}
	msg := m.message(KindProbe)
	msg.Target = &target
	return m.toRandom(rnd, msg, IndirectProbes, s.Name)
}

// probeFor contacts a member on behalf of the asking one.
func (m *StateMachine) probeFor(asked Message) []Send {
	if asked.Target == nil {
		return nil
	}
	return []Send{{
		To:      asked.Target.Address,
		Name:    asked.Target.Name,
		Message: m.message(KindExchange),
		origin:  asked.From.Address,
	}}
}

// reportProbe tells the asking member that the probed one answered.
func (m *StateMachine) reportProbe(s Send, reply Message) []Send {
	if s.origin == "" {
		return nil
	}
	msg := m.message(KindProbeOK)
	msg.Target = &reply.From
	return []Send{{To: s.origin, Message: msg}}
}

// probed ends the probe of a member that answered a helper.
func (m *StateMachine) probed(msg Message) {
	if msg.Target != nil {
		delete(m.probes, msg.Target.Name)
	}
}

// endProbes suspects the members that nobody reached in time.
func (m *StateMachine) endProbes(now time.Time) Output {
	var names []string
	for name, p := range m.probes {
		if !now.Before(p.until) {
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

// tellSuspicion lets a sender know that it is suspected, so that it refutes.
func (m *StateMachine) tellSuspicion(from membership.Member, reply *Message) {
	r, _, known := m.members.Get(from.Name)
	if known && r != from && !slices.Contains(reply.Members, r) {
		reply.Members = append(reply.Members, r)
	}
}
