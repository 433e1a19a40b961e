package rollout

import (
	"maps"
	"slices"
	"time"
)

// Overview is what a host knows of one order.
type Overview struct {
	Entry Entry
	Facts Facts
}

// Overviews returns the orders in force that have not ended, with what this host knows of them. hosts is the number of
// hosts that may be running, and freshness how old a report of a host in touch may be.
func (t *Table) Overviews(now time.Time, hosts int, freshness time.Duration) []Overview {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Overview
	for _, name := range slices.Sorted(maps.Keys(t.fleets)) {
		f := t.fleets[name]
		if f.deleted || f.entry.Step().Ended() {
			continue
		}
		out = append(out, Overview{Entry: f.entry, Facts: t.facts(now, f, hosts, freshness)})
	}
	return out
}

// sinceContact returns the time since the store has answered again; zero while it does not.
func (t *Table) sinceContact(now time.Time) time.Duration {
	if now.Sub(t.confirmedAt) > permitInMesh {
		return 0
	}
	return now.Sub(t.contactAt)
}

func (t *Table) facts(now time.Time, f *fleetState, hosts int, freshness time.Duration) Facts {
	own := t.ownReport(now, f)
	idle := own.Idle
	out := Facts{
		NowMillis: t.clusterTime(now).UnixMilli(), FirstSeenMillis: t.clusterTime(f.heardAt).UnixMilli(),
		Verdict: judge(f.sum(now)), Stopped: f.stopped, SinceStep: now.Sub(f.stepAt),
		SinceContact: t.sinceContact(now),
		Requests:     own.Requests, OldRunning: own.Old, Longest: f.longest,
	}
	for _, p := range f.peers {
		out.Requests += p.report.Requests
		out.Longest = max(out.Longest, time.Duration(p.report.LongestMillis)*time.Millisecond)
		if now.Sub(p.at) <= freshness {
			idle += p.report.Idle
			out.OldRunning += p.report.Old
		}
	}
	out.AllIdle = idle >= hosts
	for i := range f.endpoints {
		e := &f.endpoints[i]
		switch {
		case e.Version == f.rules.target:
			out.TargetSlots += e.Slots
		case f.rules.isOld(e.Version):
			out.OldSlots += e.Slots
		}
	}
	return out
}
