// Package quota limits the tokens that each organisation spends across all entry hosts. Each host
// keeps, for each organisation, a token bucket with the quota of all hosts together, and takes out
// of it both its own spending and the spending that its peers report. The level of a bucket is the
// number of tokens in it. A follower adopts the levels of its leader's buckets. The package does no
// I/O.
package quota

import (
	"math"
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// maxWait bounds the retry delay of a refused caller.
	maxWait = 30 * time.Second
	// usableToleranceShare is the part of the tolerance that may be used: by requests beyond the
	// quota, and by the known overdraft, which arises when hosts spend the same tokens before they
	// receive each other's reports. The rest of the tolerance covers overdraft not yet known here.
	usableToleranceShare = 0.6
	// demandWindow is the time constant with which the tokens requested of this host are averaged.
	demandWindow = time.Second
	// restartBurstShare is the part of the burst that an account starts with after a restart. The
	// account is not empty, because callers whose connections were lost retry at once.
	restartBurstShare = 0.5
)

// Tolerance is how far an organisation may exceed its quota in each window: by a ratio of the quota
// (Overrun) plus a number of tokens (Slack). Requests within the tolerance count as requests within
// the quota.
type Tolerance struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// usablePerWindow is the usable part of the tolerance in tokens per window; zero without a window
// or a quota.
func (t Tolerance) usablePerWindow(q fleet.TokenQuota) float64 {
	if t.Window <= 0 || q.PerSecond <= 0 {
		return 0
	}
	return usableToleranceShare * (t.Overrun*(q.PerSecond*t.Window.Seconds()+q.Burst) + t.Slack)
}

// Ledger holds this host's token buckets of all organisations. It is safe for concurrent use.
type Ledger struct {
	tolerance Tolerance
	// restarted is set on a host that was restarted, until the first call of Configure has created
	// its accounts.
	restarted bool
	mu        sync.Mutex
	accounts  map[string]*account
	// spentBySource holds the spending, by organisation, in the latest report of each run of a peer.
	spentBySource map[SpendingSource]map[string]float64
	// reachableShare is the share of the refill that this host may use. The rest may be spent by
	// peers whose reports it does not receive.
	reachableShare float64
	// otherHosts is the number of other hosts. Their spending becomes known here after
	// propagationDelay.
	otherHosts       int
	propagationDelay time.Duration
}

// SpendingSource identifies one run of a peer.
type SpendingSource struct {
	Name        string
	Incarnation int64
}

// account is the token bucket of one organisation.
type account struct {
	quota fleet.TokenQuota
	// usableTolerance is the usable part of the tolerance, in tokens per window of the given
	// length.
	usableTolerance float64
	window          time.Duration
	// overdraft is the most by which the bucket was overdrawn recently. It decays at least as fast
	// as with the time constant window.
	overdraft float64
	// demand is the number of tokens that callers requested of this host. It decays with the time
	// constant demandWindow.
	demand   float64
	demandAt time.Time
	// level is the number of tokens in the bucket, as of updatedAt. It is negative while the bucket
	// is overdrawn.
	level     float64
	updatedAt time.Time
	// spent is what this host has spent since the account was created, less refunds, plus what its
	// followers have spent since the first report that this host received from each.
	spent float64
	// awaitingReport is set until a peer's report or the leader's levels tell what was spent before
	// the account was created.
	awaitingReport bool
}

// NewLedger returns a ledger that limits nothing until Configure is called. On a host that was
// restarted, the first accounts start with only a part of their burst, because possibly no running
// host knows what was spent before.
func NewLedger(tolerance Tolerance, restarted bool) *Ledger {
	return &Ledger{tolerance: tolerance, restarted: restarted, accounts: map[string]*account{}, spentBySource: map[SpendingSource]map[string]float64{}, reachableShare: 1}
}

// Configure applies the quotas of the organisations. Accounts of organisations that were there
// before keep their spending; those of organisations that are no longer listed are dropped.
func (l *Ledger) Configure(now time.Time, organisations []fleet.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*account, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		a := l.accounts[o.Name]
		if a == nil {
			a = &account{level: o.Quota.Burst, updatedAt: now, awaitingReport: true}
			if l.restarted {
				a.level *= restartBurstShare
			}
		}
		a.refill(now, l.reachableShare)
		a.quota = o.Quota
		a.usableTolerance, a.window = l.tolerance.usablePerWindow(o.Quota), l.tolerance.Window
		a.level = min(a.level, o.Quota.Burst)
		next[o.Name] = a
	}
	l.accounts = next
	l.restarted = false
}

