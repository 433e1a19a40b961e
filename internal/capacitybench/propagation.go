package capacitybench

import (
	"slices"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip/gossiptest"
)

const (
	// scenarioDuration is the time that a scenario is simulated.
	scenarioDuration = 60 * time.Second
	watchLatency     = 10 * time.Millisecond
	// reclaimableShare is the share of the nodes that restart at the same time in the mass restart,
	// and of the hosts that leave at the same time.
	reclaimableShare    = 0.43
	scenarioMessageLoss = 0.01
)

// propagationTime is the time that a change took to reach half and all of the nodes that it reached.
// unreached is the number of expected nodes that it did not reach.
type propagationTime struct {
	scenario  string
	p50, p100 time.Duration
	unreached int
	// bytes is the mean of what a node sent and received during the scenario; zero if that was not
	// measured.
	bytes float64
}

// scenario is a fault, or none, that occurs when a configuration is accepted, before it spreads.
type scenario struct {
	name string
	// fromStore indicates that only the platform has the configuration at first; otherwise only
	// one node has it, and the platform gives it to no other.
	fromStore bool
	// inject injects the fault and returns which nodes are expected to receive the configuration.
	inject func(s *virtualCluster) func(*gossiptest.Node) bool
}

func everyNode(*gossiptest.Node) bool { return true }

func scenarios() []scenario {
	return []scenario{
		{"calm", true, func(*virtualCluster) func(*gossiptest.Node) bool { return everyNode }},
		{"dead relay", true, func(s *virtualCluster) func(*gossiptest.Node) bool {
			dead := s.relays()[0]
			s.Stop(dead)
			return func(n *gossiptest.Node) bool { return n != dead }
		}},
		{"data centre cut, platform down after acceptance", false, func(s *virtualCluster) func(*gossiptest.Node) bool {
			cut := dataCentreName(planDataCentres - 1)
			for i := range planDataCentres {
				s.Partition(cut, dataCentreName(i), true)
			}
			return func(n *gossiptest.Node) bool { return n.DataCentre != cut }
		}},
		{"platform down after acceptance", false, func(*virtualCluster) func(*gossiptest.Node) bool { return everyNode }},
		{"mass restart, platform down after acceptance", false, func(s *virtualCluster) func(*gossiptest.Node) bool {
			// The first nodes are the seeds and the node that accepted the configuration.
			count := int(reclaimableShare * float64(len(s.Nodes)))
			for _, n := range s.Nodes[len(s.Nodes)-count:] {
				s.restart(n)
			}
			return everyNode
		}},
	}
}

func measureApplyTimes(nodes int) []propagationTime {
	texts := [][]byte{[]byte("one"), []byte("two")}
	var out []propagationTime
	for _, sc := range scenarios() {
		s := newVirtualCluster(nodes, 0, false, texts)
		s.Faults.Loss = scenarioMessageLoss
		clear(s.appliedAt)
		start := s.Now
		expected := sc.inject(s)
		if sc.fromStore {
			s.generation++
			for _, relay := range s.relays() {
				s.After(watchLatency, func() { s.observeConfiguration(relay) })
			}
		} else {
			s.acceptConfiguration(s.Nodes[0])
		}
		s.Run(scenarioDuration)
		out = append(out, s.propagationTimes(sc.name, start, s.appliedAt, expected))
	}
	return out
}

// measureLeavingTimes measures how long it takes until the nodes know that hosts are leaving: one
// host, or the share reclaimableShare of all hosts at the same time. The time of a node is when it
// learns of the last of these hosts.
func measureLeavingTimes(nodes int) []propagationTime {
	var out []propagationTime
	for _, hosts := range []int{1, int(reclaimableShare * planHosts)} {
		s := newVirtualCluster(nodes, 0, true, [][]byte{[]byte("one")})
		s.Faults.Loss = scenarioMessageLoss
		start := s.Now
		before, _ := s.totals()
		for i := range hosts {
			s.reportHostState(s.Nodes[i%nodes], hostName(i), fleet.PhaseLeaving)
		}
		s.Run(scenarioDuration)
		name := "one host leaves"
		if hosts > 1 {
			name = "43 in 100 hosts leave at once, last one known"
		}
		for _, n := range s.Nodes {
			if len(n.StateMachine.HostStates()) < hosts {
				delete(s.leavingAt, n)
			}
		}
		t := s.propagationTimes(name, start, s.leavingAt, everyNode)
		after, _ := s.totals()
		t.bytes = float64(after-before) / float64(nodes)
		out = append(out, t)
	}
	return out
}

func (s *virtualCluster) propagationTimes(name string, start time.Time, at map[*gossiptest.Node]time.Time, expected func(*gossiptest.Node) bool) propagationTime {
	out := propagationTime{scenario: name}
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
