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

// virtualCounts are the numbers of nodes that run in virtual time.
var virtualCounts = []int{9, 37, 100, planNodes}

const (
	// warmUp is the virtual time until all nodes know all.
	warmUp = 20 * time.Second
	// hostBatch is the number of hosts announced at once while warming up.
	hostBatch = 200
)

// site is a set of nodes in virtual time with the platform's part played by the bench.
type site struct {
	*gossiptest.Network
	generation fleet.Generation
	texts      [][]byte
	inForceAt  map[*gossiptest.Node]time.Time
	leavingAt  map[*gossiptest.Node]time.Time
	violations int
}

func newSite(nodes, hosts int, encode bool, texts [][]byte) *site {
	s := &site{
		Network:   gossiptest.NewNetwork(uint64(nodes)),
		texts:     texts,
		inForceAt: map[*gossiptest.Node]time.Time{},
		leavingAt: map[*gossiptest.Node]time.Time{},
	}
	s.OnEvent = s.event
	s.OnViolation = func(string) { s.violations++ }
	for i := range nodes {
		s.Add(centreName(i%planDataCentres), regionName(i%planDataCentres))
	}
	for _, n := range s.Nodes {
		s.Start(n, s.seeds())
		s.platformAnswers(n)
	}
	s.Run(warmUp)
	// Encoding begins after the start, which is not what is measured.
	s.Encode = encode
	s.accept(s.Nodes[0])
	for i := range hosts {
		s.notice(s.Nodes[0], hostName(i), fleet.PhaseLive)
		if i%hostBatch == hostBatch-1 {
			s.Run(gossip.TickInterval)
		}
	}
	s.Run(warmUp)
	return s
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func (s *site) seeds() []string {
	return []string{s.Nodes[0].Address, s.Nodes[1].Address, s.Nodes[2].Address}
}

func (s *site) event(n *gossiptest.Node, e gossip.Event) {
	switch e := e.(type) {
	case gossip.ConfigurationInForce:
		s.inForceAt[n] = s.Now
	case gossip.HostStateChanged:
		if e.State.Phase == fleet.PhaseLeaving {
			s.leavingAt[n] = s.Now
		}
	}
}

func (s *site) platformAnswers(n *gossiptest.Node) {
	s.Step(n, func(m *gossip.StateMachine, now time.Time, _ *rand.Rand) gossip.Output { return m.ObservePlatform(now) })
}

// accept makes a new configuration known through a node.
func (s *site) accept(n *gossiptest.Node) {
	s.generation++
	s.take(n)
}

func (s *site) take(n *gossiptest.Node) {
	text := s.texts[int(s.generation)%len(s.texts)]
	s.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.ObserveConfiguration(now, rnd, s.generation, text)
	})
}

func (s *site) notice(n *gossiptest.Node, host string, phase fleet.Phase) {
	s.Step(n, func(m *gossip.StateMachine, now time.Time, rnd *rand.Rand) gossip.Output {
		return m.ObserveHostState(now, rnd, fleet.HostState{Host: host, Instance: "a", Phase: phase})
	})
}

func (s *site) restart(n *gossiptest.Node) {
	s.Stop(n)
	delete(s.inForceAt, n)
	s.Start(n, s.seeds())
}

func (s *site) relays() []*gossiptest.Node {
	var out []*gossiptest.Node
	for _, n := range s.Nodes {
		if n.Up && n.StateMachine.IsRelay(objectstore.KindConfiguration) {
			out = append(out, n)
		}
	}
	return out
}

// every schedules a call at a steady rate, for as long as the site runs.
func (s *site) every(perDay float64, call func(i int)) {
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

// steady is what one node uses under the planned rates of changes.
type steady struct {
	nodes int
	// bytesPerSecond is of encoded messages, sent and received.
	bytesPerSecond float64
	// requestsPerSecond counts requests sent and received.
	requestsPerSecond float64
	// core is without HTTP.
	core   float64
	memory float64
	// startBytes and startTime are what one more start of a node takes until it is ready.
	startBytes float64
	startTime  time.Duration
}

func measureSteady(nodes int, window time.Duration, texts [][]byte) steady {
	before := heapBytes()
	s := newSite(nodes, planHosts, true, texts)
	out := steady{nodes: nodes, memory: (heapBytes() - before) / float64(nodes)}
	s.every(planChanges, func(i int) { s.accept(s.Nodes[i%nodes]) })
	s.every(planHostChanges, func(i int) {
		s.notice(s.Nodes[i%nodes], hostName(i/2), fleet.PhaseLeaving+fleet.Phase(i%2))
	})
	// A restarted node reads the configuration from its peers.
	s.every(planRestarts, func(i int) { s.restart(s.Nodes[(3+i)%nodes]) })
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

// measureStart restarts a node that then has only its seeds to ask.
func (s *site) measureStart(n *gossiptest.Node) (bytes float64, took time.Duration) {
	const step = 10 * time.Millisecond
	before, start := n.Sent+n.Received, s.Now
	s.restart(n)
	for !n.StateMachine.Ready() && s.Now.Sub(start) < time.Minute {
		s.Run(step)
	}
	return float64(n.Sent + n.Received - before), s.Now.Sub(start)
}

// measureMemory returns the heap of a node against the number of hosts.
func measureMemory() Line {
	var points []Point
	for _, hosts := range []int{12, 100, 400, planHosts} {
		before := heapBytes()
		s := newSite(slopeNodes, hosts, false, [][]byte{[]byte("one")})
		points = append(points, Point{float64(hosts), (heapBytes() - before) / slopeNodes})
		runtime.KeepAlive(s)
	}
	return Fit("heap of member and spread", "B", "hosts", points)
}

func (s *site) totals() (bytes, requests int64) {
	for _, n := range s.Nodes {
		bytes += n.Sent + n.Received
		requests += n.Requests
	}
	return bytes, requests
}
