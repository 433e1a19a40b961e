package backpressure

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MinPart is the number of slots that a host with any gets of a pool: with fewer, hosts refuse callers while others
// have free slots.
const MinPart = 4

// Part is the number of an endpoint's slots that are a host's.
type Part struct {
	Host  string
	Slots int
}

// Few reports whether the slots of a fleet's endpoints are fewer than MinPart for each host.
func (h *Hosts) Few(slots int) bool {
	hosts := 0
	for _, g := range h.Groups {
		hosts += h.size(g)
	}
	return slots < MinPart*hosts
}

// PoolParts returns the parts of an endpoint's slots of the hosts that pool theirs, without those that have none:
// together what Slots gives them, dealt to as few of them as get MinPart each. All hosts with the same view agree on
// them. A host that does not pool keeps what Slots says.
func (h *Hosts) PoolParts(endpoint string, slots int) []Part {
	if h == nil || len(h.Groups) == 0 || len(h.Members) == 0 {
		return nil
	}
	pool := h.poolMembers()
	total := h.slotsOfOwners(endpoint, slots)
	for _, host := range h.Owners() {
		if !slices.Contains(pool, host) {
			total -= h.Slots(endpoint, slots, host)
		}
	}
	if total <= 0 || len(pool) == 0 {
		return nil
	}
	holders := min(max(total/MinPart, 1), len(pool))
	parts := make([]Part, holders)
	for i, host := range inOrder(endpoint, pool)[:holders] {
		parts[i] = Part{host, total / holders}
		if i < total%holders {
			parts[i].Slots++
		}
	}
	return parts
}

// slotsOfOwners returns how many of an endpoint's slots the hosts have of which Slots knows the part.
func (h *Hosts) slotsOfOwners(endpoint string, slots int) int {
	if len(h.Members) == 1 {
		return slots
	}
	return h.groupSlots(endpoint, slots, h.Group)
}

// poolMembers returns the hosts that pool their slots with this one's: of its group or, if this one is a group of its
// own, those that are, too.
func (h *Hosts) poolMembers() []string {
	var pool []string
	for _, host := range h.Owners() {
		if slices.Contains(h.Pooling, host) && (len(h.Members) > 1 || h.size(host) == 1) {
			pool = append(pool, host)
		}
	}
	return pool
}

// Pools reports whether this host pools its slots, as far as the others know.
func (h *Hosts) Pools() bool { return h != nil && slices.Contains(h.poolMembers(), h.Self) }

// inOrder returns the names in the rendezvous order of an endpoint.
func inOrder(endpoint string, names []string) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	order := make([]ranked, len(names))
	for i, name := range names {
		order[i] = ranked{name, xxhash.Sum64String(endpoint + "\x00" + name)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	sorted := make([]string, len(order))
	for i, r := range order {
		sorted[i] = r.name
	}
	return sorted
}
