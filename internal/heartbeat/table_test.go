package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func report(name string, incarnation int64, number uint64) *Report {
	return &Report{Peer: Peer{Name: name, Incarnation: incarnation, Address: name}, Number: number}
}

func TestOldAndDoubledReportsAreNoNews(t *testing.T) {
	is := is.New(t)
	table := NewTable(epoch, Peer{Name: "self"})
	heard := func(r *Report) bool { return table.HandleReport(epoch, r).New }
	is.True(heard(report("a", 5, 2)))
	is.True(!heard(report("a", 5, 2)))
	is.True(!heard(report("a", 5, 1)))
	is.True(!heard(report("a", 4, 9))) // of an earlier run
	is.True(heard(report("a", 6, 1)))
	is.True(!heard(report("self", 1, 1)))
}

// TestSilentPeersCountForAWhile: they may still spend their part.
func TestSilentPeersCountForAWhile(t *testing.T) {
	is := is.New(t)
	table := NewTable(epoch, Peer{Name: "self"})
	table.Add(epoch, Peer{Name: "a", Incarnation: 1})
	table.HandleReport(epoch, report("b", 1, 1))
	heard, all := table.HostCounts(epoch)
	is.Equal(heard, 2)
	is.Equal(all, 3)
	later := epoch.Add(heardIntervals * minInterval)
	heard, all = table.HostCounts(later)
	is.Equal(heard, 1)
	is.Equal(all, 3)
	is.Equal(len(table.NewlyLost(later)), 1)
	is.Equal(len(table.NewlyLost(later)), 0) // told once
	_, all = table.HostCounts(epoch.Add(knownFor))
	is.Equal(all, 1)

	leaving := report("b", 1, 2)
	leaving.Leaving = true
	table.HandleReport(epoch, leaving)
	_, all = table.HostCounts(epoch)
	is.Equal(all, 2) // one that leaves spends nothing more
}

func TestFewHostsReportToAll(t *testing.T) {
	is := is.New(t)
	w := newWorld(9, 4)
	w.play(2 * time.Second)
	for _, h := range w.hosts {
		heard, _ := h.table.HostCounts(w.now)
		is.Equal(heard, 9)
		is.True(h.table.IsLeader(w.now))
		is.Equal(len(h.table.Recipients(w.now).Reports), 8)
	}
}

// TestManyHostsFollowOneInEachDataCentre: and send far less than each to all.
func TestManyHostsFollowOneInEachDataCentre(t *testing.T) {
	is := is.New(t)
	w := newWorld(87, 4)
	w.play(4 * time.Second)
	is.Equal(w.gathered(), "")
	is.Equal(len(w.leads()), 4)
	for _, leads := range w.leads() {
		is.True(leads[0].MemoryBytes > 1<<28) // the large ones lead
	}
	w.sent = 0
	w.play(time.Second)
	is.True(w.sent < 87*4*3) // a report and a digest a host four times a second
	for _, h := range w.hosts {
		is.Equal(h.table.LeaseHolderHeard(w.now), !h.table.IsLeader(w.now)) // the leads see to the duties
	}
}

// TestLeadThatDiesIsReplaced within the time that a few lost messages take.
func TestLeadThatDiesIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(60, 3)
	w.play(4 * time.Second)
	for died, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		w.leads()[dataCentre][0].dead = true
		w.play(heardIntervals*minInterval + time.Second)
		is.Equal(w.gathered(), "")
		is.Equal(len(w.living()), 59-died)
	}
}

// TestAllLeadsThatDieAreReplaced: the next ones find each other.
func TestAllLeadsThatDieAreReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(60, 3)
	w.play(4 * time.Second)
	for _, leads := range w.leads() {
		leads[0].dead = true
	}
	w.play(2*heardIntervals*minInterval + time.Second)
	is.Equal(w.gathered(), "")
}

// TestLeadThatLeavesIsReplacedAtOnce: nobody waits for its silence.
func TestLeadThatLeavesIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(60, 3)
	w.play(4 * time.Second)
	lead := w.leads()["dc0"][0]
	to := lead.table.Recipients(w.now)
	goodbye := &Report{Peer: lead.Peer, Number: lead.number + 1, Leader: lead.Name, Leaving: true}
	for _, other := range w.reached(lead, append(to.Reports, to.Digests...)) {
		other.table.HandleReport(w.now, goodbye)
	}
	lead.dead = true
	w.play(minInterval)
	is.Equal(len(w.leads()["dc0"]), 1)
	w.play(3 * minInterval)
	is.Equal(w.gathered(), "")
}

