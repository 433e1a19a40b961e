package balancer

import (
	"time"
)

// Room is the room of a fleet: of its endpoints that may be sent requests, and what requests of all hosts take of it.
type Room struct {
	Endpoints int
	// Slots and InFlight are numbers of requests.
	Slots, InFlight int
	// PromptTokensPerSecond is how many prompt tokens the endpoints compute, and PendingTokens those that they have
	// yet to; zero for plain services.
	PromptTokensPerSecond float64
	PendingTokens         int
	// CacheTokens is the KV memory, and MemoryTokens what of it requests need; zero if it is not known.
	CacheTokens, MemoryTokens int
}

// freshReport is the age up to which the number of requests that an endpoint has reported counts.
const freshReport = 300 * time.Millisecond

// Room returns the room of a fleet.
func (t *Table) Room(now time.Time, fleetName string) Room {
	p := t.pool(fleetName)
	p.mu.Lock()
	defer p.mu.Unlock()
	var r Room
	for _, e := range p.ordered {
		if e.known.Leaving || e.ejected(now) || !e.signals.Verdict(now).Allowed {
			continue
		}
		r.add(now, e)
	}
	return r
}

const (
	// maxCountedFullness bounds what one endpoint adds, relative to its room, so that one at which much waits, or that
	// states a senseless number, does not make the fleet look full.
	maxCountedFullness = 3
	// maxCountedBacklog is the time for which an endpoint that counts with it has prompts to compute.
	maxCountedBacklog = 1500 * time.Millisecond
)

func (r *Room) add(now time.Time, e *endpoint) {
	l := e.load(now, ScopeAll)
	inFlight := l.inFlight
	if now.Sub(e.reportedAt) <= freshReport {
		// Requests on their way to or from the endpoint take no slot.
		inFlight = e.reportedRequests
	}
	r.Endpoints++
	r.Slots += e.known.Slots
	r.InFlight += min(inFlight, maxCountedFullness*e.known.Slots)
	if !e.model {
		return
	}
	rate := prefillTokensPerMilli * millisPerSecond / max(e.factor(now), 1)
	r.PromptTokensPerSecond += rate
	r.PendingTokens += min(l.pendingTokens, int(rate*maxCountedBacklog.Seconds()))
	r.CacheTokens += e.cacheTokens
	r.MemoryTokens += min(l.memoryTokens, maxCountedFullness*e.cacheTokens)
}
