package heartbeat

import (
	"fmt"
	"time"
)

var epoch = time.Unix(1000, 0)

// tick is the simulation's time step.
const tick = 50 * time.Millisecond

// simulation runs hosts that exchange reports and digests in virtual time.
type simulation struct {
	now   time.Time
	hosts []*host
	// dropped reports whether a message between two hosts is lost.
	dropped func(from, to *host) bool
	sent    int
}

type host struct {
	Peer
	table *Table
	dead  bool
	next  time.Time
	// number is the number of the host's newest message.
	number uint64
	// pools is set for hosts of builds that pool slots.
	pools bool
}

func newSimulation(hosts, dataCentres int) *simulation {
	sim := &simulation{now: epoch, dropped: func(*host, *host) bool { return false }}
	for i := range hosts {
		sim.hosts = append(sim.hosts, &host{Peer: Peer{
			Name:        fmt.Sprintf("n%02d", i),
			Address:     fmt.Sprintf("n%02d", i),
			DataCentre:  fmt.Sprintf("dc%d", i%dataCentres),
			MemoryBytes: int64(1+i%5/4) << 28,
		}})
	}
	for _, h := range sim.hosts {
		sim.start(h)
	}
	return sim
}

// start starts or restarts a host and lists it and the others in each other's tables.
func (sim *simulation) start(h *host) {
	h.dead = false
	h.Incarnation = sim.now.UnixMilli()
	h.number = 0
	h.table = NewTable(sim.now, h.Peer)
	for _, other := range sim.hosts {
		if other.Incarnation > 0 {
			h.table.Add(sim.now, other.Peer)
		}
		if other.table != nil && other != h {
			other.table.Add(sim.now, h.Peer)
		}
	}
	h.next = sim.now
}

// run advances the virtual time.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(tick) {
		for _, h := range sim.hosts {
			if h.dead || sim.now.Before(h.next) {
				continue
			}
			h.next = sim.now.Add(h.table.Interval(sim.now))
			sim.sendMessages(h)
		}
	}
}

func (sim *simulation) sendMessages(h *host) {
	to := h.table.Recipients(sim.now)
	h.number++
	members, left := h.table.Members(sim.now)
	r := &Report{Peer: h.Peer, Number: h.number, Leader: h.table.Leader(sim.now), Members: members, Left: left,
		HoldsLease: h.table.GroupHoldsLease(sim.now), IntervalMillis: h.table.Interval(sim.now).Milliseconds(), PoolsSlots: h.pools}
	for _, other := range sim.recipients(h, to.Reports) {
		other.table.HandleReport(sim.now, r)
	}
	reachable, known := h.table.HostCounts(sim.now)
	acks, sharing := h.table.Acks(sim.now, Confirmations{}), h.table.Sharing(sim.now)
	for name, ack := range acks {
		ack.PoolsSlots = ack.PoolsSlots && h.pools
		acks[name] = ack
	}
	d := &Digest{Peer: h.Peer, Number: h.number, Reachable: reachable, Known: known, IntervalMillis: r.IntervalMillis,
		Acks: acks, Leaders: sharing.Groups, GroupSizes: sharing.Sizes, PoolsSlots: h.pools}
	for _, other := range sim.recipients(h, to.Digests) {
		other.table.HandleDigest(sim.now, d)
	}
}

// recipients returns the hosts that receive a message sent to the given addresses.
func (sim *simulation) recipients(from *host, addresses []string) []*host {
	sim.sent += len(addresses)
	var out []*host
	for _, address := range addresses {
		for _, h := range sim.hosts {
			if h.Address == address && !h.dead && !sim.dropped(from, h) {
				out = append(out, h)
			}
		}
	}
	return out
}

func (sim *simulation) liveHosts() []*host {
	var out []*host
	for _, h := range sim.hosts {
		if !h.dead {
			out = append(out, h)
		}
	}
	return out
}

// leaders returns the hosts that follow no other, by data centre.
func (sim *simulation) leaders() map[string][]*host {
	out := map[string][]*host{}
	for _, h := range sim.liveHosts() {
		if h.table.IsLeader(sim.now) {
			out[h.DataCentre] = append(out[h.DataCentre], h)
		}
	}
	return out
}

// divergence describes why the live hosts do not all receive each other's reports through one
// leader per data centre; empty if they do.
func (sim *simulation) divergence() string {
	for dataCentre, leaders := range sim.leaders() {
		if len(sim.liveHosts()) > maxFullMeshHosts && len(leaders) != 1 {
			return fmt.Sprintf("%d leads in %s", len(leaders), dataCentre)
		}
	}
	for _, h := range sim.liveHosts() {
		reachable, known := h.table.HostCounts(sim.now)
		if reachable != len(sim.liveHosts()) || known < reachable {
			return fmt.Sprintf("%s hears %d of %d known, %d live", h.Name, reachable, known, len(sim.liveHosts()))
		}
	}
	return ""
}