// TestHostBehindACutFindsItsLeadAgain, and nobody counts on it meanwhile.
func TestHostBehindACutFindsItsLeadAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(40, 2)
	w.play(4 * time.Second)
	cut := w.leads()["dc1"][0]
	w.lost = func(from, to *host) bool { return from == cut || to == cut }
	w.play(5 * time.Second)
	heard, all := cut.table.HostCounts(w.now)
	is.Equal(heard, 1)
	is.Equal(all, 40)
	for _, h := range w.hosts {
		if h != cut {
			heard, all = h.table.HostCounts(w.now)
			is.Equal(heard, 39)
			is.Equal(all, 40)
		}
	}
	w.lost = func(*host, *host) bool { return false }
	w.play(5 * time.Second)
	is.Equal(w.gathered(), "")
}

// TestLeaseHolderFollowsNobody: it must hear all hosts, whoever joins.
func TestLeaseHolderFollowsNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(40, 2)
	w.play(4 * time.Second)
	holder := w.hosts[1]
	is.True(!holder.table.IsLeader(w.now))
	holder.table.SetHoldsLease(true)
	w.play(3 * time.Second)
	is.True(holder.table.IsLeader(w.now))
	for _, h := range w.hosts {
		heard, _ := h.table.HostCounts(w.now)
		is.Equal(heard, 40)
		is.True(h == holder || h.table.LeaseHolderHeard(w.now))
	}
}

// TestLeaseHolderMeetsTheNextLead: after the lead beside it is gone, the holder and the next one
// must hear each other, or the duties miss what a whole group counts.
func TestLeaseHolderMeetsTheNextLead(t *testing.T) {
	is := is.New(t)
	for dataCentres := range 3 {
		w := newWorld(40, dataCentres+1)
		w.play(4 * time.Second)
		holder := w.hosts[1]
		is.True(!holder.table.IsLeader(w.now))
		holder.table.SetHoldsLease(true)
		w.play(3 * time.Second)
		for _, h := range w.leads()[holder.DataCentre] {
			if h != holder {
				h.dead = true
			}
		}
		w.play(heardIntervals*40*intervalPerFollower + 2*time.Second)
		for _, h := range w.living() {
			heard, _ := h.table.HostCounts(w.now)
			is.Equal(heard, 39)
		}
	}
}

// TestHostsGatherAfterAnyTrouble kills, cuts and restarts hosts at random: nobody ever follows
// in a circle, and in calm all hear each other again.
func TestHostsGatherAfterAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(13, 40).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "data centres"))
		cuts := map[[2]*host]bool{}
		w.lost = func(from, to *host) bool { return cuts[[2]*host{from, to}] }
		pick := func(what string) *host { return rapid.SampledFrom(w.hosts).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"kill":    func(*rapid.T) { pick("killed").dead = true },
			"restart": func(*rapid.T) { w.start(pick("restarted")) },
			"cut":     func(*rapid.T) { cuts[[2]*host{pick("from"), pick("to")}] = true },
			"isolate": func(*rapid.T) {
				h := pick("isolated")
				for _, other := range w.hosts {
					cuts[[2]*host{h, other}], cuts[[2]*host{other, h}] = true, true
				}
			},
			"heal": func(*rapid.T) { clear(cuts) },
			"wait": func(*rapid.T) { w.play(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tick) },
			"": func(t *rapid.T) {
				for _, h := range w.living() {
					checkNoCircle(t, w, h)
				}
			},
		})
		clear(cuts)
		w.play(knownFor + 5*time.Second)
		if why := w.gathered(); why != "" {
			t.Fatal(why)
		}
	})
}

func checkNoCircle(t *rapid.T, w *world, from *host) {
	byName := map[string]*host{}
	for _, h := range w.hosts {
		byName[h.Name] = h
	}
	at := from
	for range w.hosts {
		next := byName[at.table.Leader(w.now)]
		if next == at || next.dead {
			return
		}
		at = next
	}
	t.Fatalf("%s follows in a circle", from.Name)
}

// TestEchoNamesWhatHadArrived: a report that came after the store was asked proves nothing.
func TestEchoNamesWhatHadArrived(t *testing.T) {
	is := is.New(t)
	w := newWorld(20, 1)
	w.play(4 * time.Second)
	lead := w.leads()["dc0"][0].table
	follower := w.hosts[0]
	if follower.table == lead {
		follower = w.hosts[1]
	}
	first := &Report{Peer: follower.Peer, Number: 1000, Leader: lead.self.Name}
	lead.HandleReport(w.now, first)
	second := *first
	second.Number = 1001
	lead.HandleReport(w.now.Add(time.Second), &second)
	asked := w.now.Add(time.Second / 2)
	echo := lead.Acks(w.now.Add(time.Second), asked, asked.Add(time.Second))[follower.Name]
	is.Equal(echo, Ack{Included: 1001, Configuration: 1000, Endpoints: 1001})
	long := epoch.Add(-time.Minute)
	is.Equal(lead.Acks(w.now.Add(time.Second), long, long)[follower.Name].Configuration, uint64(0))
}
