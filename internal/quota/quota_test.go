package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

var epoch = time.Unix(1000, 0)

func organisations(rate, burst float64) []fleet.Organisation {
	return []fleet.Organisation{{Name: "o", Quota: fleet.TokenQuota{PerSecond: rate, Burst: burst}}}
}

func TestBucketRefusesWithATimeToComeBack(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{}, false)
	l.Configure(epoch, organisations(100, 200))
	is.True(l.Take(epoch, 0, "o", 150).OK)
	refused := l.Take(epoch, 0, "o", 150)
	is.Equal(refused, Decision{Wait: time.Second, Level: 50, PerSecond: 100})
	is.True(l.Take(epoch.Add(refused.Wait), 0, "o", 150).OK)
}

const (
	fleetRate   = 1000.0
	fleetBurst  = 1000.0
	fleetTick   = 50 * time.Millisecond
	fleetWindow = 8 * time.Second
	// reportTicks is the number of ticks between two reports of a host.
	reportTicks = 5
)

// fleetOf plays hosts that each spend as much as they may, and that report by the given
// function, and returns what was spent in each tick.
func fleetOf(hosts int, cost float64, tolerance Tolerance, report func(now time.Time, ledgers []*Ledger, from int)) []float64 {
	ledgers := make([]*Ledger, hosts)
	for i := range ledgers {
		ledgers[i] = NewLedger(tolerance, false)
		ledgers[i].Configure(epoch, organisations(fleetRate, fleetBurst))
	}
	rnd := rand.New(rand.NewPCG(1, uint64(hosts)))
	var spent []float64
	for tick := range 400 {
		now := epoch.Add(time.Duration(tick) * fleetTick)
		total := 0.0
		for i, l := range ledgers {
			if l.Take(now, rnd.Uint64(), "o", cost).OK {
				total += cost
			}
			if tick%reportTicks == i%reportTicks {
				report(now, ledgers, i)
			}
		}
		spent = append(spent, total)
	}
	return spent
}

// checkWindows: in no window is more spent than the quota and what the lag of reports lets by.
func checkWindows(t *rapid.T, spent []float64, lag float64) {
	allowed := fleetRate*fleetWindow.Seconds() + fleetBurst + lag
	for at := 0; at+int(fleetWindow/fleetTick) < len(spent); at++ {
		sum := 0.0
		for _, n := range spent[at : at+int(fleetWindow/fleetTick)] {
			sum += n
		}
		if sum > allowed {
			t.Fatalf("%v spent from tick %d, %v allowed", sum, at, allowed)
		}
	}
}

// TestHostsThatHearEachOtherKeepTheQuotaTogether plays hosts under any load, with reports
// between them.
func TestHostsThatHearEachOtherKeepTheQuotaTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		cost := rapid.Float64Range(10, 200).Draw(t, "cost")
		checkWindows(t, fleetOf(hosts, cost, Tolerance{}, share), reportTicks*float64(hosts)*cost)
	})
}

func share(now time.Time, ledgers []*Ledger, from int) {
	for i, l := range ledgers {
		if i != from {
			l.OnReport(now, spender(from), ledgers[from].SpendingReport(now), false)
		}
	}
}

func spender(i int) SpendingSource { return SpendingSource{Name: string(rune('a' + i))} }

// TestGroupsKeepTheQuotaTogether: followers report to their lead, leads to each other, and
// followers take over what their lead has left. What is spent is known by then everywhere
// within three reports.
func TestGroupsKeepTheQuotaTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(6, 20).Draw(t, "hosts")
		leads := rapid.IntRange(1, 3).Draw(t, "leads")
		cost := rapid.Float64Range(10, 100).Draw(t, "cost")
		spent := fleetOf(hosts, cost, Tolerance{}, func(now time.Time, ledgers []*Ledger, from int) {
			shareInGroups(now, ledgers, from, leads)
		})
		checkWindows(t, spent, 3*reportTicks*float64(hosts)*cost)
		total := 0.0
		for _, n := range spent {
			total += n
		}
		seconds := float64(len(spent)) * fleetTick.Seconds()
		if total < 0.8*fleetRate*seconds {
			t.Fatalf("%v spent of %v", total, fleetRate*seconds)
		}
	})
}

// TestToleranceCoversWhatIsNotHeardYet: however much more than its quota an organisation asks
// for, requests that the tolerance lets by and those of hosts that had not heard of each other
// together stay within it.
func TestToleranceCoversWhatIsNotHeardYet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(6, 20).Draw(t, "hosts")
		leads := rapid.IntRange(1, 3).Draw(t, "leads")
		cost := rapid.Float64Range(10, 100).Draw(t, "cost")
		lag := 3 * reportTicks * float64(hosts) * cost
		tolerance := Tolerance{Window: fleetWindow, Slack: 0.7 * lag}
		spent := fleetOf(hosts, cost, tolerance, func(now time.Time, ledgers []*Ledger, from int) {
			shareInGroups(now, ledgers, from, leads)
		})
		checkWindows(t, spent, tolerance.Slack)
	})
}

