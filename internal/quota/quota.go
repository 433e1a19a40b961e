// Package quota limits the tokens that each organisation spends over all entry hosts. Each
// host keeps a token bucket for the whole fleet and takes off it what it spends itself and
// what its peers say they have spent. A host that follows another one takes over what that
// one has left in its bucket. It does no I/O.
package quota

import (
	"math"
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// maxWait bounds the time that a refused caller is told to wait.
	maxWait = 30 * time.Second
	// toleranceShare of the tolerance is spent on requests, or was by hosts that had not heard
	// of each other yet; the rest covers what is not known of the latter.
	toleranceShare = 0.6
	// askedFor is the time over which it is measured what a host's callers ask for.
	askedFor = time.Second
	// restartShare of a burst is left to an account after a restart until a peer tells more:
	// callers whose connections were lost come back at once.
	restartShare = 0.5
)

// Tolerance is by how much an organisation may exceed its quota in each window: by a part of
// it and by an amount. A request within it is as good as one within the quota.
type Tolerance struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// perWindow is the part of the tolerance that may be used, in tokens a window.
func (t Tolerance) perWindow(q fleet.TokenQuota) float64 {
	if t.Window <= 0 || q.PerSecond <= 0 {
		return 0
	}
	return toleranceShare * (t.Overrun*(q.PerSecond*t.Window.Seconds()+q.Burst) + t.Slack)
}

// Ledger holds the buckets of all organisations. It may be used by several goroutines.
type Ledger struct {
	tolerance Tolerance
	// restarted is set until the first accounts are made, on a host that was restarted.
	restarted bool
	mu        sync.Mutex
	accounts  map[string]*account
	// spenders are what was heard of each run of a peer.
	spenders map[SpendingSource]map[string]float64
	// part is the share of the refill that this host may count on: peers that it does
	// not hear may be spending theirs.
	part float64
	// others is the number of other hosts that spend unheard for the time lag.
	others int
	lag    time.Duration
}

// SpendingSource is one run of a peer.
type SpendingSource struct {
	Name        string
	Incarnation int64
}

type account struct {
	quota fleet.TokenQuota
	// usable is the tolerance that may be used, in tokens a window of the given length.
	usable float64
	window time.Duration
	// overspent is the most by which the bucket was overdrawn; it fades within a window.
	overspent float64
	// asked is what callers asked of this host, in tokens; it fades within askedFor.
	asked   float64
	askedAt time.Time
	level   float64
	at      time.Time
	// spent counts what this host and its followers have spent since its start.
	spent float64
	// fresh accounts have not heard of what was spent before this host started.
	fresh bool
}

// NewLedger returns a ledger without limits. On a host that was restarted the first accounts
// are not full: nobody may be left who knows what was spent before.
func NewLedger(tolerance Tolerance, restarted bool) *Ledger {
	return &Ledger{tolerance: tolerance, restarted: restarted, accounts: map[string]*account{}, spenders: map[SpendingSource]map[string]float64{}, part: 1}
}

// Configure puts the organisations' quotas in force; what was spent stays spent.
func (l *Ledger) Configure(now time.Time, organisations []fleet.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*account, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		a := l.accounts[o.Name]
		if a == nil {
			a = &account{level: o.Quota.Burst, at: now, fresh: true}
			if l.restarted {
				a.level *= restartShare
			}
		}
		a.refill(now, l.part)
		a.quota = o.Quota
		a.usable, a.window = l.tolerance.perWindow(o.Quota), l.tolerance.Window
		a.level = min(a.level, o.Quota.Burst)
		next[o.Name] = a
	}
	l.accounts = next
	l.restarted = false
}

// SetPropagationDelay tells how many other hosts there are, and after which time this one knows what they
// have spent; zero if that is short.
func (l *Ledger) SetPropagationDelay(others int, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others, l.lag = others, lag
}

// SetReachableShare tells which share of the hosts this one hears, itself included: 0 to 1.
func (l *Ledger) SetReachableShare(now time.Time, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.refill(now, l.part)
	}
	l.part = part
}

func (a *account) refill(now time.Time, part float64) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	if a.window > 0 {
		a.overspent *= max(1-float64(elapsed)/float64(a.window), 0)
	}
	a.overspent = max(a.overspent, -a.level)
	a.level = min(a.level+elapsed.Seconds()*a.rate()*part, a.quota.Burst)
	a.at = now
}

// rate is the refill in tokens a second: the quota's, and what is left of the tolerance after
// what was overspent.
func (a *account) rate() float64 {
	if a.window <= 0 {
		return a.quota.PerSecond
	}
	return a.quota.PerSecond + max(a.usable-a.overspent, 0)/a.window.Seconds()
}

// Decision is the answer to a request for tokens, and what it depended on.
type Decision struct {
	OK bool
	// Wait is when to come back if not.
	Wait time.Duration
	// Level is what was left before, and PerSecond the refill that this host counts on.
	Level     float64
	PerSecond float64
}

