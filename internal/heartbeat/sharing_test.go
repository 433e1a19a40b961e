package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitShare sums the hosts' shares of an endpoint's rate limit, and counts the hosts that have one.
func (sim *simulation) limitShare(endpoint string, perSecond float64) (sum float64, senders int) {
	for _, h := range sim.liveHosts() {
		sharing := h.table.Sharing(sim.now)
		if share := sharing.Share(endpoint, perSecond); share > 0 {
			sum += share
			senders++
		}
	}
	return sum, senders
}

func TestHostsShareALimitWhole(t *testing.T) {
	for _, hosts := range []int{1, 9, 40, 195} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(hosts, 5)
			sim.run(5 * time.Second)
			for i := range 20 {
				for _, limit := range []float64{.2, 1, 10, 500} {
					sum, senders := sim.limitShare(fmt.Sprint("e", i), limit)
					is.True(sum > .99 && sum < 1.01)
					is.True(senders <= max(int(2*limit)+2, 1))
				}
			}
		})
	}
}

func TestShareOfALostHostIsHeldBackForSomeTime(t *testing.T) {
	is := is.New(t)
	table := NewTable(epoch, Peer{Name: "self"})
	table.HandleReport(epoch, report("b", 1, 1))
	is.Equal(len(table.Sharing(epoch.Add(knownTimeout-1)).Groups), 2)
	is.Equal(len(table.Sharing(epoch.Add(knownTimeout)).Groups), 1)
	left := report("b", 1, 2)
	left.Leaving = true
	table.HandleReport(epoch, left)
	is.Equal(len(table.Sharing(epoch).Groups), 1)
}

func TestOneLeaderIsTheFirst(t *testing.T) {
	for _, hosts := range []int{1, 9, 40} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(hosts, 4)
			sim.run(5 * time.Second)
			first := 0
			for _, h := range sim.liveHosts() {
				if h.table.IsFirstLeader(sim.now) {
					first++
				}
			}
			is.Equal(first, 1)
		})
	}
}

// TestHostsOfOldAndNewBuildsUseNoMoreThanTheSlots has all, some or no hosts pool the slots of an endpoint that has fewer
// than there are hosts.
func TestHostsOfOldAndNewBuildsUseNoMoreThanTheSlots(t *testing.T) {
	for _, hosts := range []int{1, 9, 40} {
		for _, oldBuilds := range []string{"none", "every third", "all but every third", "all"} {
			t.Run(fmt.Sprint(hosts, " hosts, old builds: ", oldBuilds), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(hosts, 2)
				for i, h := range sim.hosts {
					third := i%3 == 0
					h.pools = oldBuilds == "none" || oldBuilds == "every third" && !third || oldBuilds == "all but every third" && third
				}
				sim.run(5 * time.Second)
				for i := range 20 {
					sum, holders := sim.slots(fmt.Sprint("e", i), 8)
					is.Equal(sum, 8)
					if oldBuilds == "none" {
						is.True(holders <= 4) // of 2 groups
					}
				}
			})
		}
	}
}

// slots sums the hosts' parts of an endpoint's slots, and counts the hosts that have one.
func (sim *simulation) slots(endpoint string, slots int) (sum, holders int) {
	for _, h := range sim.liveHosts() {
		sharing := h.table.Sharing(sim.now)
		part := 0
		if !h.pools || !sharing.Pools() {
			part = sharing.Slots(endpoint, slots, h.Name)
		} else {
			for _, p := range sharing.PoolParts(endpoint, slots) {
				if p.Host == h.Name {
					part = p.Slots
				}
			}
		}
		if part > 0 {
			holders++
		}
		sum += part
	}
	return sum, holders
}