// TestManyHostsDoNotAllTakeTheLastTokens plays a tenant at many times its quota on as many hosts as
// the larger deployment has: what hosts spend unheard stays within a tolerance that covers a
// tenth of what they ask for in that time.
func TestManyHostsDoNotAllTakeTheLastTokens(t *testing.T) {
	const hosts, leads, cost = 76, 5, 20.0
	asked := hosts * cost / fleetTick.Seconds()
	lag := messagesToAllTicks * fleetTick
	report := func(now time.Time, ledgers []*Ledger, from int) {
		for _, l := range ledgers {
			l.SetPropagationDelay(hosts-1, lag)
		}
		shareInGroups(now, ledgers, from, leads)
	}
	spent := fleetOf(hosts, cost, Tolerance{}, report)
	most, total := 0.0, 0.0
	for at := 40; at+int(fleetWindow/fleetTick) < len(spent); at++ { // after the burst
		sum := 0.0
		for _, n := range spent[at : at+int(fleetWindow/fleetTick)] {
			sum += n
		}
		most = max(most, sum)
	}
	for _, n := range spent {
		total += n
	}
	t.Logf("most in a window %v, quota %v; unheard %v; in all %v", most, fleetRate*fleetWindow.Seconds(), asked*lag.Seconds(), total)
	if over := most - fleetRate*fleetWindow.Seconds() - fleetBurst; over > 0.1*asked*lag.Seconds() {
		t.Errorf("%v beyond the quota, %v are asked for unheard", over, asked*lag.Seconds())
	}
	if total < 0.6*fleetRate*20 {
		t.Errorf("only %v spent", total)
	}
}

const messagesToAllTicks = 3 * reportTicks

// TestRestartedHostsBeginWithPartOfTheirTokens: if all hosts were lost, what was spent before
// is not known; a peer that lives tells what is left.
func TestRestartedHostsBeginWithPartOfTheirTokens(t *testing.T) {
	is := is.New(t)
	restarted, living := NewLedger(Tolerance{}, true), NewLedger(Tolerance{}, false)
	restarted.Configure(epoch, organisations(100, 1000))
	living.Configure(epoch, organisations(100, 1000))
	is.True(!restarted.Take(epoch, 0, "o", 1000*restartShare+1).OK)
	is.True(restarted.Take(epoch, 0, "o", 1000*restartShare).OK)
	restarted.OnReport(epoch, spender(1), living.SpendingReport(epoch), false)
	is.True(restarted.Take(epoch, 0, "o", 1000-1000*restartShare).OK)
	is.True(!restarted.Take(epoch, 0, "o", 100).OK)
}

// shareInGroups has a host report; the first hosts lead, and host i follows host i%leads.
func shareInGroups(now time.Time, ledgers []*Ledger, from, leads int) {
	s := ledgers[from].SpendingReport(now)
	if from >= leads {
		lead := ledgers[from%leads]
		lead.OnReport(now, spender(from), s, true)
		ledgers[from].Adopt(now, lead.SpendingReport(now).Level, s.Spent)
		return
	}
	for i := range leads {
		if i != from {
			ledgers[i].OnReport(now, spender(from), s, false)
		}
	}
}

// TestHostHeardAgainIsNotChargedTwice: what it spent meanwhile came through its lead.
func TestHostHeardAgainIsNotChargedTwice(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{}, false)
	l.Configure(epoch, organisations(10, 1000))
	said := func(spent float64) SpendingReport {
		return SpendingReport{Spent: map[string]float64{"o": spent}, Level: map[string]float64{"o": 1000}}
	}
	l.OnReport(epoch, spender(1), said(0), false)
	l.Forget(spender(1).Name)
	l.OnReport(epoch, spender(1), said(900), false)
	is.True(l.Take(epoch, 0, "o", 1000).OK)
}

// TestRestartedHostTakesOverWhatIsLeft: a host does not begin with a full bucket if a peer
// knows that it is empty.
func TestRestartedHostTakesOverWhatIsLeft(t *testing.T) {
	is := is.New(t)
	old, fresh := NewLedger(Tolerance{}, false), NewLedger(Tolerance{}, false)
	old.Configure(epoch, organisations(10, 1000))
	fresh.Configure(epoch, organisations(10, 1000))
	is.True(old.Take(epoch, 0, "o", 1000).OK)
	fresh.OnReport(epoch, SpendingSource{Name: "old"}, old.SpendingReport(epoch), false)
	is.True(!fresh.Take(epoch, 0, "o", 100).OK)
}

// TestToleranceIsSpentInPart: an organisation that asks for a little more than its quota, in
// all windows, is not refused for what the platform tolerates; and never gets more than that.
func TestToleranceIsSpentInPart(t *testing.T) {
	is := is.New(t)
	tolerance := Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 800}
	quota := organisations(1000, 1000)
	spend := func(perTick float64) (refused int, most float64) {
		l := NewLedger(tolerance, false)
		l.Configure(epoch, quota)
		var spent []float64
		for tick := range 1000 {
			d := l.Take(epoch.Add(time.Duration(tick)*fleetTick), 0, "o", perTick)
			spent = append(spent, 0)
			if d.OK {
				spent[tick] = perTick
			} else {
				refused++
			}
		}
		ticks := int(tolerance.Window / fleetTick)
		for at := range len(spent) - ticks {
			sum := 0.0
			for _, n := range spent[at : at+ticks] {
				sum += n
			}
			most = max(most, sum)
		}
		return refused, most
	}
	refused, _ := spend(1070 * fleetTick.Seconds())
	is.Equal(refused, 0)
	_, most := spend(5000 * fleetTick.Seconds())
	allowed := 1000*8 + 1000 + toleranceShare*(0.1*(1000*8+1000)+800)
	is.True(most <= allowed)
}

// TestHostThatHearsNobodyUsesItsPart: halves that do not hear each other spend no more
// than the whole.
func TestHostThatHearsNobodyUsesItsPart(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{}, false)
	l.Configure(epoch, organisations(100, 100))
	is.True(l.Take(epoch, 0, "o", 100).OK)
	l.SetReachableShare(epoch, 0.25)
	is.True(!l.Take(epoch.Add(time.Second), 0, "o", 50).OK)
	is.True(l.Take(epoch.Add(2*time.Second), 0, "o", 50).OK)
}
