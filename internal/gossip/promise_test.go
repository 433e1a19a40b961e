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
	forceBound   = 17 * time.Second
	leavingBound = 4 * time.Second
)

var largeSeeds = flag.Uint64("spread.seeds", 1, "seeds to run the tests at 370 nodes with")

// total adds up what several runs provoked.
type total struct {
	net   gossiptest.Counts
	world worldCounts
}

func (s *total) add(w *world) {
	s.net.Lost += w.Counts.Lost
	s.net.Delayed += w.Counts.Delayed
	s.net.Duplicated += w.Counts.Duplicated
	s.net.Reordered += w.Counts.Reordered
	s.net.Partitioned += w.Counts.Partitioned
	s.net.Restarted += w.Counts.Restarted
	s.net.Paused += w.Counts.Paused
	s.world.accepted += w.counts.accepted
	s.world.raced += w.counts.raced
	s.world.lostAnswers += w.counts.lostAnswers
	s.world.staleReads += w.counts.staleReads
	s.world.outages += w.counts.outages
	s.world.startedInOutage += w.counts.startedInOutage
	s.world.joinsChecked += w.counts.joinsChecked
}

func TestPromiseConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	const nodes, centres, regions = 12, 4, 2
	var sum total
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), nodes, centres, regions)
		w.Run(10 * time.Second)
		t.Repeat(configurationActions(w))
		w.heal()
		w.Run(forceBound)
		for _, n := range w.Nodes {
			if w.inForce[n] != w.accepted {
				t.Fatalf("%s has configuration %d, accepted is %d", n.Name, w.inForce[n], w.accepted)
			}
		}
		sum.add(w)
	})
	t.Logf("provoked: %+v", sum)
	is := is.New(t)
	for _, count := range []int{
		sum.net.Lost, sum.net.Delayed, sum.net.Duplicated, sum.net.Reordered, sum.net.Partitioned, sum.net.Restarted, sum.net.Paused,
		sum.world.accepted, sum.world.raced, sum.world.lostAnswers, sum.world.staleReads, sum.world.outages,
		sum.world.startedInOutage, sum.world.joinsChecked,
	} {
		is.True(count > 0) // each kind of fault happened
	}
}

func configurationActions(w *world) map[string]func(*rapid.T) {
	node := func(t *rapid.T) *gossiptest.Node { return w.Nodes[rapid.IntRange(0, len(w.Nodes)-1).Draw(t, "node")] }
	return map[string]func(*rapid.T){
		"accept": func(t *rapid.T) { w.accept(node(t), w.accepted, rapid.Bool().Draw(t, "lost answer")) },
		"race": func(t *rapid.T) {
			read := w.accepted
			w.accept(node(t), read, false)
			w.accept(node(t), read, false)
		},
		"cut": func(t *rapid.T) {
			a, b := rapid.IntRange(0, 3).Draw(t, "a"), rapid.IntRange(0, 3).Draw(t, "b")
			w.disturb()
			w.Partition(centreName(a), centreName(b), rapid.Bool().Draw(t, "cut"))
		},
		"outage": func(*rapid.T) {
			w.storeUp = !w.storeUp
			w.counts.outages++
		},
		"stale": func(t *rapid.T) { w.staleRate = rapid.Float64Range(0, 0.5).Draw(t, "rate") },
		"faults": func(t *rapid.T) {
			w.disturb()
			rate := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "rate")
			w.Faults = gossiptest.Faults{Loss: rate, Delayed: rate, Duplicate: rate}
		},
		"restart": func(t *rapid.T) { w.restart(node(t)) },
		// Without losses it is known which peers a starting node reaches.
		"restart without loss": func(t *rapid.T) {
			w.Faults = gossiptest.Faults{}
			w.restart(node(t))
			w.Run(8 * time.Second)
		},
		"pause": func(t *rapid.T) {
			w.disturb()
			w.Pause(node(t))
		},
		"resume": func(*rapid.T) {
			w.disturb()
			for _, n := range w.Nodes {
				if n.Paused {
					w.Resume(n)
				}
			}
		},
		"": func(t *rapid.T) { w.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond) },
	}
}

