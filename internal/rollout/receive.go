package rollout

import (
	"maps"
	"slices"
	"time"
)

// Apply records the report of a peer, which may be a follower or another leader, and reports whether it has brought
// this host to stop a new version.
func (t *Table) Apply(now time.Time, from string, r *Report, follower bool) (stopped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r == nil {
		return false
	}
	for i := range r.Fleets {
		stopped = t.applyFleet(now, from, &r.Fleets[i], follower) || stopped
	}
	return stopped
}

func (t *Table) applyFleet(now time.Time, from string, r *FleetReport, follower bool) (stopped bool) {
	f := t.sameOrder(r.Fleet, r.Target, r.StartMillis)
	if f == nil {
		return false
	}
	if len(r.Routes) > maxRoutes+1 {
		r.Routes = r.Routes[:maxRoutes+1]
	}
	f.peers[from] = peerReport{at: now, follower: follower, report: *r}
	f.countHeard()
	if f.stopped == "" && r.Stopped != "" && !f.entry.Step().Ended() {
		t.stop(f, r.Stopped, from)
		stopped = true
	}
	stopped = stopped || t.judge(now, f, from)
	f.allHaveStopped = f.allHaveStopped || t.allStopped(now, f)
	t.confirmByPeers(now, f)
	return stopped
}

// countHeard adds up the numbers of responses that peers report.
func (f *fleetState) countHeard() {
	clear(f.heard)
	for _, p := range f.peers {
		for i := range p.report.Routes {
			f.heard[p.report.Routes[i].Route] += p.report.Routes[i].Since.All
		}
	}
}

// confirmByPeers records that no host has switched yet, if all that may be running have reported so. A switch is decided by
// one of them.
func (t *Table) confirmByPeers(now time.Time, f *fleetState) {
	own := t.ownReport(now, f)
	hosts, at := own.Canary, own.AtMillis
	for _, p := range f.peers {
		if p.report.Canary == 0 && now.Sub(p.at) <= followerFreshness {
			return // it has switched, or knows nothing yet
		}
		// A report that was held up states an earlier time than that of its arrival.
		if p.report.Canary > 0 && now.Sub(p.at) <= followerFreshness {
			hosts += p.report.Canary
			at = min(at, p.report.AtMillis)
		}
	}
	if t.hosts == 0 || own.Canary == 0 || hosts < t.hosts {
		return
	}
	age := time.Duration(own.AtMillis-at) * time.Millisecond
	f.peersConfirmedAt = later(f.peersConfirmedAt, now.Add(-age-clockTolerance))
}

// allStopped reports whether all hosts that may be running have stopped.
func (t *Table) allStopped(now time.Time, f *fleetState) bool {
	if f.stopped == "" || t.hosts == 0 {
		return false
	}
	n := 1
	for _, p := range f.peers {
		if now.Sub(p.at) <= followerFreshness {
			n += p.report.StoppedHosts
		}
	}
	return n >= t.hosts
}

// sameOrder returns the state of a fleet if it has the order; nil otherwise.
func (t *Table) sameOrder(fleet, target string, startMillis int64) *fleetState {
	f := t.fleets[fleet]
	if f == nil || f.deleted || f.entry.IsNew() || f.entry.Order.Target != target || f.entry.Record.StartMillis != startMillis {
		return nil
	}
	return f
}

// Forget drops the reports of a host that another one reports for.
func (t *Table) Forget(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.fleets {
		delete(f.peers, peer)
	}
}

// Left records that a host has ended: it no longer counts among the idle ones.
func (t *Table) Left(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.fleets {
		if p, known := f.peers[peer]; known {
			p.report.Idle, p.report.Old, p.report.StoppedHosts = 0, 0, 0
			f.peers[peer] = p
		}
	}
}

// Digest returns what this host tells its followers.
func (t *Table) Digest() *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &Digest{AsOf: t.asOf}
	for _, name := range slices.Sorted(maps.Keys(t.fleets)) {
		f := t.fleets[name]
		if f.deleted {
			continue
		}
		d.Entries = append(d.Entries, f.entry)
		if f.stopped != "" && !f.entry.Step().Ended() {
			d.Stopped = append(d.Stopped, Stop{name, f.entry.Order.Target, f.entry.Record.StartMillis, f.stopped, f.allHaveStopped})
		}
	}
	return d
}

// ApplyDigest records what this host's leader tells. confirmedAt is a time at which that was the newest; zero if there
// is none. It reports whether it has brought this host to stop a new version.
func (t *Table) ApplyDigest(now, confirmedAt time.Time, from string, d *Digest) (stopped bool) {
	if d == nil {
		return false
	}
	t.Replace(now, confirmedAt, d.Entries, d.AsOf)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range d.Stopped {
		f := t.sameOrder(s.Fleet, s.Target, s.StartMillis)
		if f == nil || f.entry.Step().Ended() {
			continue
		}
		f.allHaveStopped = f.allHaveStopped || s.All
		if f.stopped == "" {
			t.stop(f, s.Reason, from)
			stopped = true
		}
	}
	return stopped
}
