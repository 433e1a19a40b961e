package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func report(name string, incarnation int64, number uint64) *Report {
	return &Report{Peer: Peer{Name: name, Incarnation: incarnation, Address: name}, Number: number}
}

func TestOldAndDuplicateReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable(epoch, Peer{Name: "self"})
	isNew := func(r *Report) bool { return table.HandleReport(epoch, r).New }
	is.True(isNew(report("a", 5, 2)))
	is.True(!isNew(report("a", 5, 2)))
	is.True(!isNew(report("a", 5, 1)))
	is.True(!isNew(report("a", 4, 9))) // from an earlier run
	is.True(isNew(report("a", 6, 1)))
	is.True(!isNew(report("self", 1, 1)))
}

// TestSilentPeerStaysKnownUntilTimeout guards against reusing the quota share of a silent peer
// too early: the peer may still be running and spending it.
func TestSilentPeerStaysKnownUntilTimeout(t *testing.T) {
	is := is.New(t)
	table := NewTable(epoch, Peer{Name: "self"})
	table.Add(epoch, Peer{Name: "a", Incarnation: 1})
	table.HandleReport(epoch, report("b", 1, 1))
	reachable, known := table.HostCounts(epoch)
	is.Equal(reachable, 2)
	is.Equal(known, 3)
	later := epoch.Add(reachableIntervals * minReportInterval)
	reachable, known = table.HostCounts(later)
	is.Equal(reachable, 1)
	is.Equal(known, 3)
	is.Equal(len(table.NewlyLost(later)), 1)
	is.Equal(len(table.NewlyLost(later)), 0) // each loss is reported once
	_, known = table.HostCounts(epoch.Add(knownTimeout))
	is.Equal(known, 1)

	leaving := report("b", 1, 2)
	leaving.Leaving = true
	table.HandleReport(epoch, leaving)
	_, known = table.HostCounts(epoch)
	is.Equal(known, 2) // a host that has left spends no more quota
}

func TestSmallClusterIsFullMesh(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9, 4)
	sim.run(2 * time.Second)
	for _, h := range sim.hosts {
		reachable, _ := h.table.HostCounts(sim.now)
		is.Equal(reachable, 9)
		is.True(h.table.IsLeader(sim.now))
		is.Equal(len(h.table.Recipients(sim.now).Reports), 8)
	}
}

// TestLargeClusterHasOneLeaderPerDataCentre checks that hosts converge on one leader per data
// centre and then send far fewer messages than a full mesh.
func TestLargeClusterHasOneLeaderPerDataCentre(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(87, 4)
	sim.run(4 * time.Second)
	is.Equal(sim.divergence(), "")
	is.Equal(len(sim.leaders()), 4)
	for _, leaders := range sim.leaders() {
		is.True(leaders[0].MemoryBytes > 1<<28) // hosts with the most memory lead
	}
	sim.sent = 0
	sim.run(time.Second)
	is.True(sim.sent < 87*4*3) // about one report and one digest per host, four times per second, plus a margin
	for _, h := range sim.hosts {
		is.Equal(h.table.LeaseHolderReachable(sim.now), !h.table.IsLeader(sim.now)) // the leaders take care of the duties
	}
}

// TestFailedLeaderIsReplaced requires that all hosts receive each other's reports through a new
// leader one second after the failed one counts as lost.
func TestFailedLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(60, 3)
	sim.run(4 * time.Second)
	for died, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		sim.leaders()[dataCentre][0].dead = true
		sim.run(reachableIntervals*minReportInterval + time.Second)
		is.Equal(sim.divergence(), "")
		is.Equal(len(sim.liveHosts()), 59-died)
	}
}

// TestAllLeadersFailingAreReplaced checks that the new leaders find each other when all old
// ones fail at once.
func TestAllLeadersFailingAreReplaced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(60, 3)
	sim.run(4 * time.Second)
	for _, leaders := range sim.leaders() {
		leaders[0].dead = true
	}
	sim.run(2*reachableIntervals*minReportInterval + time.Second)
	is.Equal(sim.divergence(), "")
}

