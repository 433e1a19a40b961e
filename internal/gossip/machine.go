// Package gossip replicates the configuration, the host states and the member table to every
// node. Changes are pushed to a few random members: the news of a configuration immediately, leaving
// hosts within urgentPushInterval, everything else once per second. The receiver of the news fetches
// the configuration. An anti-entropy exchange of hashes
// with one random member per second repairs what the pushes missed. StateMachine implements the
// protocol without I/O; Runner connects it to the network, the platform and the clock.
//
// It connects the daemons that package app builds. The entry hosts that package node builds exchange
// the messages of package heartbeat instead.
package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/membership"
	"rattanchute/internal/objectstore"
)

// Timing and fan-out of the protocol.
const (
	// TickInterval is the interval at which Tick is called.
	TickInterval = time.Second
	// Fanout is the maximum number of members that one node pushes a change to.
	Fanout = 3
	// IndirectProbes is the maximum number of members that are asked to contact a member that did
	// not reply.
	IndirectProbes = 2
	// IndirectProbeTimeout is how long the indirect probes of a member may take before it is
	// suspected.
	IndirectProbeTimeout = 3 * time.Second
	// RequestTimeout is how long a delta, a fetch or a request of the join counts as in flight if
	// neither its reply nor its failure is reported.
	RequestTimeout = 5 * time.Second
	// RelaysPerDataCentre is the number of members per data centre that watch a kind of platform
	// object on behalf of all nodes.
	RelaysPerDataCentre = 2
	// leavingRepeatDuration is how long exchanges repeat the record of a host that was learned to be
	// leaving or gone.
	leavingRepeatDuration = 5 * time.Second
	// maxRepeatedLeaving is the maximum number of such records in an exchange.
	maxRepeatedLeaving = 64
	// deadRetryTicks is the mean number of ticks between two attempts to contact one of the dead
	// members.
	deadRetryTicks = 10
	// maxAttempts is how often a joining node sends the same request to one member in a row if it
	// fails.
	maxAttempts = 3
)

// Settings configure a StateMachine.
type Settings struct {
	Self membership.Member
	// Seeds are the addresses of peers to contact at startup.
	Seeds  []string
	Timing membership.Timing
	// OnViolation, if not nil, is called with a description when an invariant is violated.
	OnViolation func(string)
}

// StateMachine is the protocol state of one node. It is not safe for concurrent use.
type StateMachine struct {
	settings Settings
	members  *membership.Table
	hosts    *hostTable
	config   configuration
	join     join
	probes   map[string]probe
	// deltaSentAt is when the delta in flight was sent; zero when there is none.
	deltaSentAt time.Time
	// pendingMembers and pendingHosts are the changed records that the next tick pushes.
	pendingMembers map[string]struct{}
	pendingHosts   map[hostKey]struct{}
	// recentLeaving are the hosts recently learned to be leaving or gone, oldest first; every
	// exchange repeats the latest of them.
	recentLeaving []leavingHost
	// urgentHosts are the leaving or gone hosts still to be pushed by Flush, urgentPushedAt is the
	// time of the last such push, and flushAt is when the next call of Flush was requested for.
	urgentHosts    []HostRecord
	urgentPushedAt time.Time
	flushAt        time.Time
	violations     uint64
}

// New returns a machine that has not yet received anything from the platform or a peer. A zero
// Settings.Timing means membership.DefaultTiming.
func New(s Settings) *StateMachine {
	if s.Timing == (membership.Timing{}) {
		s.Timing = membership.DefaultTiming
	}
	m := &StateMachine{
		settings:       s,
		members:        membership.NewTable(s.Self, s.Timing),
		hosts:          newHostTable(),
		probes:         map[string]probe{},
		pendingMembers: map[string]struct{}{},
		pendingHosts:   map[hostKey]struct{}{},
	}
	m.join = newJoin(s.Seeds)
	return m
}

// Tick performs the periodic work. It must be called every TickInterval.
func (m *StateMachine) Tick(now time.Time, rnd *rand.Rand) Output {
	var out Output
	for _, change := range m.members.Expire(now) {
		out.Events = append(out.Events, MemberChanged{change})
	}
	m.hosts.removeExpired(now)
	m.expireDelta(now)
	out.add(m.expireProbes(now))
	out.add(m.Flush(now, rnd))
	out.add(m.flushPending(rnd))
	out.add(m.tickJoin(now))
	out.add(m.retryFetch(now, rnd))
	m.expireRecentLeaving(now)
	out.Messages = append(out.Messages, m.exchangeWithRandomMember(rnd)...)
	out.Messages = append(out.Messages, m.contactDeadMember(rnd)...)
	return out
}

// ObserveConfiguration processes a configuration that was read from the platform or accepted by
// this node.
func (m *StateMachine) ObserveConfiguration(now time.Time, rnd *rand.Rand, g fleet.Generation, text []byte) Output {
	m.join.responded = true
	out := m.activateIfNewer(rnd, g, text, nil)
	out.add(m.advanceJoin(now))
	return out
}

// ObservePlatform records that the platform responded, regardless of what it holds.
func (m *StateMachine) ObservePlatform(now time.Time) Output {
	m.join.responded = true
	return m.advanceJoin(now)
}

