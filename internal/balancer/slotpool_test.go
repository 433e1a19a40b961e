package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
)

// poolHosts returns hosts that all hear each other.
func poolHosts(n int) []string {
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	return hosts
}

// pooledTable is limitedTable for a host, which pools its slots with the others.
func pooledTable(self string, endpoints, slots int, hosts []string) *Table {
	t := limitedTable(endpoints, slots, hosts...)
	t.signals.SetHosts(epoch, backpressure.Hosts{Self: self, Group: self, Groups: hosts, Members: []string{self}, Pooling: hosts})
	return t
}

// TestHostsWithoutSlotsKnowWhoHasThem has fewer slots than hosts: those that have some hold all of them.
func TestHostsWithoutSlotsKnowWhoHasThem(t *testing.T) {
	is := is.New(t)
	hosts, used, holders := poolHosts(15), 0, 0
	for _, host := range hosts {
		table := pooledTable(host, 1, 8, hosts)
		owners := table.SlotOwners(plainFleet)
		is.Equal(len(owners), 2)
		n := len(fill(table, epoch))
		is.True(table.AsksPeers(epoch, plainFleet)) // also a host that has used its own
		used += n
		if n > 0 {
			holders++
			is.True(owners[0] == host || owners[1] == host)
		}
	}
	is.Equal(used, 8)
	is.Equal(holders, 2)
}

func TestHostsWithEnoughSlotsDoNotPoolThem(t *testing.T) {
	is := is.New(t)
	hosts := poolHosts(4)
	for _, host := range hosts {
		is.Equal(len(fill(pooledTable(host, 2, 8, hosts), epoch)), 4)
	}
}

// TestPartThatGrowsIsUsedOnceTheOthersHaveHeard has a host take over slots of one that has left.
func TestPartThatGrowsIsUsedOnceTheOthersHaveHeard(t *testing.T) {
	is := is.New(t)
	hosts := poolHosts(15)
	first := pooledTable(hosts[0], 1, 8, hosts).SlotOwners(plainFleet)[0]
	var heir string
	left := []string{}
	for _, host := range hosts {
		if host != first {
			left = append(left, host)
		}
	}
	for _, host := range pooledTable(left[0], 1, 8, left).SlotOwners(plainFleet) {
		if pooledOwn(pooledTable(host, 1, 8, hosts)) == 0 {
			heir = host
		}
	}
	table := pooledTable(heir, 1, 8, hosts)
	is.Equal(pooledOwn(table), 0)
	table.signals.SetHosts(epoch, backpressure.Hosts{Self: heir, Group: heir, Groups: left, Members: []string{heir}, Pooling: left})
	is.Equal(pooledOwn(table), 0)
	is.Equal(len(fill(table, epoch.Add(partSettleTime))), 4)
}

// pooledOwn returns how many slots a host may use at once.
func pooledOwn(t *Table) int {
	begun := fill(t, epoch)
	for _, a := range begun {
		a.End(epoch, ResultOK)
	}
	return len(begun)
}

func TestRejectionsOfAPoolPauseItsHoldersShortly(t *testing.T) {
	is := is.New(t)
	hosts := poolHosts(15)
	owner := pooledTable(hosts[0], 1, 8, hosts).SlotOwners(plainFleet)[0]
	table := pooledTable(owner, 1, 8, hosts)
	begun := fill(table, epoch)
	is.Equal(len(begun), 4)
	for i, a := range begun {
		result := ResultOK
		if i == 0 {
			result = ResultRefused
		}
		a.End(epoch, result)
	}
	is.Equal(pooledOwn(table), 2)
	later := epoch.Add(time.Second)
	is.Equal(len(fill(table, later)), 4)
}