// TestDepartingLeaderIsReplacedImmediately checks that followers do not wait for the timeout of
// a leader that left gracefully.
func TestDepartingLeaderIsReplacedImmediately(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(60, 3)
	sim.run(4 * time.Second)
	leader := sim.leaders()["dc0"][0]
	to := leader.table.Recipients(sim.now)
	leaving := &Report{Peer: leader.Peer, Number: leader.number + 1, Leader: leader.Name, Leaving: true}
	for _, other := range sim.recipients(leader, append(to.Reports, to.Digests...)) {
		other.table.HandleReport(sim.now, leaving)
	}
	leader.dead = true
	sim.run(minReportInterval)
	is.Equal(len(sim.leaders()["dc0"]), 1)
	sim.run(3 * minReportInterval)
	is.Equal(sim.divergence(), "")
}

// TestIsolatedLeaderRejoins isolates a leader. Meanwhile the other hosts count it as known but
// not reachable; afterwards all hosts must converge again.
func TestIsolatedLeaderRejoins(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(40, 2)
	sim.run(4 * time.Second)
	isolated := sim.leaders()["dc1"][0]
	sim.dropped = func(from, to *host) bool { return from == isolated || to == isolated }
	sim.run(5 * time.Second)
	reachable, known := isolated.table.HostCounts(sim.now)
	is.Equal(reachable, 1)
	is.Equal(known, 40)
	for _, h := range sim.hosts {
		if h != isolated {
			reachable, known = h.table.HostCounts(sim.now)
			is.Equal(reachable, 39)
			is.Equal(known, 40)
		}
	}
	sim.dropped = func(*host, *host) bool { return false }
	sim.run(5 * time.Second)
	is.Equal(sim.divergence(), "")
}

// TestLeaseHolderFollowsNoLeader guards against a lease holder that misses hosts. It follows no
// leader, and must still receive the reports of all hosts and have its own received by them.
func TestLeaseHolderFollowsNoLeader(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(40, 2)
	sim.run(4 * time.Second)
	holder := sim.hosts[1]
	is.True(!holder.table.IsLeader(sim.now))
	holder.table.SetHoldsLease(true)
	sim.run(3 * time.Second)
	is.True(holder.table.IsLeader(sim.now))
	for _, h := range sim.hosts {
		reachable, _ := h.table.HostCounts(sim.now)
		is.Equal(reachable, 40)
		is.True(h == holder || h.table.LeaseHolderReachable(sim.now))
	}
}

// TestLeaseHolderAndNewLeaderExchangeReports makes the leader of the lease holder's data centre
// fail. If the lease holder and the new leader did not exchange reports, the duties would miss
// the usage of a whole group.
func TestLeaseHolderAndNewLeaderExchangeReports(t *testing.T) {
	is := is.New(t)
	for dataCentres := range 3 {
		sim := newSimulation(40, dataCentres+1)
		sim.run(4 * time.Second)
		holder := sim.hosts[1]
		is.True(!holder.table.IsLeader(sim.now))
		holder.table.SetHoldsLease(true)
		sim.run(3 * time.Second)
		for _, h := range sim.leaders()[holder.DataCentre] {
			if h != holder {
				h.dead = true
			}
		}
		sim.run(reachableIntervals*40*intervalPerFollower + 2*time.Second)
		for _, h := range sim.liveHosts() {
			reachable, _ := h.table.HostCounts(sim.now)
			is.Equal(reachable, 39)
		}
	}
}

