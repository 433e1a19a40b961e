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

func TestRefusalTellsWhenTokensAreAvailable(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{}, false)
	l.Configure(epoch, organisations(100, 200))
	is.True(l.Take(epoch, 0, "o", 150).OK)
	refused := l.Take(epoch, 0, "o", 150)
	is.Equal(refused, Decision{Wait: time.Second, Level: 50, PerSecond: 100})
	is.True(l.Take(epoch.Add(refused.Wait), 0, "o", 150).OK)
}

const (
	quotaPerSecond = 1000.0
	quotaBurst     = 1000.0
	simulationTick = 50 * time.Millisecond
	quotaWindow    = 8 * time.Second
	// reportTicks is the number of ticks between two reports of a host.
	reportTicks = 5
)

// simulateFleet simulates hosts that each try to spend cost tokens in every tick, and that report
// with the given function every reportTicks ticks. It returns what was spent in each tick.
func simulateFleet(hosts int, cost float64, tolerance Tolerance, report func(now time.Time, ledgers []*Ledger, from int)) []float64 {
	ledgers := make([]*Ledger, hosts)
	for i := range ledgers {
		ledgers[i] = NewLedger(tolerance, false)
		ledgers[i].Configure(epoch, organisations(quotaPerSecond, quotaBurst))
	}
	rnd := rand.New(rand.NewPCG(1, uint64(hosts)))
	var spent []float64
	for tick := range 400 {
		now := epoch.Add(time.Duration(tick) * simulationTick)
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

// checkWindows fails the test if in any window more is spent than the quota, the burst and the given
// allowance together.
func checkWindows(t *rapid.T, spent []float64, allowance float64) {
	allowed := quotaPerSecond*quotaWindow.Seconds() + quotaBurst + allowance
	for at := 0; at+int(quotaWindow/simulationTick) < len(spent); at++ {
		sum := 0.0
		for _, n := range spent[at : at+int(quotaWindow/simulationTick)] {
			sum += n
		}
		if sum > allowed {
			t.Fatalf("%v spent from tick %d, %v allowed", sum, at, allowed)
		}
	}
}

// TestHostsThatReportToEachOtherKeepTheQuota simulates hosts that all report to each other, under
// various loads.
func TestHostsThatReportToEachOtherKeepTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		cost := rapid.Float64Range(10, 200).Draw(t, "cost")
		checkWindows(t, simulateFleet(hosts, cost, Tolerance{}, reportToAll), reportTicks*float64(hosts)*cost)
	})
}

func reportToAll(now time.Time, ledgers []*Ledger, from int) {
	for i, l := range ledgers {
		if i != from {
			l.OnReport(now, testSource(from), ledgers[from].SpendingReport(now), false)
		}
	}
}

func testSource(i int) SpendingSource { return SpendingSource{Name: string(rune('a' + i))} }

// TestLeadersAndFollowersKeepTheQuota simulates followers that report to their leader and adopt its
// levels, and leaders that report to each other. Spending is known everywhere after three reports.
// The quota must be kept, and at least 80 % of it must be used.
func TestLeadersAndFollowersKeepTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(6, 20).Draw(t, "hosts")
		leaders := rapid.IntRange(1, 3).Draw(t, "leads")
		cost := rapid.Float64Range(10, 100).Draw(t, "cost")
		spent := simulateFleet(hosts, cost, Tolerance{}, func(now time.Time, ledgers []*Ledger, from int) {
			reportInGroups(now, ledgers, from, leaders)
		})
		checkWindows(t, spent, 3*reportTicks*float64(hosts)*cost)
		total := 0.0
		for _, n := range spent {
			total += n
		}
		seconds := float64(len(spent)) * simulationTick.Seconds()
		if total < 0.8*quotaPerSecond*seconds {
			t.Fatalf("%v spent of %v", total, quotaPerSecond*seconds)
		}
	})
}

