package balancer

import (
	"slices"
	"time"

	"rattanchute/internal/backpressure"
)

// partSettleTime is how long a host waits before it uses more slots of an endpoint than before, while hosts pool them:
// the others may not have heard yet that theirs are fewer.
const partSettleTime = time.Second

// slotPart is this host's part of an endpoint's slots. It is worked out again when the hosts have changed or were set
// again, since that looks at all of them.
type slotPart struct {
	hosts *backpressure.Hosts
	slots int
	// senders is the number of hosts that send to the endpoint.
	senders int
	pooled  bool
	// atMost bounds the part until settledAt.
	atMost    int
	settledAt time.Time
}

// slotPool is what a pool of endpoints with a rejection limit knows of the hosts.
type slotPool struct {
	// hosts are those for which the rest was worked out.
	hosts *backpressure.Hosts
	// pooled is set if this host pools its slots with others, because there are few for each.
	pooled bool
	// owners are the hosts with a part of the slots.
	owners []string
}

// poolsSlots reports whether this host pools its slots with others.
func (p *pool) poolsSlots(hosts *backpressure.Hosts) bool {
	if p.slotPool.hosts != hosts {
		p.slotPool = slotPool{hosts: hosts, pooled: hosts.Pools() && hosts.Few(p.usableSlots())}
	}
	return p.slotPool.pooled
}

// usableSlots returns the slots of the endpoints that are not leaving.
func (p *pool) usableSlots() int {
	slots := 0
	for _, e := range p.ordered {
		if !e.known.Leaving {
			slots += e.known.Slots
		}
	}
	return slots
}

// ownSlots returns this host's part of the endpoint's slots.
func (p *pool) ownSlots(now time.Time, e *endpoint, hosts *backpressure.Hosts) int {
	if hosts == nil {
		return 0
	}
	if e.part.hosts != hosts {
		e.part = e.part.next(now, p.partOf(e, hosts))
	}
	if now.Before(e.part.settledAt) {
		return min(e.part.slots, e.part.atMost)
	}
	return e.part.slots
}

func (p *pool) partOf(e *endpoint, hosts *backpressure.Hosts) slotPart {
	part := slotPart{hosts: hosts, pooled: p.poolsSlots(hosts), senders: len(hosts.Groups) * len(hosts.Members)}
	if !part.pooled {
		part.slots = hosts.Slots(e.known.ID, e.known.Slots, hosts.Self)
		return part
	}
	parts := hosts.PoolParts(e.known.ID, e.known.Slots)
	part.senders = len(hosts.Groups) * max(len(parts), 1)
	if len(hosts.Members) == 1 {
		part.senders = len(parts)
	}
	if i := slices.IndexFunc(parts, func(x backpressure.Part) bool { return x.Host == hosts.Self }); i >= 0 {
		part.slots = parts[i].Slots
	}
	return part
}

// next returns the part that follows this one. While hosts pool slots, or have just ceased to, a part that grows does
// so after partSettleTime.
func (s slotPart) next(now time.Time, n slotPart) slotPart {
	first := s == slotPart{}
	if first || !s.pooled && !n.pooled {
		return n
	}
	used := s.slots
	if now.Before(s.settledAt) {
		used = min(used, s.atMost)
	}
	switch {
	case n.slots <= used:
	case n.slots == s.slots && n.pooled == s.pooled:
		n.atMost, n.settledAt = s.atMost, s.settledAt
	default:
		n.atMost, n.settledAt = used, now.Add(partSettleTime)
	}
	return n
}

// senders returns the number of hosts that send to an endpoint with a rejection limit.
func (p *pool) senders(e *endpoint, hosts *backpressure.Hosts) int {
	if hosts == nil || e.part.senders == 0 {
		return 1
	}
	return e.part.senders
}

// AsksPeers reports whether the fleet has a rejection limit and is full for this host, while its peers may have free
// slots: its part is small, or they pool theirs.
func (t *Table) AsksPeers(now time.Time, fleetName string) bool {
	p, hosts := t.pool(fleetName), t.signals.Hosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	share, full := p.full(now, hosts)
	return full && (share < backpressure.MinPart || p.poolsSlots(hosts))
}

// SlotOwners returns the hosts, as far as this one can tell, that have a part of the slots of a fleet's endpoints.
func (t *Table) SlotOwners(fleetName string) []string {
	p, hosts := t.pool(fleetName), t.signals.Hosts()
	if hosts == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled := p.poolsSlots(hosts)
	if p.slotPool.owners == nil {
		p.slotPool.owners = p.findOwners(hosts, pooled)
	}
	return p.slotPool.owners
}

func (p *pool) findOwners(hosts *backpressure.Hosts, pooled bool) []string {
	owners := []string{}
	add := func(host string) {
		if !slices.Contains(owners, host) {
			owners = append(owners, host)
		}
	}
	for _, e := range p.ordered {
		if e.known.Leaving {
			continue
		}
		if pooled {
			for _, part := range hosts.PoolParts(e.known.ID, e.known.Slots) {
				add(part.Host)
			}
		}
		for _, host := range hosts.Owners() {
			if (!pooled || !slices.Contains(hosts.Pooling, host)) && hosts.Slots(e.known.ID, e.known.Slots, host) > 0 {
				add(host)
			}
		}
	}
	return owners
}