func TestConfigurationInForceWithinBound(t *testing.T) {
	t.Parallel()
	const nodes, centres, regions = 370, 11, 3
	for seed := range *largeSeeds {
		w := newWorld(t, seed+1, nodes, centres, regions)
		w.accept(w.Nodes[0], 0, false)
		w.Run(15 * time.Second)
		clear(w.inForceAt)
		for i := range centres {
			w.Partition(centreName(1), centreName(i), true)
		}
		w.Faults.Loss = 0.05
		w.accept(w.Nodes[0], w.accepted, false)
		w.storeUp = false
		start := w.Now
		w.Run(forceBound)
		worst := w.slowest(start, w.inForceAt, func(n *gossiptest.Node) bool { return n.DataCentre != centreName(1) })
		t.Logf("seed %d: in force on all reachable nodes after %v", seed+1, worst)
		is.New(t).True(worst <= forceBound)

		healed := w.Now
		for i := range centres {
			w.Partition(centreName(1), centreName(i), false)
		}
		w.Run(forceBound)
		worst = w.slowest(healed, w.inForceAt, func(*gossiptest.Node) bool { return true })
		t.Logf("seed %d: in force everywhere %v after the cut ended", seed+1, worst)
		is.New(t).True(worst <= forceBound)
	}
}

func TestLeavingReachesEveryNode(t *testing.T) {
	t.Parallel()
	const nodes, centres, regions = 370, 11, 3
	for seed := range *largeSeeds {
		w := newWorld(t, seed+1, nodes, centres, regions)
		w.notice(w.Nodes[0], "host-1", fleet.PhaseLive)
		w.Run(15 * time.Second)
		w.Faults = gossiptest.Faults{Loss: 0.05, Delayed: 0.05, Duplicate: 0.05}
		w.accept(w.Nodes[3], w.accepted, false)
		w.storeUp = false
		dead := relays(w)[0]
		w.Stop(dead)
		start := w.Now
		w.notice(w.Nodes[7], "host-1", fleet.PhaseLeaving)
		// A relay that reads the lagging list still says that the host is live.
		lagging := relays(w)[1]
		for i := range 5 {
			w.After(time.Duration(i)*time.Second, func() { w.notice(lagging, "host-1", fleet.PhaseLive) })
		}
		w.Run(2 * leavingBound)
		worst := w.slowest(start, w.leavingAt, func(n *gossiptest.Node) bool { return n != dead })
		t.Logf("seed %d: known on every node after %v", seed+1, worst)
		is.New(t).True(worst <= leavingBound)
		is.New(t).True(w.Counts.Lost > 0 && w.Counts.Delayed > 0 && w.Counts.Duplicated > 0 && w.Counts.Reordered > 0)
	}
}

func relays(w *world) []*gossiptest.Node {
	var out []*gossiptest.Node
	for _, n := range w.Nodes[8:] {
		if n.StateMachine.IsRelay(objectstore.KindConfiguration) {
			out = append(out, n)
		}
	}
	return out
}

func TestHealedRegionsMerge(t *testing.T) {
	t.Parallel()
	const nodes, centres, regions = 36, 6, 3
	for seed := range *largeSeeds {
		w := newWorld(t, seed+1, nodes, centres, regions)
		w.Run(20 * time.Second)
		cutRegion(w, "region-0", true)
		w.Run(3 * time.Minute)
		perRegion := nodes / regions
		is := is.New(t)
		is.Equal(len(w.Nodes[0].StateMachine.Members()), perRegion)
		is.Equal(len(w.Nodes[1].StateMachine.Members()), nodes-perRegion)

		cutRegion(w, "region-0", false)
		start := w.Now
		for !allKnown(w) {
			for _, n := range w.Nodes {
				is.True(len(n.StateMachine.Members()) >= perRegion) // the parts do not declare each other dead
			}
			is.True(w.Now.Sub(start) < time.Minute)
			w.Run(100 * time.Millisecond)
		}
		t.Logf("seed %d: one table again %v after the cut ended", seed+1, w.Now.Sub(start))
	}
}

func cutRegion(w *world, region string, cut bool) {
	for _, a := range w.Nodes {
		for _, b := range w.Nodes {
			if a.Region == region && b.Region != region {
				w.Partition(a.DataCentre, b.DataCentre, cut)
			}
		}
	}
}

func allKnown(w *world) bool {
	for _, n := range w.Nodes {
		if len(n.StateMachine.Members()) != len(w.Nodes) {
			return false
		}
	}
	return true
}
