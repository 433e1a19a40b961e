package balancer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
)

// limitedTable returns a table of a host that shares endpoints with a rejection limit with others.
func limitedTable(endpoints, slots int, hosts ...string) *Table {
	signals := backpressure.NewTable(hosts[0])
	signals.SetHosts(epoch, backpressure.Hosts{Self: hosts[0], Group: hosts[0], Groups: hosts, Members: hosts[:1]})
	t := NewTable("dc", signals)
	list := testEndpoints(endpoints)
	for i := range list {
		list[i].Slots = slots
	}
	t.SetEndpoints(list)
	t.ApplyRejectionLimitReports(epoch, []RejectionLimitReport{{Fleet: plainFleet, PerSecond: 4}}, false)
	return t
}

// fill begins attempts until no endpoint is chosen.
func fill(t *Table, now time.Time) []*Attempt {
	var begun []*Attempt
	r := Request{Fleet: plainFleet}
	for {
		c, ok := t.Choose(now, uint64(len(begun)), r)
		if !ok {
			return begun
		}
		a := t.Begin(now, r, c)
		if _, err := a.Permit(now); err != nil {
			return begun
		}
		begun = append(begun, a)
	}
}

func TestHostsUseNoMoreThanTheSlotsOfAFleetWithARejectionLimit(t *testing.T) {
	is := is.New(t)
	hosts, total := []string{"h0", "h1", "h2"}, 0
	for i := range hosts {
		table := limitedTable(4, 8, append(append([]string{}, hosts[i:]...), hosts[:i]...)...)
		total += len(fill(table, epoch))
	}
	is.Equal(total, 4*8)
}

func TestRejectionLimitLapses(t *testing.T) {
	is := is.New(t)
	table := limitedTable(1, 2, "h0", "h1")
	is.True(table.HasRejectionLimit(epoch, plainFleet))
	is.Equal(len(fill(table, epoch)), 1)
	later := epoch.Add(rejectionLimitRetention)
	is.True(!table.HasRejectionLimit(later, plainFleet))
	_, ok := table.Choose(later, 1, Request{Fleet: plainFleet})
	is.True(ok)
}

func TestTwoRequestsForTheLastSlotAreNotBothSent(t *testing.T) {
	is := is.New(t)
	table := limitedTable(1, 1, "h0")
	r := Request{Fleet: plainFleet}
	first, _ := table.Choose(epoch, 1, r)
	second, _ := table.Choose(epoch, 2, r)
	a, b := table.Begin(epoch, r, first), table.Begin(epoch, r, second)
	_, err := a.Permit(epoch)
	is.NoErr(err)
	_, err = b.Permit(epoch)
	is.True(errors.Is(err, ErrEndpointFull))
	b.End(epoch, ResultRefused)
	a.End(epoch, ResultOK)
	_, ok := table.Choose(epoch, 3, r)
	is.True(ok)
}

func TestEndpointThatRejectedARequestGetsFewerForAWhile(t *testing.T) {
	is := is.New(t)
	table := limitedTable(1, 8, "h0")
	begun := fill(table, epoch)
	is.Equal(len(begun), 8)
	begun[7].End(epoch, ResultRefused)
	for _, a := range begun[:7] {
		a.End(epoch, ResultOK)
	}
	refilled := fill(table, epoch)
	is.Equal(len(refilled), 6)
	for _, a := range refilled {
		a.End(epoch, ResultOK)
	}
	table.ApplyRejectionLimitReports(epoch.Add(2*time.Second), []RejectionLimitReport{{Fleet: plainFleet, PerSecond: 4}}, false)
	is.Equal(len(fill(table, epoch.Add(2*time.Second))), 8)
}

func TestReportsOfRejectionLimitsGoRoundOnce(t *testing.T) {
	is := is.New(t)
	table := NewTable("dc", backpressure.NewTable("h0"))
	table.SetEndpoints(testEndpoints(1))
	r := Request{Fleet: plainFleet}
	c, _ := table.Choose(epoch, 1, r)
	table.Begin(epoch, r, c).ObserveRejectionLimit(epoch, backpressure.RejectionLimit{Stated: true, PerSecond: 4})
	own := table.RejectionLimitReports(epoch, ScopeGroup)
	is.Equal(own, []RejectionLimitReport{{Fleet: plainFleet, PerSecond: 4}})
	other := NewTable("dc", backpressure.NewTable("h1"))
	other.ApplyRejectionLimitReports(epoch, own, false)
	is.True(other.HasRejectionLimit(epoch, plainFleet))
	is.Equal(len(other.RejectionLimitReports(epoch, ScopeGroup)), 0) // not told on to other leaders
	is.Equal(len(other.RejectionLimitReports(epoch, ScopeAll)), 1)   // but to followers
}

func TestLookingForRoomDoesNotDelayCallers(t *testing.T) {
	is := is.New(t)
	table := limitedTable(1, 2, "h0")
	fill(table, epoch)
	first, full := table.FullFor(epoch, plainFleet)
	is.True(full)
	for range 1000 {
		share, full := table.pool(plainFleet).full(epoch, table.signals.Hosts())
		is.True(full)
		is.Equal(share, 2)
	}
	second, _ := table.FullFor(epoch, plainFleet)
	is.Equal(second-first, defaultAnswerDuration/2)
}

func TestFleetWithoutEndpointsIsNotFull(t *testing.T) {
	is := is.New(t)
	table := limitedTable(1, 2, "h0")
	table.SetEndpoints(nil)
	_, full := table.pool(plainFleet).full(epoch, table.signals.Hosts())
	is.True(!full)
}
