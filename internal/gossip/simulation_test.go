package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/gossip/gossiptest"
	"rattanchute/internal/objectstore"
)

// testingT holds the methods of *testing.T and *rapid.T that the simulation uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation runs a network of nodes and a platform store, and checks the protocol's
// guarantees.
type simulation struct {
	*gossiptest.Network
	t testingT
	// accepted is the newest generation in the store; zero if there is none.
	accepted  fleet.Generation
	storeUp   bool
	staleRate float64
	active    map[*gossiptest.Node]fleet.Generation
	activeAt  map[*gossiptest.Node]time.Time
	phases    map[string]fleet.Phase
	leavingAt map[*gossiptest.Node]time.Time
	joining   map[*gossiptest.Node]fleet.Generation
	counts    storeCounts
}

// storeCounts counts the faults of the store and the actions of its users.
type storeCounts struct {
	accepted, raced, lostAnswers, staleReads, outages, startedInOutage, joinsChecked int
}

func newSimulation(t testingT, seed uint64, nodes, dataCentres, regions int) *simulation {
	sim := &simulation{
		Network:   gossiptest.NewNetwork(seed),
		t:         t,
		storeUp:   true,
		active:    map[*gossiptest.Node]fleet.Generation{},
		activeAt:  map[*gossiptest.Node]time.Time{},
		phases:    map[string]fleet.Phase{},
		leavingAt: map[*gossiptest.Node]time.Time{},
		joining:   map[*gossiptest.Node]fleet.Generation{},
	}
	sim.OnEvent, sim.OnStep, sim.OnTick = sim.checkEvent, sim.checkStep, sim.readPlatform
	sim.OnViolation = func(text string) { t.Fatalf("violation: %s", text) }
	for i := range nodes {
		dataCentre := i % dataCentres
		sim.Add(dataCentreName(dataCentre), fmt.Sprintf("region-%d", dataCentre%regions))
	}
	for _, n := range sim.Nodes {
		sim.Start(n, sim.seeds())
	}
	return sim
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func configurationText(g fleet.Generation) []byte { return fmt.Appendf(nil, "text of %d", g) }

func (sim *simulation) seeds() []string {
	var out []string
	for range 4 {
		out = append(out, sim.Nodes[sim.Rand.IntN(len(sim.Nodes))].Address)
	}
	return out
}

// checkEvent checks that no node reports an older configuration or an earlier phase of a host than
// before, and that each generation has its own text.
func (sim *simulation) checkEvent(n *gossiptest.Node, e gossip.Event) {
	sim.t.Helper()
	switch e := e.(type) {
	case gossip.ConfigurationInForce:
		if e.Generation <= sim.active[n] {
			sim.t.Fatalf("%s reverted from configuration %d to %d", n.Name, sim.active[n], e.Generation)
		}
		if string(e.Text) != string(configurationText(e.Generation)) {
			sim.t.Fatalf("%s has a wrong text for configuration %d", n.Name, e.Generation)
		}
		sim.active[n] = e.Generation
		sim.activeAt[n] = sim.Now
	case gossip.HostStateChanged:
		key := fmt.Sprint(n.Name, n.Starts, e.State.Host, e.State.Instance)
		if e.State.Phase < sim.phases[key] {
			sim.t.Fatalf("%s moved host %s back to phase %d", n.Name, e.State.Host, e.State.Phase)
		}
		sim.phases[key] = e.State.Phase
		if e.State.Phase >= fleet.PhaseLeaving && sim.leavingAt[n].IsZero() {
			sim.leavingAt[n] = sim.Now
		}
	}
}

// checkStep checks that a node that has just become ready has a configuration at least as new as
// restart recorded for it.
func (sim *simulation) checkStep(n *gossiptest.Node) {
	atStart, joining := sim.joining[n]
	if !joining || !n.StateMachine.Ready() {
		return
	}
	delete(sim.joining, n)
	sim.counts.joinsChecked++
	if sim.active[n] < atStart {
		sim.t.Fatalf("%s is ready with configuration %d; a reachable peer had %d", n.Name, sim.active[n], atStart)
	}
}

// restart restarts a node. If the network injects no faults and the node can reach a seed that is
// ready, it records the newest configuration that the reachable peers that are ready have activated;
// checkStep compares the node's configuration with it.
func (sim *simulation) restart(n *gossiptest.Node) {
	sim.Stop(n)
	if !sim.storeUp {
		sim.counts.startedInOutage++
	}
	sim.cancelJoinChecks()
	delete(sim.active, n)
	delete(sim.activeAt, n)
	seeds := sim.seeds()
	sim.Start(n, seeds)
	if sim.Faults != (gossiptest.Faults{}) || !sim.hasReadySeed(n, seeds) {
		return
	}
	sim.joining[n] = 0
	for _, peer := range sim.Nodes {
		if peer != n && sim.Reachable(n, peer) && peer.StateMachine.Ready() {
			sim.joining[n] = max(sim.joining[n], sim.active[peer])
		}
	}
}

func (sim *simulation) hasReadySeed(n *gossiptest.Node, seeds []string) bool {
	for _, peer := range sim.Nodes {
		for _, address := range seeds {
			if peer != n && peer.Address == address && peer.StateMachine.Ready() && sim.Reachable(n, peer) {
				return true
			}
		}
	}
	return false
}

// cancelJoinChecks drops the checks of joins that are in progress, because the set of reachable
// peers is about to change.
func (sim *simulation) cancelJoinChecks() { clear(sim.joining) }

// readPlatform simulates a node's reads of the platform after each tick: relays keep reading it;
// a starting node reads until it is ready.
func (sim *simulation) readPlatform(n *gossiptest.Node) {
	if !sim.storeUp || n.StateMachine.Ready() && !n.StateMachine.IsRelay(objectstore.KindConfiguration) {
		return
	}
	g := sim.accepted
	if g > 1 && sim.Rand.Float64() < sim.staleRate {
		g = 1 + fleet.Generation(sim.Rand.IntN(int(g)))
		if g < sim.accepted {
			sim.counts.staleReads++
		}
	}
	sim.observeConfiguration(n, g)
}

func (sim *simulation) observeConfiguration(n *gossiptest.Node, g fleet.Generation) {
	sim.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		if g == 0 {
			return m.ObservePlatform(now)
		}
		return m.ObserveConfiguration(now, rnd, g, configurationText(g))
	})
}

