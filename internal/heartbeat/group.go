package heartbeat

import (
	"cmp"
	"slices"
	"time"
)

// Leader is the host that this one follows; its own name if none.
func (t *Table) Leader(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	return t.lead
}

// IsLeader reports whether this host follows nobody: it then reads and watches the store for
// its followers.
func (t *Table) IsLeader(now time.Time) bool {
	return t.Leader(now) == t.self.Name
}

// refreshLocked decides whom to follow.
func (t *Table) refreshLocked(now time.Time) {
	t.direct = t.knownLocked(now) <= maxDirect
	t.lead, t.nextTo = t.self.Name, nil
	if t.direct {
		t.pursued = pursuit{}
		return
	}
	k := t.pursueLocked(now, t.candidatesLocked(now, t.self.DataCentre))
	switch {
	case k == nil:
	case t.holding:
		t.nextTo = k
	default:
		t.lead = k.Name
	}
}

// candidatesLocked are the hosts of a data centre in their order; of the own one, those
// before this host.
func (t *Table) candidatesLocked(now time.Time, dataCentre string) []*known {
	var out []*known
	for _, k := range t.peers {
		if k.DataCentre != dataCentre || k.leaving || t.forgotten(now, k) {
			continue
		}
		if dataCentre == t.self.DataCentre && !k.before(&t.self) {
			continue
		}
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *known) int {
		if a.before(&b.Peer) {
			return -1
		}
		return 1
	})
	return out
}

func (t *Table) forgotten(now time.Time, k *known) bool {
	last := k.addedAt
	for _, at := range []time.Time{k.heardAt, k.listedAt} {
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last) >= forgetAfter
}

// pursueLocked returns the first candidate that answers, or that has not had the time to.
func (t *Table) pursueLocked(now time.Time, candidates []*known) *known {
	for _, k := range candidates {
		if k.failed {
			continue
		}
		if t.pursued.name != k.Name {
			t.pursued = pursuit{name: k.Name, since: now}
		}
		if k.heard(now) || now.Sub(t.pursued.since) < heardIntervals*minInterval {
			return k
		}
		k.failed = true
	}
	t.pursued = pursuit{}
	return nil
}

