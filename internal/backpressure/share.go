package backpressure

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseSenders is the number of hosts that send to an endpoint with the lowest rate limit, and sendersPerRate
	// how many more do for each request a second. Few hosts keep a limit better, because each may have one
	// request ahead of its rate; more of them serve more callers.
	baseSenders    = 2
	sendersPerRate = 2
	// maxSenders bounds the number of senders; it is more than the hosts of any fleet.
	maxSenders = 1 << 16
)

// Hosts are the hosts that share the endpoints' rate limits. They form groups, each of which knows its
// members; a host without followers is a group of its own.
type Hosts struct {
	// Self is this host, and Group its group.
	Self  string
	Group string
	// Groups are the names of all groups, and Members the hosts of this one.
	Groups  []string
	Members []string
	// Sizes are the numbers of hosts of the groups; one for those that are missing.
	Sizes map[string]int
	// Pooling are the members, or the groups of one host, that pool the slots of endpoints with a rejection limit.
	Pooling []string
}

// Share returns the part of an endpoint's rate limit that is this host's, from 0 to 1. Only few hosts send to
// an endpoint with a low limit. All hosts with the same view agree on them.
func (h *Hosts) Share(endpoint string, perSecond float64) float64 {
	if h == nil || len(h.Groups) == 0 || len(h.Members) == 0 {
		return 0
	}
	senders := baseSenders + int(min(sendersPerRate*perSecond, maxSenders))
	groups := min(senders, len(h.Groups))
	members := min(max(senders/groups, 1), len(h.Members))
	if !isFirst(endpoint, h.Group, h.Groups, groups) || !isFirst(endpoint, h.Self, h.Members, members) {
		return 0
	}
	return 1 / float64(groups*members)
}

// isFirst reports whether a name is among the first n in the rendezvous order of an endpoint.
func isFirst(endpoint, name string, names []string, n int) bool {
	if n >= len(names) {
		return slices.Contains(names, name)
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(endpoint + "\x00" + name) }
	own, before, listed := weight(name), 0, false
	for _, other := range names {
		switch {
		case other == name:
			listed = true
		case cmp.Or(cmp.Compare(own, weight(other)), cmp.Compare(other, name)) < 0:
			before++
		}
	}
	return listed && before < n
}
