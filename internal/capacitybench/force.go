package capacitybench

import (
	"slices"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip/gossiptest"
)

const (
	// scenarioTime is how long a scenario is watched.
	scenarioTime = 60 * time.Second
	watchLatency = 10 * time.Millisecond
	// reclaimableShare of the nodes restart at once in the mass restart.
	reclaimableShare = 0.43
	scenarioLoss     = 0.01
)

// spreadTime is how long a change took to reach the nodes; unreached counts those
// that it did not reach.
type spreadTime struct {
	scenario  string
	p50, p100 time.Duration
	unreached int
	// bytes is what one node sent and received until the end of the scenario.
	bytes float64
}

// scenario does something harmful right after a configuration is accepted and tells
// which nodes are expected to get it.
type scenario struct {
	name string
	// throughStore says that only the platform has the configuration at first.
	throughStore bool
	harm         func(s *site) func(*gossiptest.Node) bool
}

func everyNode(*gossiptest.Node) bool { return true }

func scenarios() []scenario {
	return []scenario{
		{"calm", true, func(*site) func(*gossiptest.Node) bool { return everyNode }},
		{"dead relay", true, func(s *site) func(*gossiptest.Node) bool {
			dead := s.relays()[0]
			s.Stop(dead)
			return func(n *gossiptest.Node) bool { return n != dead }
		}},
		{"data centre cut, platform down after acceptance", false, func(s *site) func(*gossiptest.Node) bool {
			cut := centreName(planDataCentres - 1)
			for i := range planDataCentres {
				s.Partition(cut, centreName(i), true)
			}
			return func(n *gossiptest.Node) bool { return n.DataCentre != cut }
		}},
		{"platform down after acceptance", false, func(*site) func(*gossiptest.Node) bool { return everyNode }},
		{"mass restart, platform down after acceptance", false, func(s *site) func(*gossiptest.Node) bool {
			// The first nodes are the seeds and the one that accepted.
			count := int(reclaimableShare * float64(len(s.Nodes)))
			for _, n := range s.Nodes[len(s.Nodes)-count:] {
				s.restart(n)
			}
			return everyNode
		}},
	}
}

func measureForce(nodes int) []spreadTime {
	texts := [][]byte{[]byte("one"), []byte("two")}
	var out []spreadTime
	for _, sc := range scenarios() {
		s := newSite(nodes, 0, false, texts)
		s.Faults.Loss = scenarioLoss
		clear(s.inForceAt)
		start := s.Now
		expected := sc.harm(s)
		if sc.throughStore {
			s.generation++
			for _, relay := range s.relays() {
				s.After(watchLatency, func() { s.take(relay) })
			}
		} else {
			s.accept(s.Nodes[0])
		}
		s.Run(scenarioTime)
		out = append(out, s.timesSince(sc.name, start, s.inForceAt, expected))
	}
	return out
}

// measureLeaving times the notice that one host leaves, and of a data centre's hosts.
func measureLeaving(nodes int) []spreadTime {
	var out []spreadTime
	for _, hosts := range []int{1, int(reclaimableShare * planHosts)} {
		s := newSite(nodes, 0, true, [][]byte{[]byte("one")})
		s.Faults.Loss = scenarioLoss
		start := s.Now
		before, _ := s.totals()
		for i := range hosts {
			s.notice(s.Nodes[i%nodes], hostName(i), fleet.PhaseLeaving)
		}
		s.Run(scenarioTime)
		name := "one host leaves"
		if hosts > 1 {
			name = "43 in 100 hosts leave at once, last one known"
		}
		for _, n := range s.Nodes {
			if len(n.StateMachine.HostStates()) < hosts {
				delete(s.leavingAt, n)
			}
		}
		t := s.timesSince(name, start, s.leavingAt, everyNode)
		after, _ := s.totals()
		t.bytes = float64(after-before) / float64(nodes)
		out = append(out, t)
	}
	return out
}

func (s *site) timesSince(name string, start time.Time, at map[*gossiptest.Node]time.Time, expected func(*gossiptest.Node) bool) spreadTime {
	out := spreadTime{scenario: name}
	var times []time.Duration
	for _, n := range s.Nodes {
		if !expected(n) {
			continue
		}
		if at[n].IsZero() {
			out.unreached++
			continue
		}
		times = append(times, at[n].Sub(start))
	}
	slices.Sort(times)
	if len(times) > 0 {
		out.p50 = times[len(times)/2]
		out.p100 = times[len(times)-1]
	}
	return out
}