// TestToleranceCoversUnreportedSpending checks that, however much an organisation requests beyond
// its quota, the requests admitted because of the tolerance and the spending that hosts have not
// reported to each other yet stay within the tolerance together.
func TestToleranceCoversUnreportedSpending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(6, 20).Draw(t, "hosts")
		leaders := rapid.IntRange(1, 3).Draw(t, "leads")
		cost := rapid.Float64Range(10, 100).Draw(t, "cost")
		unreported := 3 * reportTicks * float64(hosts) * cost
		tolerance := Tolerance{Window: quotaWindow, Slack: 0.7 * unreported}
		spent := simulateFleet(hosts, cost, tolerance, func(now time.Time, ledgers []*Ledger, from int) {
			reportInGroups(now, ledgers, from, leaders)
		})
		checkWindows(t, spent, tolerance.Slack)
	})
}

// TestManyHostsShareTheLastTokens simulates an organisation that requests many times its quota on 76
// hosts, the number in the larger deployment. It guards against all hosts spending the same last
// tokens before they receive each other's reports: what is spent beyond quota and burst may be at
// most a tenth of what is requested in that time. It also guards against refusing too much: at least
// 0.6 of the quota has to be spent.
func TestManyHostsShareTheLastTokens(t *testing.T) {
	const hosts, leaders, cost = 76, 5, 20.0
	demandRate := hosts * cost / simulationTick.Seconds()
	delay := propagationTicks * simulationTick
	report := func(now time.Time, ledgers []*Ledger, from int) {
		for _, l := range ledgers {
			l.SetPropagationDelay(hosts-1, delay)
		}
		reportInGroups(now, ledgers, from, leaders)
	}
	spent := simulateFleet(hosts, cost, Tolerance{}, report)
	highest, total := 0.0, 0.0
	for at := 40; at+int(quotaWindow/simulationTick) < len(spent); at++ { // after the burst
		sum := 0.0
		for _, n := range spent[at : at+int(quotaWindow/simulationTick)] {
			sum += n
		}
		highest = max(highest, sum)
	}
	for _, n := range spent {
		total += n
	}
	t.Logf("maximum per window %v, quota %v; requested before hosts receive each other's reports %v; total %v", highest, quotaPerSecond*quotaWindow.Seconds(), demandRate*delay.Seconds(), total)
	if over := highest - quotaPerSecond*quotaWindow.Seconds() - quotaBurst; over > 0.1*demandRate*delay.Seconds() {
		t.Errorf("%v beyond the quota; %v requested before hosts receive each other's reports", over, demandRate*delay.Seconds())
	}
	if total < 0.6*quotaPerSecond*20 {
		t.Errorf("only %v spent", total)
	}
}

const propagationTicks = 3 * reportTicks

// TestRestartedHostsStartWithPartOfTheBurst checks that a restarted host starts with a part of the
// burst, because possibly no host knows what was spent before, and that it adopts the level that a
// running peer reports.
func TestRestartedHostsStartWithPartOfTheBurst(t *testing.T) {
	is := is.New(t)
	restarted, running := NewLedger(Tolerance{}, true), NewLedger(Tolerance{}, false)
	restarted.Configure(epoch, organisations(100, 1000))
	running.Configure(epoch, organisations(100, 1000))
	is.True(!restarted.Take(epoch, 0, "o", 1000*restartBurstShare+1).OK)
	is.True(restarted.Take(epoch, 0, "o", 1000*restartBurstShare).OK)
	restarted.OnReport(epoch, testSource(1), running.SpendingReport(epoch), false)
	is.True(restarted.Take(epoch, 0, "o", 1000-1000*restartBurstShare).OK)
	is.True(!restarted.Take(epoch, 0, "o", 100).OK)
}

