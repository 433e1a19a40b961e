package fairshare

import "time"

// Request is a request to a fleet.
type Request struct {
	Fleet, Route string
	// Organisation is empty for callers without one, which are never refused here.
	Organisation string
	// Rank is the number of more urgent priorities among the routes to the fleet.
	Rank int
	// PromptTokens is the length of the prompt, and OutputTokens the expected length of the answer.
	PromptTokens, OutputTokens int
	// Continues is set if the request goes on with one that was granted before. It is never refused.
	Continues bool
}

// Decision says whether a request is granted.
type Decision struct {
	Admit bool
	// RetryAfter is when the organisation's share lets the caller return; zero for a granted request.
	RetryAfter time.Duration
	// Granted is the part of requests like this one that is granted, and Level the dominant share that an
	// organisation with a weight of one is granted, from 0 to 1.
	Granted, Level float64
	// Limited is set if the organisation demands more than its share. Its requests should not wait for long: see
	// MayWait.
	Limited bool
}

const (
	// minReturn is the least time after which a refused caller is asked to return.
	minReturn = 250 * time.Millisecond
	// returnJitter is the part of that time that is left to chance.
	returnJitter = 0.25
	// maxReturnInterval bounds the time between the returns of two callers.
	maxReturnInterval = time.Second
)

// Decide records the demand of a request and says whether it is granted. The random number is from 0 to 1.
func (t *Table) Decide(now time.Time, random float64, r Request) Decision {
	p, weights := t.pool(r.Fleet)
	if p == nil {
		return Decision{Admit: true}
	}
	rank := clampRank(r.Rank)
	_, known := weights[r.Organisation]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
	m := p.members[r.Organisation]
	if m == nil {
		m = newMember(now, random)
		p.members[r.Organisation] = m
	}
	m.record(now, rank, p.cost(&r))
	d := Decision{Admit: true, Granted: 1, Level: p.level}
	if known && p.short && m.limited && !r.Continues && !p.outdated(now) {
		d.Admit, d.Granted, d.Limited = m.take(rank), m.granted[rank], true
	}
	if d.Admit {
		m.admitted++
		return d
	}
	m.refused++
	d.RetryAfter = m.returnIn(now, random)
	return d
}

func clampRank(rank int) int { return min(max(rank, 0), maxRanks-1) }

// Return takes back a granted request of a limited organisation, which is refused because it would wait, and says when
// its caller should return. The random number is from 0 to 1.
func (t *Table) Return(now time.Time, random float64, fleet, organisation string, rank int) time.Duration {
	p, _ := t.pool(fleet)
	if p == nil {
		return minReturn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[organisation]
	if m == nil {
		return minReturn
	}
	rank = clampRank(rank)
	m.allowance[rank] = min(m.allowance[rank]+1, m.maxAllowance(rank))
	m.admitted--
	m.refused++
	return m.returnIn(now, random)
}

// maxWaitPart is the part of its latency target for which a request of a limited organisation may wait for others.
const maxWaitPart = 0.2

// MayWait reports whether a request of a limited organisation may wait for others for some time. Without a latency
// target it may not wait at all.
func MayWait(wait, latencyTarget time.Duration) bool {
	return float64(wait) <= maxWaitPart*float64(latencyTarget)
}

// returnIn returns when a refused caller should return: one after the other, as requests are granted.
func (m *member) returnIn(now time.Time, random float64) time.Duration {
	interval := maxReturnInterval
	if rate := m.grantedPerSecond(); rate > 1/maxReturnInterval.Seconds() {
		interval = time.Duration(float64(time.Second) / rate)
	}
	wait := m.returns.Next(now, now.Add(minReturn), interval)
	return wait + time.Duration(returnJitter*random*float64(wait))
}
