package gossip_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip/gossiptest"
	"rattanchute/internal/objectstore"
)

const (
	activationBound = 17 * time.Second
	leavingBound    = 4 * time.Second
)

var largeSeeds = flag.Uint64("spread.seeds", 1, "seeds to run the tests at 370 nodes with")

// faultTotals sums the faults injected over several runs.
type faultTotals struct {
	network    gossiptest.Counts
	simulation storeCounts
}

func (s *faultTotals) add(sim *simulation) {
	s.network.Lost += sim.Counts.Lost
	s.network.Delayed += sim.Counts.Delayed
	s.network.Duplicated += sim.Counts.Duplicated
	s.network.Reordered += sim.Counts.Reordered
	s.network.Partitioned += sim.Counts.Partitioned
	s.network.Restarted += sim.Counts.Restarted
	s.network.Paused += sim.Counts.Paused
	s.simulation.accepted += sim.counts.accepted
	s.simulation.raced += sim.counts.raced
	s.simulation.lostAnswers += sim.counts.lostAnswers
	s.simulation.staleReads += sim.counts.staleReads
	s.simulation.outages += sim.counts.outages
	s.simulation.startedInOutage += sim.counts.startedInOutage
	s.simulation.joinsChecked += sim.counts.joinsChecked
}

func TestPromiseConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	const nodes, dataCentres, regions = 12, 4, 2
	var sum faultTotals
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), nodes, dataCentres, regions)
		sim.Run(10 * time.Second)
		t.Repeat(configurationActions(sim))
		sim.heal()
		sim.Run(activationBound)
		for _, n := range sim.Nodes {
			if sim.active[n] != sim.accepted {
				t.Fatalf("%s has configuration %d, accepted is %d", n.Name, sim.active[n], sim.accepted)
			}
		}
		sum.add(sim)
	})
	t.Logf("injected faults: %+v", sum)
	is := is.New(t)
	for _, count := range []int{
		sum.network.Lost, sum.network.Delayed, sum.network.Duplicated, sum.network.Reordered,
		sum.network.Partitioned, sum.network.Restarted, sum.network.Paused,
		sum.simulation.accepted, sum.simulation.raced, sum.simulation.lostAnswers, sum.simulation.staleReads,
		sum.simulation.outages, sum.simulation.startedInOutage, sum.simulation.joinsChecked,
	} {
		is.True(count > 0) // every kind of fault was injected
	}
}

func configurationActions(sim *simulation) map[string]func(*rapid.T) {
	node := func(t *rapid.T) *gossiptest.Node {
		return sim.Nodes[rapid.IntRange(0, len(sim.Nodes)-1).Draw(t, "node")]
	}
	return map[string]func(*rapid.T){
		"accept": func(t *rapid.T) { sim.accept(node(t), sim.accepted, rapid.Bool().Draw(t, "lost answer")) },
		"race": func(t *rapid.T) {
			read := sim.accepted
			sim.accept(node(t), read, false)
			sim.accept(node(t), read, false)
		},
		"cut": func(t *rapid.T) {
			a, b := rapid.IntRange(0, 3).Draw(t, "a"), rapid.IntRange(0, 3).Draw(t, "b")
			sim.cancelJoinChecks()
			sim.Partition(dataCentreName(a), dataCentreName(b), rapid.Bool().Draw(t, "cut"))
		},
		"outage": func(*rapid.T) {
			sim.storeUp = !sim.storeUp
			sim.counts.outages++
		},
		"stale": func(t *rapid.T) { sim.staleRate = rapid.Float64Range(0, 0.5).Draw(t, "rate") },
		"faults": func(t *rapid.T) {
			sim.cancelJoinChecks()
			rate := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "rate")
			sim.Faults = gossiptest.Faults{Loss: rate, Delayed: rate, Duplicate: rate}
		},
		"restart": func(t *rapid.T) { sim.restart(node(t)) },
		// Without message loss, the set of peers that a starting node reaches is known.
		"restart without loss": func(t *rapid.T) {
			sim.Faults = gossiptest.Faults{}
			sim.restart(node(t))
			sim.Run(8 * time.Second)
		},
		"pause": func(t *rapid.T) {
			sim.cancelJoinChecks()
			sim.Pause(node(t))
		},
		"resume": func(*rapid.T) {
			sim.cancelJoinChecks()
			for _, n := range sim.Nodes {
				if n.Paused {
					sim.Resume(n)
				}
			}
		},
		"": func(t *rapid.T) { sim.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond) },
	}
}

