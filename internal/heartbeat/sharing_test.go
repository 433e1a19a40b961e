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
