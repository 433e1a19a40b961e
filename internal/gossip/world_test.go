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

// failer is what testing.T and rapid.T have in common.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world is a network of nodes, the platform's store and the checks.
type world struct {
	*gossiptest.Network
	t failer
	// accepted is the generation in the store; zero for none.
	accepted  fleet.Generation
	storeUp   bool
	staleRate float64
	inForce   map[*gossiptest.Node]fleet.Generation
	inForceAt map[*gossiptest.Node]time.Time
	phases    map[string]fleet.Phase
	leavingAt map[*gossiptest.Node]time.Time
	joining   map[*gossiptest.Node]fleet.Generation
	counts    worldCounts
}

// worldCounts tells how often each fault of the store and its users happened.
type worldCounts struct {
	accepted, raced, lostAnswers, staleReads, outages, startedInOutage, joinsChecked int
}

func newWorld(t failer, seed uint64, nodes, centres, regions int) *world {
	w := &world{
		Network:   gossiptest.NewNetwork(seed),
		t:         t,
		storeUp:   true,
		inForce:   map[*gossiptest.Node]fleet.Generation{},
		inForceAt: map[*gossiptest.Node]time.Time{},
		phases:    map[string]fleet.Phase{},
		leavingAt: map[*gossiptest.Node]time.Time{},
		joining:   map[*gossiptest.Node]fleet.Generation{},
	}
	w.OnEvent, w.OnStep, w.OnTick = w.event, w.step, w.tick
	w.OnViolation = func(text string) { t.Fatalf("violation: %s", text) }
	for i := range nodes {
		centre := i % centres
		w.Add(centreName(centre), fmt.Sprintf("region-%d", centre%regions))
	}
	for _, n := range w.Nodes {
		w.Start(n, w.seeds())
	}
	return w
}

func centreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func textOf(g fleet.Generation) []byte { return fmt.Appendf(nil, "text of %d", g) }

func (w *world) seeds() []string {
	var out []string
	for range 4 {
		out = append(out, w.Nodes[w.Rand.IntN(len(w.Nodes))].Address)
	}
	return out
}

// event checks that nothing a node reports goes backwards.
func (w *world) event(n *gossiptest.Node, e gossip.Event) {
	w.t.Helper()
	switch e := e.(type) {
	case gossip.ConfigurationInForce:
		if e.Generation <= w.inForce[n] {
			w.t.Fatalf("%s reverted from configuration %d to %d", n.Name, w.inForce[n], e.Generation)
		}
		if string(e.Text) != string(textOf(e.Generation)) {
			w.t.Fatalf("%s has a wrong text for configuration %d", n.Name, e.Generation)
		}
		w.inForce[n] = e.Generation
		w.inForceAt[n] = w.Now
	case gossip.HostStateChanged:
		key := fmt.Sprint(n.Name, n.Starts, e.State.Host, e.State.Instance)
		if e.State.Phase < w.phases[key] {
			w.t.Fatalf("%s moved host %s back to phase %d", n.Name, e.State.Host, e.State.Phase)
		}
		w.phases[key] = e.State.Phase
		if e.State.Phase >= fleet.PhaseLeaving && w.leavingAt[n].IsZero() {
			w.leavingAt[n] = w.Now
		}
	}
}

// step checks a node that has just become ready.
func (w *world) step(n *gossiptest.Node) {
	atStart, joining := w.joining[n]
	if !joining || !n.StateMachine.Ready() {
		return
	}
	delete(w.joining, n)
	w.counts.joinsChecked++
	if w.inForce[n] < atStart {
		w.t.Fatalf("%s is ready with configuration %d; a reachable peer had %d", n.Name, w.inForce[n], atStart)
	}
}

// restart starts a node anew and remembers what the peers it can reach have in force.
func (w *world) restart(n *gossiptest.Node) {
	w.Stop(n)
	if !w.storeUp {
		w.counts.startedInOutage++
	}
	w.disturb()
	delete(w.inForce, n)
	delete(w.inForceAt, n)
	seeds := w.seeds()
	w.Start(n, seeds)
	if w.Faults != (gossiptest.Faults{}) || !w.readySeed(n, seeds) {
		return
	}
	w.joining[n] = 0
	for _, peer := range w.Nodes {
		if peer != n && w.Reachable(n, peer) && peer.StateMachine.Ready() {
			w.joining[n] = max(w.joining[n], w.inForce[peer])
		}
	}
}

func (w *world) readySeed(n *gossiptest.Node, seeds []string) bool {
	for _, peer := range w.Nodes {
		for _, address := range seeds {
			if peer != n && peer.Address == address && peer.StateMachine.Ready() && w.Reachable(n, peer) {
				return true
			}
		}
	}
	return false
}

// disturb ends the checks of joins whose set of reachable peers changes under way.
func (w *world) disturb() { clear(w.joining) }

// tick is a node's reading of the platform: relays follow it, starting nodes read once.
func (w *world) tick(n *gossiptest.Node) {
	if !w.storeUp || n.StateMachine.Ready() && !n.StateMachine.IsRelay(objectstore.KindConfiguration) {
		return
	}
	g := w.accepted
	if g > 1 && w.Rand.Float64() < w.staleRate {
		g = 1 + fleet.Generation(w.Rand.IntN(int(g)))
		if g < w.accepted {
			w.counts.staleReads++
		}
	}
	w.local(n, g)
}

func (w *world) local(n *gossiptest.Node, g fleet.Generation) {
	w.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		if g == 0 {
			return m.ObservePlatform(now)
		}
		return m.ObserveConfiguration(now, rnd, g, textOf(g))
	})
}

// accept writes a configuration through a node, conditional on the version it read.
func (w *world) accept(n *gossiptest.Node, read fleet.Generation, lostAnswer bool) {
	if !w.storeUp || !n.Up || n.Paused {
		return
	}
	if read != w.accepted {
		w.counts.raced++
		return
	}
	w.accepted++
	w.counts.accepted++
	if lostAnswer {
		w.counts.lostAnswers++
		return
	}
	w.local(n, w.accepted)
}

func (w *world) notice(n *gossiptest.Node, host string, phase fleet.Phase) {
	w.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.ObserveHostState(now, rnd, fleet.HostState{Host: host, Instance: "a", Phase: phase})
	})
}

// heal ends all faults.
func (w *world) heal() {
	w.disturb()
	w.Faults = gossiptest.Faults{}
	w.storeUp = true
	w.staleRate = 0
	for i, a := range w.Nodes {
		for _, b := range w.Nodes[:i] {
			w.Partition(a.DataCentre, b.DataCentre, false)
		}
		if a.Paused {
			w.Resume(a)
		}
	}
}

// slowest returns how long after start the last of the nodes got there.
func (w *world) slowest(start time.Time, at map[*gossiptest.Node]time.Time, counts func(*gossiptest.Node) bool) time.Duration {
	var worst time.Duration
	for _, n := range w.Nodes {
		if !counts(n) {
			continue
		}
		if at[n].IsZero() {
			w.t.Fatalf("%s never got there", n.Name)
		}
		worst = max(worst, at[n].Sub(start))
	}
	return worst
}