// Take spends tokens if the organisation has any left; else it says when to come back.
// A request may be larger than what is left, so that none is too large for ever. Of an
// organisation that has overdrawn its quota of late, many hosts that see the same tokens left
// each take only as many requests as there are tokens for all; the random word draws them.
func (l *Ledger) Take(now time.Time, rnd uint64, organisation string, tokens float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[organisation]
	if a == nil || a.quota.PerSecond <= 0 {
		return Decision{OK: true}
	}
	a.refill(now, l.part)
	a.ask(now, tokens)
	d := Decision{Level: a.level, PerSecond: a.rate() * l.part}
	need := min(tokens, a.quota.Burst)
	if unheard := l.unheard(a); a.overspent > 0 && a.level < unheard && float64(rnd>>11)/(1<<53)*unheard > a.level {
		need = max(need, a.level+tokens)
	}
	if a.level < need {
		seconds := (need - a.level) / (a.rate() * max(l.part, minPart))
		d.Wait = min(time.Duration(seconds*float64(time.Second)), maxWait)
		return d
	}
	a.level -= tokens
	a.spent += tokens
	d.OK = true
	return d
}

// unheard is what the hosts are expected to be asked for before they hear of each other, if all
// are asked alike.
func (l *Ledger) unheard(a *account) float64 {
	return a.asked / askedFor.Seconds() * l.lag.Seconds() * float64(l.others+1)
}

// ask measures what callers ask for.
func (a *account) ask(now time.Time, tokens float64) {
	a.asked = a.asked*math.Exp(-now.Sub(a.askedAt).Seconds()/askedFor.Seconds()) + tokens
	a.askedAt = now
}

// minPart keeps the wait of a refused caller finite.
const minPart = 0.05

// Refund returns tokens that were taken for a request that did not run.
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

// SpendingReport is what one host tells the others.
type SpendingReport struct {
	// Spent is what the host and its followers have spent since its start, by organisation.
	Spent map[string]float64 `json:"spent,omitempty"`
	// Level is what it believes is left.
	Level map[string]float64 `json:"level,omitempty"`
}

// SpendingReport returns this host's.
func (l *Ledger) SpendingReport(now time.Time) SpendingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := SpendingReport{Spent: make(map[string]float64, len(l.accounts)), Level: make(map[string]float64, len(l.accounts))}
	for name, a := range l.accounts {
		if a.quota.PerSecond <= 0 {
			continue
		}
		a.refill(now, l.part)
		s.Spent[name] = a.spent
		s.Level[name] = a.level
	}
	return s
}

// Levels are the tokens that are left, by organisation.
func (l *Ledger) Levels(now time.Time) map[string]float64 { return l.SpendingReport(now).Level }

// OnReport takes off what a peer has spent since it was last heard. Of a run of a peer that
// was not heard before, an account that is not fresh takes off everything. What a follower
// spends counts as spent by this host.
func (l *Ledger) OnReport(now time.Time, from SpendingSource, s SpendingReport, follower bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.spenders[from]
	for name, spent := range s.Spent {
		a := l.accounts[name]
		if a == nil {
			continue
		}
		a.refill(now, l.part)
		if a.fresh {
			a.level = min(s.Level[name], a.quota.Burst) - a.spent
			a.fresh = false
			continue
		}
		if !known {
			// The level of a peer that has long been running holds what it spent.
			a.level = min(a.level, max(s.Level[name], a.level-spent))
			continue
		}
		a.level = min(a.level-(spent-before[name]), a.quota.Burst)
		if follower {
			a.spent += spent - before[name]
		}
	}
	l.spenders[from] = s.Spent
	l.forgetEarlier(from)
}

// Adopt takes over what a lead has left, less what this host has spent since the report
// that the lead has taken in, which said that the given amounts were spent.
func (l *Ledger) Adopt(now time.Time, levels, included map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, level := range levels {
		a := l.accounts[name]
		if a == nil {
			continue
		}
		a.level = min(level-(a.spent-included[name]), a.quota.Burst)
		a.at = now
		a.fresh = false
	}
}

// Forget drops what was heard of a peer that is no longer followed or follows another one:
// if it is heard again, what it spent meanwhile was told by others.
func (l *Ledger) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.spenders {
		if s.Name == name {
			delete(l.spenders, s)
		}
	}
}

// ForgetAll drops what was heard of all peers.
func (l *Ledger) ForgetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.spenders)
}

// forgetEarlier drops what was heard of earlier runs of a peer: they spend no more.
func (l *Ledger) forgetEarlier(from SpendingSource) {
	for other := range l.spenders {
		if other.Name == from.Name && other.Incarnation < from.Incarnation {
			delete(l.spenders, other)
		}
	}
}