// accept writes the next generation through a node, provided that read, the generation that the
// node has read, is still the newest in the store. With lostAnswer the write takes effect but the
// node does not learn of it.
func (sim *simulation) accept(n *gossiptest.Node, read fleet.Generation, lostAnswer bool) {
	if !sim.storeUp || !n.Up || n.Paused {
		return
	}
	if read != sim.accepted {
		sim.counts.raced++
		return
	}
	sim.accepted++
	sim.counts.accepted++
	if lostAnswer {
		sim.counts.lostAnswers++
		return
	}
	sim.observeConfiguration(n, sim.accepted)
}

func (sim *simulation) observeHost(n *gossiptest.Node, host string, phase fleet.Phase) {
	sim.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.ObserveHostState(now, rnd, fleet.HostState{Host: host, Instance: "a", Phase: phase})
	})
}

// heal ends all faults.
func (sim *simulation) heal() {
	sim.cancelJoinChecks()
	sim.Faults = gossiptest.Faults{}
	sim.storeUp = true
	sim.staleRate = 0
	for i, a := range sim.Nodes {
		for _, b := range sim.Nodes[:i] {
			sim.Partition(a.DataCentre, b.DataCentre, false)
		}
		if a.Paused {
			sim.Resume(a)
		}
	}
}

// maxDelay returns how long after start the last of the nodes selected by include reached a state.
// reachedAt holds the time at which each node reached it; the test fails if a selected node did
// not.
func (sim *simulation) maxDelay(
	start time.Time, reachedAt map[*gossiptest.Node]time.Time, include func(*gossiptest.Node) bool,
) time.Duration {
	var worst time.Duration
	for _, n := range sim.Nodes {
		if !include(n) {
			continue
		}
		if reachedAt[n].IsZero() {
			sim.t.Fatalf("%s never reached the expected state", n.Name)
		}
		worst = max(worst, reachedAt[n].Sub(start))
	}
	return worst
}
