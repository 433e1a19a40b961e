// Package gossip brings the configuration, the hosts' states and the member table to
// every node: news is pushed to a few random members at once, and what a push missed
// is repaired by comparing hashes with one random member a second. Machine decides;
// Runner connects it to the network, the platform and the clock.
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

// Timing and fan-out of the machine.
const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = time.Second
	// Fanout is the number of members that news is pushed to.
	Fanout = 3
	// IndirectProbes is the number of members asked to contact one that did not answer.
	IndirectProbes = 2
	// IndirectProbeTimeout is how long the helpers may take.
	IndirectProbeTimeout = 3 * time.Second
	// RequestTimeout is after how long an unanswered question is asked anew.
	RequestTimeout = 5 * time.Second
	// RelaysPerDataCentre members of each data centre watch the platform for all.
	RelaysPerDataCentre = 2
	// freshFor is how long the news that a host leaves is repeated.
	freshFor = 5 * time.Second
	// maxFresh is the number of leaving hosts that an exchange repeats at most.
	maxFresh = 64
	// deadRetryTicks is the mean number of ticks between two tries to reach a dead member.
	deadRetryTicks = 10
	// maxAttempts is how often one member is asked the same question in a row.
	maxAttempts = 3
)

// Settings configure a machine.
type Settings struct {
	Self membership.Member
	// Seeds are addresses of peers to ask at start.
	Seeds  []string
	Timing membership.Timing
	// OnViolation is called when an invariant does not hold.
	OnViolation func(string)
}

// StateMachine is the state of one node. It is not safe for concurrent use.
type StateMachine struct {
	settings Settings
	members  *membership.Table
	hosts    *hostTable
	config   configuration
	join     join
	probes   map[string]probe
	// deltaSince is when the delta in flight was sent; zero when there is none.
	deltaSince time.Time
	// pendingMembers and pendingHosts are news that the next tick pushes.
	pendingMembers map[string]struct{}
	pendingHosts   map[hostKey]struct{}
	// fresh are the hosts lately heard to be leaving; every exchange repeats them.
	fresh []freshHost
	// urgent are the leaving hosts still to be pushed, urgentAt is the time of the last
	// push, and wakeAt is when Flush was asked for.
	urgent     []HostRecord
	urgentAt   time.Time
	wakeAt     time.Time
	violations uint64
}

// New returns a machine that has yet to hear from the platform or a peer.
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

// Tick lets time pass: it is called every TickInterval.
func (m *StateMachine) Tick(now time.Time, rnd *rand.Rand) Output {
	var out Output
	for _, change := range m.members.Expire(now) {
		out.Events = append(out.Events, MemberChanged{change})
	}
	m.hosts.expire(now)
	m.expireDelta(now)
	out.add(m.endProbes(now))
	out.add(m.Flush(now, rnd))
	out.add(m.flushPending(rnd))
	out.add(m.tickJoin(now))
	out.add(m.tickFetch(now, rnd))
	m.expireFresh(now)
	out.Messages = append(out.Messages, m.exchangeWithRandom(rnd)...)
	out.Messages = append(out.Messages, m.retryDead(rnd)...)
	return out
}

// ObserveConfiguration takes in a configuration read from the platform or accepted on
// this node.
func (m *StateMachine) ObserveConfiguration(now time.Time, rnd *rand.Rand, g fleet.Generation, text []byte) Output {
	m.join.heard = true
	out := m.offer(rnd, g, text, nil)
	out.add(m.advanceJoin(now))
	return out
}

// ObservePlatform records that the platform answered, whatever it holds.
func (m *StateMachine) ObservePlatform(now time.Time) Output {
	m.join.heard = true
	return m.advanceJoin(now)
}

// ObserveHostState takes in a host's state read from the platform or noticed here.
func (m *StateMachine) ObserveHostState(now time.Time, rnd *rand.Rand, s fleet.HostState) Output {
	r := HostRecord{HostState: s}
	if s.Phase == fleet.PhaseGone {
		r.GoneMillis = now.Truncate(time.Minute).UnixMilli()
	}
	return m.mergeAll(now, rnd, nil, []HostRecord{r}, "")
}