// reportInGroups lets one host report. The first hosts are leaders; host i follows host i%leaders.
func reportInGroups(now time.Time, ledgers []*Ledger, from, leaders int) {
	s := ledgers[from].SpendingReport(now)
	if from >= leaders {
		leader := ledgers[from%leaders]
		leader.OnReport(now, testSource(from), s, true)
		ledgers[from].Adopt(now, leader.SpendingReport(now).Level, s.Spent)
		return
	}
	for i := range leaders {
		if i != from {
			ledgers[i].OnReport(now, testSource(from), s, false)
		}
	}
}

// TestForgottenHostIsNotChargedTwice guards against subtracting the spending of a forgotten host
// twice when it reports again: its leader has reported the spending in the meantime.
func TestForgottenHostIsNotChargedTwice(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{}, false)
	l.Configure(epoch, organisations(10, 1000))
	reportOf := func(spent float64) SpendingReport {
		return SpendingReport{Spent: map[string]float64{"o": spent}, Level: map[string]float64{"o": 1000}}
	}
	l.OnReport(epoch, testSource(1), reportOf(0), false)
	l.Forget(testSource(1).Name)
	l.OnReport(epoch, testSource(1), reportOf(900), false)
	is.True(l.Take(epoch, 0, "o", 1000).OK)
}

// TestNewHostAdoptsLevelOfPeer checks that a new host does not spend a full bucket if a peer knows
// that the bucket is empty.
func TestNewHostAdoptsLevelOfPeer(t *testing.T) {
	is := is.New(t)
	running, started := NewLedger(Tolerance{}, false), NewLedger(Tolerance{}, false)
	running.Configure(epoch, organisations(10, 1000))
	started.Configure(epoch, organisations(10, 1000))
	is.True(running.Take(epoch, 0, "o", 1000).OK)
	started.OnReport(epoch, SpendingSource{Name: "old"}, running.SpendingReport(epoch), false)
	is.True(!started.Take(epoch, 0, "o", 100).OK)
}

// TestOverrunWithinToleranceIsNotRefused checks that an organisation that exceeds its quota a
// little in every window is not refused while it stays within the usable tolerance, and that it
// gets no more than that in any window, however much it requests.
func TestOverrunWithinToleranceIsNotRefused(t *testing.T) {
	is := is.New(t)
	tolerance := Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 800}
	quota := organisations(1000, 1000)
	spend := func(perTick float64) (refused int, highest float64) {
		l := NewLedger(tolerance, false)
		l.Configure(epoch, quota)
		var spent []float64
		for tick := range 1000 {
			d := l.Take(epoch.Add(time.Duration(tick)*simulationTick), 0, "o", perTick)
			spent = append(spent, 0)
			if d.OK {
				spent[tick] = perTick
			} else {
				refused++
			}
		}
		ticks := int(tolerance.Window / simulationTick)
		for at := range len(spent) - ticks {
			sum := 0.0
			for _, n := range spent[at : at+ticks] {
				sum += n
			}
			highest = max(highest, sum)
		}
		return refused, highest
	}
	refused, _ := spend(1070 * simulationTick.Seconds())
	is.Equal(refused, 0)
	_, highest := spend(5000 * simulationTick.Seconds())
	allowed := 1000*8 + 1000 + usableToleranceShare*(0.1*(1000*8+1000)+800)
	is.True(highest <= allowed)
}

// TestIsolatedHostUsesItsShareOfRefill checks that a host that receives the reports of only a
// quarter of the hosts uses only a quarter of the refill, so that isolated groups of hosts do not
// exceed the quota together.
func TestIsolatedHostUsesItsShareOfRefill(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Tolerance{}, false)
	l.Configure(epoch, organisations(100, 100))
	is.True(l.Take(epoch, 0, "o", 100).OK)
	l.SetReachableShare(epoch, 0.25)
	is.True(!l.Take(epoch.Add(time.Second), 0, "o", 50).OK)
	is.True(l.Take(epoch.Add(2*time.Second), 0, "o", 50).OK)
}