// TestHostsConvergeAfterFaults kills, isolates and restarts hosts and cuts links at random. The
// followed hosts must never form a cycle, and once the links are restored all live hosts must
// receive each other's reports again.
func TestHostsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(13, 40).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "data centres"))
		blocked := map[[2]*host]bool{}
		sim.dropped = func(from, to *host) bool { return blocked[[2]*host{from, to}] }
		pick := func(what string) *host { return rapid.SampledFrom(sim.hosts).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"kill":    func(*rapid.T) { pick("killed").dead = true },
			"restart": func(*rapid.T) { sim.start(pick("restarted")) },
			"cut":     func(*rapid.T) { blocked[[2]*host{pick("from"), pick("to")}] = true },
			"isolate": func(*rapid.T) {
				h := pick("isolated")
				for _, other := range sim.hosts {
					blocked[[2]*host{h, other}], blocked[[2]*host{other, h}] = true, true
				}
			},
			"heal": func(*rapid.T) { clear(blocked) },
			"wait": func(*rapid.T) { sim.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tick) },
			"": func(t *rapid.T) {
				for _, h := range sim.liveHosts() {
					checkNoCycle(t, sim, h)
				}
			},
		})
		clear(blocked)
		sim.run(knownTimeout + 5*time.Second)
		if why := sim.divergence(); why != "" {
			t.Fatal(why)
		}
	})
}

func checkNoCycle(t *rapid.T, sim *simulation, from *host) {
	byName := map[string]*host{}
	for _, h := range sim.hosts {
		byName[h.Name] = h
	}
	at := from
	for range sim.hosts {
		next := byName[at.table.Leader(sim.now)]
		if next == at || next.dead {
			return
		}
		at = next
	}
	t.Fatalf("the chain of leaders that starts at %s is a cycle", from.Name)
}

// TestAckCoversOnlyReportsReceivedBefore checks that a query of the store acknowledges no report that
// arrived after it, because the query does not show what was newest after that report was sent.
func TestAckCoversOnlyReportsReceivedBefore(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(20, 1)
	sim.run(4 * time.Second)
	leader := sim.leaders()["dc0"][0].table
	follower := sim.hosts[0]
	if follower.table == leader {
		follower = sim.hosts[1]
	}
	first := &Report{Peer: follower.Peer, Number: 1000, Leader: leader.self.Name}
	leader.HandleReport(sim.now, first)
	second := *first
	second.Number = 1001
	leader.HandleReport(sim.now.Add(time.Second), &second)
	queriedAt := sim.now.Add(time.Second / 2)
	ack := leader.Acks(sim.now.Add(time.Second), Confirmations{Configuration: queriedAt, Endpoints: queriedAt.Add(time.Second)})[follower.Name]
	is.Equal(ack, Ack{Included: 1001, Configuration: 1000, Endpoints: 1001})
	longAgo := epoch.Add(-time.Minute)
	is.Equal(leader.Acks(sim.now.Add(time.Second), Confirmations{Configuration: longAgo, Endpoints: longAgo})[follower.Name].Configuration, uint64(0))
}

// TestDigestBeforeTheFirstReport checks that a host that has just restarted can hear a leader's digest, meant
// for its earlier run, before it knows the leader by a report or from the store.
func TestDigestBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	table := NewTable(epoch, Peer{Name: "self"})
	leader := Peer{Name: "leader", Incarnation: 1, Address: "leader"}
	receipt := table.HandleDigest(epoch, &Digest{Peer: leader, Number: 7})
	is.True(receipt.Joined)
	reachable, known := table.HostCounts(epoch)
	is.Equal(reachable, 2)
	is.Equal(known, 2)
	is.True(!table.LeaseHolderReachable(epoch))
	is.Equal(len(table.Demand(epoch, true)), 0)
	members, _ := table.Members(epoch)
	is.Equal(members, []string{"self"})
}

// TestHistoryIsBounded numbers reports as a host does that sends digests only some of the time.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	number := uint64(0)
	for round := range 20 {
		for range 30 {
			number += uint64(1 + round%2)
			h.Add(number, SentReport{At: epoch})
		}
	}
	is.True(len(h.sent) <= keptReports)
	_, ok := h.At(number)
	is.True(ok)
}
