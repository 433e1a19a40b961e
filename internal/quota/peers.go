package quota

import "time"

// SpendingReport is what one host reports to the others.
type SpendingReport struct {
	// Spent is the running total of what the host has spent in this run, and its followers since
	// their first report to it, by organisation. It starts again from zero for an organisation that
	// was removed from the configuration and added again.
	Spent map[string]float64 `json:"spent,omitempty"`
	// Level is the number of tokens left, as far as the host knows, by organisation.
	Level map[string]float64 `json:"level,omitempty"`
}

// SpendingReport returns the report of this host. Organisations without a quota are left out.
func (l *Ledger) SpendingReport(now time.Time) SpendingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := SpendingReport{Spent: make(map[string]float64, len(l.accounts)), Level: make(map[string]float64, len(l.accounts))}
	for name, a := range l.accounts {
		if a.quota.PerSecond <= 0 {
			continue
		}
		a.refill(now, l.reachableShare)
		s.Spent[name] = a.spent
		s.Level[name] = a.level
	}
	return s
}

// Levels returns the number of tokens left, by organisation. Those without a quota are left out.
func (l *Ledger) Levels(now time.Time) map[string]float64 { return l.SpendingReport(now).Level }

// OnReport subtracts what a peer has spent since its previous report. With the first report of a
// run of a peer, everything that the run has spent is subtracted, but the level does not drop below
// the one that the peer reports, which already includes that spending. An account that still awaits
// its first report adopts the peer's level, less what this host has spent. What a follower has spent
// since its previous report counts as spent by this host.
func (l *Ledger) OnReport(now time.Time, from SpendingSource, s SpendingReport, follower bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.spentBySource[from]
	for name, spent := range s.Spent {
		a := l.accounts[name]
		if a == nil {
			continue
		}
		a.refill(now, l.reachableShare)
		if a.awaitingReport {
			a.level = min(s.Level[name], a.quota.Burst) - a.spent
			a.awaitingReport = false
			continue
		}
		if !known {
			// The reported level of a long-running peer already includes its spending.
			a.level = min(a.level, max(s.Level[name], a.level-spent))
			continue
		}
		a.level = min(a.level-(spent-before[name]), a.quota.Burst)
		if follower {
			a.spent += spent - before[name]
		}
	}
	l.spentBySource[from] = s.Spent
	l.forgetEarlierRuns(from)
}

// Adopt sets the levels to those of the leader, less what this host has spent since the last of its
// reports that the leader's levels include. The argument included holds the Spent of that report.
func (l *Ledger) Adopt(now time.Time, levels, included map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, level := range levels {
		a := l.accounts[name]
		if a == nil {
			continue
		}
		a.level = min(level-(a.spent-included[name]), a.quota.Burst)
		a.updatedAt = now
		a.awaitingReport = false
	}
}

// Forget drops the reports of the peer with the given name, whose spending others report from now
// on, for example because it follows another host. Its next report counts as the first one again.
func (l *Ledger) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.spentBySource {
		if s.Name == name {
			delete(l.spentBySource, s)
		}
	}
}

// ForgetAll drops the reports of all peers. The next report of each counts as the first one again.
func (l *Ledger) ForgetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.spentBySource)
}

// forgetEarlierRuns drops the reports of earlier runs of a peer, because those runs spend no more.
func (l *Ledger) forgetEarlierRuns(from SpendingSource) {
	for other := range l.spentBySource {
		if other.Name == from.Name && other.Incarnation < from.Incarnation {
			delete(l.spentBySource, other)
		}
	}
}
