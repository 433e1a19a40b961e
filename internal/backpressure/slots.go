package backpressure

import "slices"

// Slots returns how many of an endpoint's slots a host may use, so that all hosts together use no more than there
// are. The host is one of this one's group or, if this one is a group of its own, the only one of another. All
// hosts with the same view agree on it.
func (h *Hosts) Slots(endpoint string, slots int, host string) int {
	if h == nil || len(h.Groups) == 0 || len(h.Members) == 0 {
		return 0
	}
	if len(h.Members) == 1 {
		return h.groupSlots(endpoint, slots, host)
	}
	own := h.groupSlots(endpoint, slots, h.Group)
	part, left := own/len(h.Members), own%len(h.Members)
	switch {
	case isFirst(endpoint, host, h.Members, left):
		return part + 1
	case slices.Contains(h.Members, host):
		return part
	}
	return 0
}

// groupSlots returns the part of a group: that of its hosts, rounded down, and one more for the first groups in
// the rendezvous order of the endpoint until none is left.
func (h *Hosts) groupSlots(endpoint string, slots int, group string) int {
	hosts, left := 0, slots
	for _, g := range h.Groups {
		hosts += h.size(g)
	}
	for _, g := range h.Groups {
		left -= slots * h.size(g) / hosts
	}
	if !slices.Contains(h.Groups, group) {
		return 0
	}
	part := slots * h.size(group) / hosts
	if isFirst(endpoint, group, h.Groups, left) {
		part++
	}
	return part
}

// size returns the number of hosts of a group.
func (h *Hosts) size(group string) int { return max(h.Sizes[group], 1) }

// Owners returns the hosts of which Slots knows the part.
func (h *Hosts) Owners() []string {
	if len(h.Members) == 1 {
		return h.Groups
	}
	return h.Members
}

// Hosts returns the hosts that share what endpoints accept; nil before they are known.
func (t *Table) Hosts() *Hosts { return t.hosts.Load() }
