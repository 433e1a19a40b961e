package balancer

import (
	"time"

	"rattanchute/internal/backpressure"
)

const (
	// brittleRetention is how long after an endpoint said so its fleet is known to be brittle.
	brittleRetention = 3 * time.Second
	// turnedAwayPause and maxTurnedAwayPause bound the time after a request was turned away before the host sends
	// the endpoint as many again.
	turnedAwayPause    = time.Second
	maxTurnedAwayPause = 10 * time.Second
)

// brittleness is what is known of a fleet whose endpoints fall over when they have to turn many requests away.
type brittleness struct {
	// statedAt is when an endpoint of the fleet said so to this host or to one that follows it, and reportedAt when
	// another host reported it.
	statedAt   time.Time
	reportedAt time.Time
	tolerated  int
}

func (b *brittleness) known(now time.Time) bool {
	return now.Sub(b.statedAt) < brittleRetention || now.Sub(b.reportedAt) < brittleRetention
}

// BrittleReport is the message of a host that endpoints of a fleet are brittle.
type BrittleReport struct {
	Fleet     string `json:"fleet"`
	Tolerated int    `json:"tolerated"`
	AgeMillis int64  `json:"age_ms"`
}

// Brittle reports whether the endpoints of a fleet are brittle.
func (t *Table) Brittle(now time.Time, fleetName string) bool {
	p := t.pool(fleetName)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.known(now)
}

// BrittleReports returns what to tell other hosts: of this host's group, or of all hosts.
func (t *Table) BrittleReports(now time.Time, scope Scope) []BrittleReport {
	var reports []BrittleReport
	for name, p := range t.all() {
		p.mu.Lock()
		b := p.brittle
		p.mu.Unlock()
		at := b.statedAt
		if scope == ScopeAll && b.reportedAt.After(at) {
			at = b.reportedAt
		}
		if age := now.Sub(at); age < brittleRetention {
			reports = append(reports, BrittleReport{Fleet: name, Tolerated: b.tolerated, AgeMillis: age.Milliseconds()})
		}
	}
	return reports
}

// ApplyBrittleReports records the reports of another host; follower tells whether it follows this one.
func (t *Table) ApplyBrittleReports(now time.Time, reports []BrittleReport, follower bool) {
	for _, r := range reports {
		if r.AgeMillis < 0 || r.AgeMillis >= brittleRetention.Milliseconds() {
			continue
		}
		at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		p := t.pool(r.Fleet)
		p.mu.Lock()
		known := &p.brittle.reportedAt
		if follower {
			known = &p.brittle.statedAt
		}
		if at.After(*known) {
			*known, p.brittle.tolerated = at, r.Tolerated
		}
		p.mu.Unlock()
	}
}

// ObserveBrittleness records what a response of the endpoint says about how many requests it can turn away.
func (a *Attempt) ObserveBrittleness(now time.Time, b backpressure.Brittleness) {
	if !b.Stated {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.brittle.statedAt, a.pool.brittle.tolerated = now, b.Tolerated
}

// shareOf returns how many requests this host may have in progress at an endpoint of a brittle fleet: its part of
// the slots, and fewer for a while after the endpoint has turned one away.
func (p *pool) shareOf(now time.Time, e *endpoint, hosts *backpressure.Hosts) int {
	share := 0
	if hosts != nil {
		share = hosts.Slots(e.known.ID, e.known.Slots, hosts.Self)
	}
	if now.Before(e.reducedUntil) {
		share = min(share, e.reducedTo)
	}
	return share
}

// hasPlace reports whether this host may send one more request to an endpoint of the pool. All may be sent to a
// fleet that is not brittle.
func (p *pool) hasPlace(now time.Time, e *endpoint, hosts *backpressure.Hosts) bool {
	return !p.brittle.known(now) || e.inFlight < p.shareOf(now, e, hosts)
}

// turnedAway records that an endpoint of a brittle fleet has turned a request of this host away, which is no
// longer in progress. Hosts take turns in finding out whether there is room again, so that all together do so
// less often than the endpoint tolerates.
func (p *pool) turnedAway(now time.Time, e *endpoint, hosts *backpressure.Hosts) {
	if !p.brittle.known(now) {
		return
	}
	n := 1
	if hosts != nil {
		n = len(hosts.Groups) * len(hosts.Members)
	}
	pause := min(turnedAwayPause*time.Duration(max(1, 2*n/max(p.brittle.tolerated, 1))), maxTurnedAwayPause)
	e.reducedTo, e.reducedUntil = max(e.inFlight-1, 0), now.Add(pause)
}

// Full reports whether the fleet is brittle and this host may send it no request now. share is this host's part of
// the slots of the fleet's endpoints.
func (t *Table) Full(now time.Time, fleetName string) (share int, full bool) {
	p, hosts := t.pool(fleetName), t.signals.Hosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full(now, hosts)
}

func (p *pool) full(now time.Time, hosts *backpressure.Hosts) (share int, full bool) {
	if !p.brittle.known(now) {
		return 0, false
	}
	for _, e := range p.ordered {
		if e.known.Leaving {
			continue
		}
		if p.hasPlace(now, e, hosts) && !e.ejected(now) {
			return 0, false
		}
		full = true
		if hosts != nil {
			share += hosts.Slots(e.known.ID, e.known.Slots, hosts.Self)
		}
	}
	return share, full
}

// FullFor reports whether the fleet is Full, and if so, after which time a caller that is refused now should return.
// Each caller is given a later time, as the endpoints find room.
func (t *Table) FullFor(now time.Time, fleetName string) (returnIn time.Duration, full bool) {
	p, hosts := t.pool(fleetName), t.signals.Hosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	share, full := p.full(now, hosts)
	if !full {
		return 0, false
	}
	return p.returns.Next(now, now, p.meanDuration/time.Duration(max(share, 1))), true
}

// SlotOwners returns the hosts, as far as this one can tell, that have a part of the slots of a fleet's endpoints.
func (t *Table) SlotOwners(fleetName string) []string {
	p, hosts := t.pool(fleetName), t.signals.Hosts()
	if hosts == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var owners []string
	for _, host := range hosts.Owners() {
		for _, e := range p.ordered {
			if !e.known.Leaving && hosts.Slots(e.known.ID, e.known.Slots, host) > 0 {
				owners = append(owners, host)
				break
			}
		}
	}
	return owners
}