// SetPropagationDelay sets the number of other hosts and the delay after which this host knows
// their spending; zero if the delay is negligible.
func (l *Ledger) SetPropagationDelay(otherHosts int, propagationDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherHosts, l.propagationDelay = otherHosts, propagationDelay
}

// SetReachableShare sets the share of all hosts, including this one, whose reports this host
// receives: 0 to 1.
func (l *Ledger) SetReachableShare(now time.Time, reachableShare float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.refill(now, l.reachableShare)
	}
	l.reachableShare = reachableShare
}

// refill adds the tokens for the time since the latest update, up to the burst, and lets the
// overdraft decay.
func (a *account) refill(now time.Time, reachableShare float64) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	if a.window > 0 {
		a.overdraft *= max(1-float64(elapsed)/float64(a.window), 0)
	}
	a.overdraft = max(a.overdraft, -a.level)
	a.level = min(a.level+elapsed.Seconds()*a.refillRate()*reachableShare, a.quota.Burst)
	a.updatedAt = now
}

// refillRate is the refill in tokens per second, for all hosts together: that of the quota plus
// what is left of the usable tolerance after the overdraft.
func (a *account) refillRate() float64 {
	if a.window <= 0 {
		return a.quota.PerSecond
	}
	return a.quota.PerSecond + max(a.usableTolerance-a.overdraft, 0)/a.window.Seconds()
}

// Decision is the result of Take and what it was based on.
type Decision struct {
	OK bool
	// Wait is the delay after which a refused caller should retry; zero if the request is admitted.
	Wait time.Duration
	// Level is the number of tokens before the request, and PerSecond the refill that this host may
	// use. Both are zero for an organisation without a quota.
	Level     float64
	PerSecond float64
}

// Take spends tokens if the organisation has enough left, and otherwise returns the delay, at most
// maxWait, after which the caller should retry. An organisation that is unknown or has no quota is
// not limited. A request may exceed the burst: a full bucket is enough for it, since otherwise it
// would never be admitted.
//
// After a recent overdraft, hosts that see the same few tokens could each spend them before they
// receive each other's reports. If the demand that is expected on all hosts until the reports
// arrive exceeds the remaining tokens, each host then admits a request only with a probability: the
// ratio of the tokens to that demand. rnd is the random number that decides.
func (l *Ledger) Take(now time.Time, rnd uint64, organisation string, tokens float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[organisation]
	if a == nil || a.quota.PerSecond <= 0 {
		return Decision{OK: true}
	}
	a.refill(now, l.reachableShare)
	a.recordDemand(now, tokens)
	d := Decision{Level: a.level, PerSecond: a.refillRate() * l.reachableShare}
	need := min(tokens, a.quota.Burst)
	if unreportedDemand := l.unreportedDemand(a); a.overdraft > 0 && a.level < unreportedDemand && float64(rnd>>11)/(1<<53)*unreportedDemand > a.level {
		need = max(need, a.level+tokens)
	}
	if a.level < need {
		seconds := (need - a.level) / (a.refillRate() * max(l.reachableShare, minReachableShare))
		d.Wait = min(time.Duration(seconds*float64(time.Second)), maxWait)
		return d
	}
	a.level -= tokens
	a.spent += tokens
	d.OK = true
	return d
}

// unreportedDemand is the number of tokens that callers are expected to request of all hosts before
// the hosts receive each other's reports, if the load on each host is the same.
func (l *Ledger) unreportedDemand(a *account) float64 {
	return a.demand / demandWindow.Seconds() * l.propagationDelay.Seconds() * float64(l.otherHosts+1)
}

// recordDemand adds a request to the measured demand, whether it is admitted or not.
func (a *account) recordDemand(now time.Time, tokens float64) {
	a.demand = a.demand*math.Exp(-now.Sub(a.demandAt).Seconds()/demandWindow.Seconds()) + tokens
	a.demandAt = now
}

// minReachableShare is the least share of the refill from which a retry delay is computed. It keeps
// the delay finite.
const minReachableShare = 0.05

// Refund returns tokens to the bucket, up to the burst, for a request that has not run.
func (l *Ledger) Refund(organisation string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[organisation]
	if a == nil || a.quota.PerSecond <= 0 {
		return
	}
	a.level = min(a.level+tokens, a.quota.Burst)
	a.spent -= tokens
}
