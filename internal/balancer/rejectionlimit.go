package balancer

import (
	"time"

	"rattanchute/internal/backpressure"
)

const (
	// rejectionLimitRetention is how long after an endpoint stated a rejection limit its fleet is known to have one.
	rejectionLimitRetention = 3 * time.Second
	// rejectionPause and maxRejectionPause bound the time after a rejection before the host sends the endpoint as
	// many requests again.
	rejectionPause    = time.Second
	maxRejectionPause = 10 * time.Second
)

// rejectionLimit is what is known of a fleet whose endpoints state a rejection limit.
type rejectionLimit struct {
	// statedAt is when an endpoint of the fleet stated it to this host or to one that follows it, and reportedAt
	// when another host reported it.
	statedAt   time.Time
	reportedAt time.Time
	perSecond  int
}

func (l *rejectionLimit) known(now time.Time) bool {
	return now.Sub(l.statedAt) < rejectionLimitRetention || now.Sub(l.reportedAt) < rejectionLimitRetention
}

// RejectionLimitReport is the message of a host that endpoints of a fleet state a rejection limit.
type RejectionLimitReport struct {
	Fleet     string `json:"fleet"`
	PerSecond int    `json:"per_second"`
	AgeMillis int64  `json:"age_ms"`
}

// HasRejectionLimit reports whether the endpoints of a fleet state a rejection limit.
func (t *Table) HasRejectionLimit(now time.Time, fleetName string) bool {
	p := t.pool(fleetName)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectionLimit.known(now)
}

// RejectionLimitReports returns what to tell other hosts: of this host's group, or of all hosts.
func (t *Table) RejectionLimitReports(now time.Time, scope Scope) []RejectionLimitReport {
	var reports []RejectionLimitReport
	for name, p := range t.all() {
		p.mu.Lock()
		l := p.rejectionLimit
		p.mu.Unlock()
		at := l.statedAt
		if scope == ScopeAll && l.reportedAt.After(at) {
			at = l.reportedAt
		}
		if age := now.Sub(at); age < rejectionLimitRetention {
			reports = append(reports, RejectionLimitReport{Fleet: name, PerSecond: l.perSecond, AgeMillis: age.Milliseconds()})
		}
	}
	return reports
}

// ApplyRejectionLimitReports records the reports of another host; follower tells whether it follows this one.
func (t *Table) ApplyRejectionLimitReports(now time.Time, reports []RejectionLimitReport, follower bool) {
	for _, r := range reports {
		if r.AgeMillis < 0 || r.AgeMillis >= rejectionLimitRetention.Milliseconds() {
			continue
		}
		at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		p := t.pool(r.Fleet)
		p.mu.Lock()
		known := &p.rejectionLimit.reportedAt
		if follower {
			known = &p.rejectionLimit.statedAt
		}
		if at.After(*known) {
			*known, p.rejectionLimit.perSecond = at, r.PerSecond
		}
		p.mu.Unlock()
	}
}

// ObserveRejectionLimit records the rejection limit that a response of the endpoint states.
func (a *Attempt) ObserveRejectionLimit(now time.Time, l backpressure.RejectionLimit) {
	if !l.Stated {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.rejectionLimit.statedAt, a.pool.rejectionLimit.perSecond = now, l.PerSecond
}

// shareOf returns how many requests this host may have in progress at an endpoint of a fleet with a rejection
// limit: its part of the slots, and fewer for a while after a rejection.
func (p *pool) shareOf(now time.Time, e *endpoint, hosts *backpressure.Hosts) int {
	share := p.ownSlots(now, e, hosts)
	if now.Before(e.reducedUntil) {
		share = min(share, e.reducedTo)
	}
	return share
}

// hasPlace reports whether this host may send one more request to an endpoint of the pool. All may be sent to a
// fleet without a rejection limit.
func (p *pool) hasPlace(now time.Time, e *endpoint, hosts *backpressure.Hosts) bool {
	return !p.rejectionLimit.known(now) || e.inFlight < p.shareOf(now, e, hosts)
}

// rejected records that an endpoint of a fleet with a rejection limit has rejected a request of this host, which is
// no longer in progress. Hosts take turns in finding out whether there is room again, so that all together are
// rejected less often than the limit.
func (p *pool) rejected(now time.Time, e *endpoint, hosts *backpressure.Hosts) {
	if !p.rejectionLimit.known(now) {
		return
	}
	n := p.senders(e, hosts)
	pause := min(rejectionPause*time.Duration(max(1, 2*n/max(p.rejectionLimit.perSecond, 1))), maxRejectionPause)
	e.reducedTo, e.reducedUntil = max(e.inFlight-1, 0), now.Add(pause)
}

// full reports whether the fleet has a rejection limit and this host may send it no request now. share is this host's
// part of the slots of the fleet's endpoints.
func (p *pool) full(now time.Time, hosts *backpressure.Hosts) (share int, full bool) {
	if !p.rejectionLimit.known(now) {
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
		share += p.ownSlots(now, e, hosts)
	}
	return share, full
}

// FullFor reports whether the fleet is full for this host, and if so, after which time a caller that is refused now should return.
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