// ObserveHostState processes a host state that was read from the platform or detected by this
// node.
func (m *StateMachine) ObserveHostState(now time.Time, rnd *rand.Rand, s fleet.HostState) Output {
	r := HostRecord{HostState: s}
	if s.Phase == fleet.PhaseGone {
		r.GoneMillis = now.Truncate(time.Minute).UnixMilli()
	}
	return m.mergeRecords(now, rnd, nil, []HostRecord{r}, "")
}

// ObserveMember processes a member record that was read from the platform.
func (m *StateMachine) ObserveMember(now time.Time, rnd *rand.Rand, r membership.Member) Output {
	out := m.mergeRecords(now, rnd, []membership.Member{r}, nil, "")
	out.add(m.advanceJoin(now))
	return out
}

// Leave marks this node as departed and announces it to up to Fanout members. The node considers
// itself the owner of no duty afterwards.
func (m *StateMachine) Leave(now time.Time, rnd *rand.Rand) Output {
	change := m.members.Leave(now)
	msg := m.message(KindPush)
	msg.Members = []membership.Member{change.Member}
	return Output{Messages: m.addressToRandom(rnd, msg, Fanout, ""), Events: []Event{MemberChanged{change}}}
}

// Ready reports whether the node's join is complete: the platform has responded or a peer has replied
// to an exchange, and the node had the newest configuration of the peers that it reached, apart from
// one that it could not fetch. It then stays ready.
func (m *StateMachine) Ready() bool { return m.join.done }

// Configuration returns the active configuration; generation zero means that there is none.
func (m *StateMachine) Configuration() (fleet.Generation, []byte) {
	return m.config.active, m.config.text
}

// Members returns the live members ordered by name, including this node unless it has left. The
// caller must not modify the slice.
func (m *StateMachine) Members() []membership.Member { return m.members.Live() }

// IsRelay reports whether this node watches a kind of object on behalf of the others. The
// relays are the first RelaysPerDataCentre members of each data centre by rendezvous hashing.
func (m *StateMachine) IsRelay(kind objectstore.Kind) bool {
	self := m.members.Self()
	near := membership.InDataCentre(m.members.Live(), self.DataCentre)
	ranked := membership.Rank(membership.Duty("relay/"+string(kind)), near)
	for _, r := range ranked[:min(RelaysPerDataCentre, len(ranked))] {
		if r.Name == self.Name {
			return true
		}
	}
	return false
}

// Self returns this node's own record.
func (m *StateMachine) Self() membership.Member { return m.members.Self() }

// Member returns a member's record and whether the member is considered live.
func (m *StateMachine) Member(name string) (r membership.Member, live, known bool) {
	return m.members.Get(name)
}

// HostState returns the state of one run of a host.
func (m *StateMachine) HostState(host, instance string) (fleet.HostState, bool) {
	r, ok := m.hosts.records[hostKey{host, instance}]
	return r.HostState, ok
}

// HostStates returns the states of all known runs of hosts, including those that are gone until
// their records expire.
func (m *StateMachine) HostStates() []fleet.HostState {
	out := make([]fleet.HostState, 0, len(m.hosts.records))
	for i := range m.hosts.buckets {
		for _, r := range m.hosts.bucket(i) {
			out = append(out, r.HostState)
		}
	}
	return out
}

// Violations returns the number of invariant violations detected.
func (m *StateMachine) Violations() uint64 { return m.violations }

func (m *StateMachine) reportViolation(format string, args ...any) {
	m.violations++
	if m.settings.OnViolation != nil {
		m.settings.OnViolation(fmt.Sprintf(format, args...))
	}
}

func (m *StateMachine) digest() Digest {
	return Digest{
		Generation: m.config.active,
		Members:    m.members.Set().Sum(),
		Hosts:      m.hosts.hashes.Sum(),
	}
}

func (m *StateMachine) message(kind MessageKind) Message {
	msg := Message{Kind: kind, From: m.members.Self(), Digest: m.digest()}
	if kind == KindExchange {
		msg.Hosts = m.recentLeavingRecords()
	}
	return msg
}

// addressToRandom addresses a message to up to n members drawn uniformly from the live ones,
// excluding this node and the named one.
func (m *StateMachine) addressToRandom(rnd *rand.Rand, msg Message, n int, except string) []Send {
	var out []Send
	for _, to := range m.randomMembers(rnd, n, except) {
		out = append(out, Send{To: to.Address, Name: to.Name, Message: msg})
	}
	return out
}

// randomMembers draws up to n distinct live members, excluding this node and the named one.
func (m *StateMachine) randomMembers(rnd *rand.Rand, n int, except string) []membership.Member {
	live := m.members.Live()
	if len(live) == 0 {
		return nil
	}
	self := m.settings.Self.Name
	var out []membership.Member
	// Rejection sampling costs about n draws instead of a pass over all members. It gives up
	// after 4*n draws, possibly with fewer members than there are.
	for tries := 0; len(out) < n && tries < 4*n; tries++ {
		c := live[rnd.IntN(len(live))]
		if c.Name != self && c.Name != except && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