// ObserveMember takes in a member read from the platform.
func (m *StateMachine) ObserveMember(now time.Time, rnd *rand.Rand, r membership.Member) Output {
	out := m.mergeAll(now, rnd, []membership.Member{r}, nil, "")
	out.add(m.advanceJoin(now))
	return out
}

// Leave tells the others that this node departs. No duty is owned from here on.
func (m *StateMachine) Leave(now time.Time, rnd *rand.Rand) Output {
	change := m.members.Leave(now)
	msg := m.message(KindPush)
	msg.Members = []membership.Member{change.Member}
	return Output{Messages: m.toRandom(rnd, msg, Fanout, ""), Events: []Event{MemberChanged{change}}}
}

// Ready says that the node has heard from the platform or a peer and has the newest
// configuration that any reachable peer had when it was asked.
func (m *StateMachine) Ready() bool { return m.join.done }

// Configuration returns what is in force; generation zero means nothing is.
func (m *StateMachine) Configuration() (fleet.Generation, []byte) {
	return m.config.inForce, m.config.text
}

// Members returns the live members by name, this node included.
func (m *StateMachine) Members() []membership.Member { return m.members.Live() }

// IsRelay says whether this node watches a kind of object for the others: the first
// few of each data centre by rendezvous hash do.
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

// Self returns the node's own record.
func (m *StateMachine) Self() membership.Member { return m.members.Self() }

// Member returns a member's record and whether it counts as live.
func (m *StateMachine) Member(name string) (r membership.Member, live, known bool) {
	return m.members.Get(name)
}

// HostState returns the state of one run of a host.
func (m *StateMachine) HostState(host, instance string) (fleet.HostState, bool) {
	r, ok := m.hosts.records[hostKey{host, instance}]
	return r.HostState, ok
}

// HostStates returns the states of all known runs of hosts.
func (m *StateMachine) HostStates() []fleet.HostState {
	out := make([]fleet.HostState, 0, len(m.hosts.records))
	for i := range m.hosts.buckets {
		for _, r := range m.hosts.bucket(i) {
			out = append(out, r.HostState)
		}
	}
	return out
}

// Violations returns the number of invariants found broken.
func (m *StateMachine) Violations() uint64 { return m.violations }

func (m *StateMachine) violated(format string, args ...any) {
	m.violations++
	if m.settings.OnViolation != nil {
		m.settings.OnViolation(fmt.Sprintf(format, args...))
	}
}

func (m *StateMachine) digest() Digest {
	return Digest{
		Generation: m.config.inForce,
		Members:    m.members.Set().Sum(),
		Hosts:      m.hosts.set.Sum(),
	}
}

func (m *StateMachine) message(kind MessageKind) Message {
	msg := Message{Kind: kind, From: m.members.Self(), Digest: m.digest()}
	if kind == KindExchange {
		msg.Hosts = m.freshHosts()
	}
	return msg
}

// toRandom addresses a message to n members drawn uniformly from the live ones.
func (m *StateMachine) toRandom(rnd *rand.Rand, msg Message, n int, except string) []Send {
	var out []Send
	for _, to := range m.pick(rnd, n, except) {
		out = append(out, Send{To: to.Address, Name: to.Name, Message: msg})
	}
	return out
}

// pick draws n different live members, without this node and the excepted one.
func (m *StateMachine) pick(rnd *rand.Rand, n int, except string) []membership.Member {
	live := m.members.Live()
	if len(live) == 0 {
		return nil
	}
	self := m.settings.Self.Name
	var out []membership.Member
	// Drawing with rejection costs n draws, not one pass over all members.
	for tries := 0; len(out) < n && tries < 4*n; tries++ {
		c := live[rnd.IntN(len(live))]
		if c.Name != self && c.Name != except && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