func TestConfigurationActiveWithinBound(t *testing.T) {
	t.Parallel()
	const nodes, dataCentres, regions = 370, 11, 3
	for seed := range *largeSeeds {
		sim := newSimulation(t, seed+1, nodes, dataCentres, regions)
		sim.accept(sim.Nodes[0], 0, false)
		sim.Run(15 * time.Second)
		clear(sim.activeAt)
		for i := range dataCentres {
			sim.Partition(dataCentreName(1), dataCentreName(i), true)
		}
		sim.Faults.Loss = 0.05
		sim.accept(sim.Nodes[0], sim.accepted, false)
		sim.storeUp = false
		start := sim.Now
		sim.Run(activationBound)
		worst := sim.maxDelay(start, sim.activeAt, func(n *gossiptest.Node) bool { return n.DataCentre != dataCentreName(1) })
		t.Logf("seed %d: in force on all reachable nodes after %v", seed+1, worst)
		is.New(t).True(worst <= activationBound)

		healed := sim.Now
		for i := range dataCentres {
			sim.Partition(dataCentreName(1), dataCentreName(i), false)
		}
		sim.Run(activationBound)
		worst = sim.maxDelay(healed, sim.activeAt, func(*gossiptest.Node) bool { return true })
		t.Logf("seed %d: in force everywhere %v after the partition healed", seed+1, worst)
		is.New(t).True(worst <= activationBound)
	}
}

func TestLeavingHostKnownWithinBound(t *testing.T) {
	t.Parallel()
	const nodes, dataCentres, regions = 370, 11, 3
	for seed := range *largeSeeds {
		sim := newSimulation(t, seed+1, nodes, dataCentres, regions)
		sim.observeHost(sim.Nodes[0], "host-1", fleet.PhaseLive)
		sim.Run(15 * time.Second)
		sim.Faults = gossiptest.Faults{Loss: 0.05, Delayed: 0.05, Duplicate: 0.05}
		sim.accept(sim.Nodes[3], sim.accepted, false)
		sim.storeUp = false
		dead := relays(sim)[0]
		sim.Stop(dead)
		start := sim.Now
		sim.observeHost(sim.Nodes[7], "host-1", fleet.PhaseLeaving)
		// A relay that reads a stale list still reports the host as live.
		lagging := relays(sim)[1]
		for i := range 5 {
			sim.After(time.Duration(i)*time.Second, func() { sim.observeHost(lagging, "host-1", fleet.PhaseLive) })
		}
		sim.Run(2 * leavingBound)
		worst := sim.maxDelay(start, sim.leavingAt, func(n *gossiptest.Node) bool { return n != dead })
		t.Logf("seed %d: known on every node after %v", seed+1, worst)
		is.New(t).True(worst <= leavingBound)
		is.New(t).True(sim.Counts.Lost > 0 && sim.Counts.Delayed > 0 && sim.Counts.Duplicated > 0 && sim.Counts.Reordered > 0)
	}
}

func relays(sim *simulation) []*gossiptest.Node {
	var out []*gossiptest.Node
	for _, n := range sim.Nodes[8:] {
		if n.StateMachine.IsRelay(objectstore.KindConfiguration) {
			out = append(out, n)
		}
	}
	return out
}

func TestHealedPartitionMerges(t *testing.T) {
	t.Parallel()
	const nodes, dataCentres, regions = 36, 6, 3
	for seed := range *largeSeeds {
		sim := newSimulation(t, seed+1, nodes, dataCentres, regions)
		sim.Run(20 * time.Second)
		partitionRegion(sim, "region-0", true)
		sim.Run(3 * time.Minute)
		perRegion := nodes / regions
		is := is.New(t)
		is.Equal(len(sim.Nodes[0].StateMachine.Members()), perRegion)
		is.Equal(len(sim.Nodes[1].StateMachine.Members()), nodes-perRegion)

		partitionRegion(sim, "region-0", false)
		start := sim.Now
		for !allMembersKnown(sim) {
			for _, n := range sim.Nodes {
				is.True(len(n.StateMachine.Members()) >= perRegion) // the two sides must not declare each other dead
			}
			is.True(sim.Now.Sub(start) < time.Minute)
			sim.Run(100 * time.Millisecond)
		}
		t.Logf("seed %d: all members known %v after the partition healed", seed+1, sim.Now.Sub(start))
	}
}

func partitionRegion(sim *simulation, region string, blocked bool) {
	for _, a := range sim.Nodes {
		for _, b := range sim.Nodes {
			if a.Region == region && b.Region != region {
				sim.Partition(a.DataCentre, b.DataCentre, blocked)
			}
		}
	}
}

func allMembersKnown(sim *simulation) bool {
	for _, n := range sim.Nodes {
		if len(n.StateMachine.Members()) != len(sim.Nodes) {
			return false
		}
	}
	return true
}
