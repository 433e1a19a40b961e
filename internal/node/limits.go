package node

import (
	"rattanchute/internal/balancer"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/proxy"
)

const (
	// leastMemoryBytes is what the process counts on if its memory limit is lower or not known.
	leastMemoryBytes = 64 << 20
	// bodyMemoryFraction of the memory may be used for request bodies, and mostBodyMemoryFraction if the largest body that
	// the configuration allows needs more.
	bodyMemoryFraction     = 0.15
	mostBodyMemoryFraction = 0.3
	// connMemoryFraction of the memory may be used for connections of callers, each of which takes connBytes beside its
	// read buffer and what the operating system holds of it.
	connMemoryFraction = 0.25
	connBytes          = 24 << 10

	// prefixMemoryFraction of the memory may be used for the prefixes of prompts that endpoints are assumed to have cached.
	prefixMemoryFraction = 0.2

	// reservedFiles of the file descriptors are not for sockets.
	reservedFiles = 200
	// callerFileFraction of the sockets may be connections of callers, and relayFileFraction connections of peers. Of the
	// rest each of both needs one to an endpoint while it has a request, and some are for the store and the peers.
	callerFileFraction = 0.4
	relayFileFraction  = 0.1
	// leastConns is how many connections a listener takes at least.
	leastConns = 16
	// maxProbeConns is how many connections the listeners for readiness and for metrics each take.
	maxProbeConns = 24
)

// memoryBytes returns the memory that the process counts on.
func (s *Settings) memoryBytes() float64 { return float64(max(s.MemoryBytes, leastMemoryBytes)) }

// bodyBudget returns the budget of the process for request bodies.
func (s *Settings) bodyBudget() *bodybudget.Budget {
	memory := s.memoryBytes()
	return bodybudget.New(int64(bodyMemoryFraction*memory), int64(mostBodyMemoryFraction*memory))
}

// maxPrefixes returns how many prefixes of prompts may be assumed to be cached.
func (s *Settings) maxPrefixes() int {
	return int(prefixMemoryFraction * s.memoryBytes() / balancer.CachedPrefixBytes)
}

// maxCallerConns returns how many connections of callers may be open, given the size of a connection's read buffer; zero if
// the descriptors are not limited.
func (s *Settings) maxCallerConns(bufferBytes int) int {
	byFiles := s.sockets(callerFileFraction)
	if byFiles == 0 {
		return 0
	}
	byMemory := int(connMemoryFraction * s.memoryBytes() / float64(bufferBytes+connBytes+proxy.CallerReceiveBytes))
	return max(leastConns, min(byFiles, byMemory))
}

// maxRelayConns returns how many connections of peers that relay requests may be open; zero if the descriptors are not
// limited.
func (s *Settings) maxRelayConns() int { return s.sockets(relayFileFraction) }

// sockets returns a fraction of the sockets that the process may open, at least leastConns; zero if they are not limited.
func (s *Settings) sockets(fraction float64) int {
	if s.MaxFiles <= 0 {
		return 0
	}
	return max(leastConns, int(fraction*float64(s.MaxFiles-reservedFiles)))
}

// registerConns registers the metrics of the connections and of the bodies.
func (n *Node) registerConns() {
	n.registry.MustRegister(n.proxy.Bodies.Collector(), connlimit.Collector(map[string]*connlimit.Table{
		"callers": n.server.Table(), "relays": n.relayServer.Table(), "readiness": n.readyConns, "metrics": n.metricsConns,
	}))
}
