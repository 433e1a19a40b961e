package capacitybench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/gossip/gossiptest"
	"rattanchute/internal/objectstore"
)

// virtualNodeCounts are the numbers of nodes that are simulated in virtual time.
var virtualNodeCounts = []int{9, 37, 100, planNodes}

const (
	// warmUpDuration is the virtual time until all nodes know each other.
	warmUpDuration = 20 * time.Second
	// hostBatch is the number of hosts announced at once during the warm-up.
	hostBatch = 200
)

// virtualCluster is a set of nodes in virtual time. There is no platform: the benchmark tells the
// nodes that it responds and which configuration it has.
type virtualCluster struct {
	*gossiptest.Network
	generation fleet.Generation
	texts      [][]byte
	appliedAt  map[*gossiptest.Node]time.Time
	leavingAt  map[*gossiptest.Node]time.Time
	violations int
}

func newVirtualCluster(nodes, hosts int, encode bool, texts [][]byte) *virtualCluster {
	s := &virtualCluster{
		Network:   gossiptest.NewNetwork(uint64(nodes)),
		texts:     texts,
		appliedAt: map[*gossiptest.Node]time.Time{},
		leavingAt: map[*gossiptest.Node]time.Time{},
	}
	s.OnEvent = s.onEvent
	s.OnViolation = func(string) { s.violations++ }
	for i := range nodes {
		s.Add(dataCentreName(i%planDataCentres), regionName(i%planDataCentres))
	}
	for _, n := range s.Nodes {
		s.Start(n, s.seeds())
		s.observePlatform(n)
	}
	s.Run(warmUpDuration)
	// Messages are encoded only after the start, because the start is not measured.
	s.Encode = encode
	s.acceptConfiguration(s.Nodes[0])
	for i := range hosts {
		s.reportHostState(s.Nodes[0], hostName(i), fleet.PhaseLive)
		if i%hostBatch == hostBatch-1 {
			s.Run(gossip.TickInterval)
		}
	}
	s.Run(warmUpDuration)
	return s
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func (s *virtualCluster) seeds() []string {
	return []string{s.Nodes[0].Address, s.Nodes[1].Address, s.Nodes[2].Address}
}

func (s *virtualCluster) onEvent(n *gossiptest.Node, e gossip.Event) {
	switch e := e.(type) {
	case gossip.ConfigurationInForce:
		s.appliedAt[n] = s.Now
	case gossip.HostStateChanged:
		if e.State.Phase == fleet.PhaseLeaving {
			s.leavingAt[n] = s.Now
		}
	}
}

func (s *virtualCluster) observePlatform(n *gossiptest.Node) {
	s.Step(n, func(m *gossip.StateMachine, now time.Time, _ *rand.Rand) gossip.Output { return m.ObservePlatform(now) })
}

// acceptConfiguration announces a new configuration through a node.
func (s *virtualCluster) acceptConfiguration(n *gossiptest.Node) {
	s.generation++
	s.observeConfiguration(n)
}

func (s *virtualCluster) observeConfiguration(n *gossiptest.Node) {
	text := s.texts[int(s.generation)%len(s.texts)]
	s.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.ObserveConfiguration(now, rnd, s.generation, text)
	})
}

func (s *virtualCluster) reportHostState(n *gossiptest.Node, host string, phase fleet.Phase) {
	s.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.ObserveHostState(now, rnd, fleet.HostState{Host: host, Instance: "a", Phase: phase})
	})
}

func (s *virtualCluster) restart(n *gossiptest.Node) {
	s.Stop(n)
	delete(s.appliedAt, n)
	s.Start(n, s.seeds())
}

func (s *virtualCluster) relays() []*gossiptest.Node {
	var out []*gossiptest.Node
	for _, n := range s.Nodes {
		if n.Up && n.StateMachine.IsRelay(objectstore.KindConfiguration) {
			out = append(out, n)
		}
	}
	return out
}

// schedule makes a call at a constant rate as long as the cluster runs.
func (s *virtualCluster) schedule(perDay float64, call func(i int)) {
	interval := time.Duration(float64(day) / perDay)
	i := 0
	var next func()
	next = func() {
		call(i)
		i++
		s.After(interval, next)
	}
	s.After(interval/2, next)
}

// steadyState is the resource usage of one node at the planned rates of changes.
type steadyState struct {
	nodes int
	// bytesPerSecond counts the bytes of the encoded messages that the node sends and receives.
	bytesPerSecond float64
	// requestsPerSecond counts the requests that the node sends and receives.
	requestsPerSecond float64
	// core is the processor usage without HTTP, as a fraction of one core.
	core float64
	// memory is the size of the heap, in bytes.
	memory float64
	// startBytes and startTime are the cost of restarting a node, until it is ready.
	startBytes float64
	startTime  time.Duration
}

func measureSteady(nodes int, window time.Duration, texts [][]byte) steadyState {
	before := heapBytes()
	s := newVirtualCluster(nodes, planHosts, true, texts)
	out := steadyState{nodes: nodes, memory: (heapBytes() - before) / float64(nodes)}
	s.schedule(planChangesPerDay, func(i int) { s.acceptConfiguration(s.Nodes[i%nodes]) })
	s.schedule(planHostChangesPerDay, func(i int) {
		s.reportHostState(s.Nodes[i%nodes], hostName(i/2), fleet.PhaseLeaving+fleet.Phase(i%2))
	})
	// A restarted node reads the configuration from its peers.
	s.schedule(planRestartsPerDay, func(i int) { s.restart(s.Nodes[(3+i)%nodes]) })
	bytes, requests := s.totals()
	cpu := processorTime()
	s.Run(window)
	nodeSeconds := float64(nodes) * window.Seconds()
	after, afterRequests := s.totals()
	out.core = (processorTime() - cpu).Seconds() / nodeSeconds
	out.bytesPerSecond = float64(after-bytes) / nodeSeconds
	out.requestsPerSecond = 2 * float64(afterRequests-requests) / nodeSeconds
	out.startBytes, out.startTime = s.measureStart(s.Nodes[nodes-1])
	return out
}

// measureStart restarts a node, which initially knows only its seeds, and returns the bytes that it
// sends and receives and the time until it is ready. It gives up after a minute of virtual time.
func (s *virtualCluster) measureStart(n *gossiptest.Node) (bytes float64, took time.Duration) {
	const step = 10 * time.Millisecond
	before, start := n.Sent+n.Received, s.Now
	s.restart(n)
	for !n.StateMachine.Ready() && s.Now.Sub(start) < time.Minute {
		s.Run(step)
	}
	return float64(n.Sent + n.Received - before), s.Now.Sub(start)
}

// measureMemory returns the heap size of a node depending on the number of hosts.
func measureMemory() Line {
	var points []Point
	for _, hosts := range []int{12, 100, 400, planHosts} {
		before := heapBytes()
		s := newVirtualCluster(slopeClusterNodes, hosts, false, [][]byte{[]byte("one")})
		points = append(points, Point{float64(hosts), (heapBytes() - before) / slopeClusterNodes})
		runtime.KeepAlive(s)
	}
	return Fit("heap of member and spread", "B", "hosts", points)
}

func (s *virtualCluster) totals() (bytes, requests int64) {
	for _, n := range s.Nodes {
		bytes += n.Sent + n.Received
		requests += n.Requests
	}
	return bytes, requests
}