func (t *Table) followersLocked(now time.Time) []*known {
	var out []*known
	for _, k := range t.peers {
		if k.lead == t.self.Name && k.heard(now) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *known) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Recipients are the addresses to send to.
type Recipients struct {
	Reports []string
	Digests []string
}

// Recipients are those of the next messages. Peers that are silent are still tried.
func (t *Table) Recipients(now time.Time) Recipients {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Recipients
	for _, k := range t.followersLocked(now) {
		r.Digests = append(r.Digests, k.Address)
	}
	t.refreshLocked(now)
	to := map[string]bool{}
	switch lead := t.peers[t.lead]; {
	case lead != nil:
		to[lead.Address] = true
		t.probeLocked(now, lead, to)
	case t.direct:
		t.allLocked(now, to)
	default:
		t.equalsLocked(now, to)
		t.probeLocked(now, nil, to)
	}
	if now.Sub(t.startedAt) < announceFor {
		t.neighboursLocked(to)
	}
	for address := range to {
		r.Reports = append(r.Reports, address)
	}
	slices.Sort(r.Reports)
	return r
}

// neighboursLocked are all of the own data centre: they may not know this host yet.
func (t *Table) neighboursLocked(to map[string]bool) {
	for _, k := range t.peers {
		if !k.leaving && k.DataCentre == t.self.DataCentre {
			to[k.Address] = true
		}
	}
}

func (t *Table) allLocked(now time.Time, to map[string]bool) {
	for _, k := range t.peers {
		if !k.leaving && !t.forgotten(now, k) {
			to[k.Address] = true
		}
	}
}

// equalsLocked finds the leads of the other groups: those heard, the hosts that may lead
// where none is heard, hosts of the own data centre that try whether this one answers, and the
// host that this one would follow but for the lease.
func (t *Table) equalsLocked(now time.Time, to map[string]bool) {
	led := map[string]bool{t.self.DataCentre: true}
	if t.nextTo != nil {
		to[t.nextTo.Address] = true
	}
	for _, k := range t.peers {
		if !k.heard(now) || k.lead == t.self.Name {
			continue
		}
		trying := k.DataCentre == t.self.DataCentre && t.self.before(&k.Peer)
		if k.lead != k.Name && !trying {
			continue
		}
		to[k.Address] = true
		led[k.DataCentre] = true
	}
	for _, dataCentre := range t.dataCentresLocked() {
		if led[dataCentre] {
			continue
		}
		t.seekLocked(t.candidatesLocked(now, dataCentre), to)
	}
}

// firstSought is how many hosts of a data centre are sought as its lead at once: the lead is
// the first in order that lives.
const firstSought = 2

// seekLocked adds the hosts that are likely to lead a data centre, and each other in turn.
func (t *Table) seekLocked(candidates []*known, to map[string]bool) {
	for _, k := range candidates[:min(firstSought, len(candidates))] {
		to[k.Address] = true
	}
	if len(candidates) > 0 {
		t.probed++
		to[candidates[t.probed%len(candidates)].Address] = true
	}
}

func (t *Table) dataCentresLocked() []string {
	seen := map[string]bool{}
	var out []string
	for _, k := range t.peers {
		if !seen[k.DataCentre] {
			seen[k.DataCentre] = true
			out = append(out, k.DataCentre)
		}
	}
	return out
}

// probeLocked adds one of the hosts of the own data centre that should lead but did not
// answer, each in turn.
func (t *Table) probeLocked(now time.Time, lead *known, to map[string]bool) {
	var silent []*known
	for _, k := range t.candidatesLocked(now, t.self.DataCentre) {
		if k.failed && (lead == nil || k.before(&lead.Peer)) {
			silent = append(silent, k)
		}
	}
	if len(silent) == 0 {
		return
	}
	t.probed++
	to[silent[t.probed%len(silent)].Address] = true
}

// Members names this host's group, and those of it that have lately left in order.
func (t *Table) Members(now time.Time) (members, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members = []string{t.self.Name}
	for _, k := range t.followersLocked(now) {
		members = append(members, k.Name)
	}
	for _, k := range t.peers {
		if k.leaving && k.lead == t.self.Name && now.Sub(k.leftAt) < goneFor {
			gone = append(gone, k.Name)
		}
	}
	slices.Sort(gone)
	return members, gone
}

// Acks say which reports of the followers were taken in, and which had arrived when the
// configuration and the endpoints were last known to be the newest.
func (t *Table) Acks(now, configuration, endpoints time.Time) map[string]Ack {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Ack{}
	for _, k := range t.followersLocked(now) {
		out[k.Name] = Ack{
			Included:      k.number,
			Configuration: k.numberAt(configuration),
			Endpoints:     k.numberAt(endpoints),
		}
	}
	return out
}

// numberAt is the newest report that had arrived by an instant.
func (k *known) numberAt(at time.Time) uint64 {
	for _, r := range slices.Backward(k.receipts) {
		if !r.at.After(at) {
			return r.number
		}
	}
	return 0
}

// GroupHoldsLease reports whether this host or a follower holds the duties' lease.
func (t *Table) GroupHoldsLease(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	holds := t.holding
	for _, k := range t.followersLocked(now) {
		holds = holds || k.report.HoldsLease
	}
	return holds
}

// IsFullMesh reports whether so few hosts are known that each reports to all.
func (t *Table) IsFullMesh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	return t.direct
}

// messagesToAll is how many messages carry what a follower spent to the followers of others.
const messagesToAll = 3

// PropagationDelay is how long it takes until all hosts know what one has said; zero if each reports to all.
func (t *Table) PropagationDelay(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	if t.direct {
		return 0
	}
	return messagesToAll * max(minInterval, t.told.interval())
}

func (d *Digest) interval() time.Duration { return time.Duration(d.IntervalMillis) * time.Millisecond }
