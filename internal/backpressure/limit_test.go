package backpressure

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values    string // separated by "|"
		want      Limit
		malformed bool
	}{
		{"1", Limit{true, 1}, false},
		{"1.5", Limit{true, 1.5}, false},
		{" 0.2 ", Limit{true, .2}, false},
		{"0", Limit{true, 0}, false},
		{"007", Limit{true, 7}, false},
		{strings.Repeat("9", 400), Limit{true, maxLimit}, false},
		{"3|2", Limit{true, 2}, false},
		{"3, 2.5", Limit{true, 2.5}, false},
		{"nonsense|4", Limit{true, 4}, true},
		{"", Limit{}, true},
		{"-1", Limit{}, true},
		{"+1", Limit{}, true},
		{"1e3", Limit{}, true},
		{"NaN", Limit{}, true},
		{"Inf", Limit{}, true},
		{"0x10", Limit{}, true},
		{".5", Limit{}, true},
		{"1.", Limit{}, true},
		{"1 per second", Limit{}, true},
	} {
		t.Run(c.values, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseLimit(strings.Split(c.values, "|"))
			is.Equal(got, c.want)
			is.Equal(err != nil, c.malformed)
		})
	}
	is := is.New(t)
	got, err := ParseLimit(nil)
	is.NoErr(err)
	is.Equal(got, Limit{})
}

// limitedFleet plays hosts in groups that send to one endpoint with a rate limit.
type limitedFleet struct {
	tables []*Table
	now    time.Time
	// arrivals are the times of the requests that were sent.
	arrivals []time.Time
}

var limitedInstance = Instance{ID: "i", Address: "a"}

func newLimitedFleet(groups, members int) *limitedFleet {
	f := &limitedFleet{now: epoch}
	var groupNames []string
	for g := range groups {
		groupNames = append(groupNames, fmt.Sprint("g", g, "-0"))
	}
	for _, group := range groupNames {
		var names []string
		for m := range members {
			names = append(names, fmt.Sprint(group[:len(group)-1], m))
		}
		for _, name := range names {
			table := NewTable(name)
			table.SetHosts(f.now, Hosts{Self: name, Group: group, Groups: groupNames, Members: names})
			f.tables = append(f.tables, table)
		}
	}
	return f
}

// state has a host observe a limit, and tells the others.
func (f *limitedFleet) state(l Limit) {
	f.tables[0].ObserveLimit(f.now, f.now, limitedInstance, l)
	f.share()
}

func (f *limitedFleet) share() {
	for _, from := range f.tables {
		for _, to := range f.tables {
			to.ApplyLimitReports(f.now, from.LimitReports(f.now))
		}
	}
}

// run has all hosts send as much as they may for a time.
func (f *limitedFleet) run(d, step time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, table := range f.tables {
			for {
				if p, _ := table.Endpoint(limitedInstance).Acquire(f.now); p == nil {
					break
				}
				f.arrivals = append(f.arrivals, f.now)
			}
		}
	}
}

// busiest returns the largest number of requests in a window.
func (f *limitedFleet) busiest(window time.Duration) int {
	busiest, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > window {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}

// TestHostsTogetherKeepALimitAndUseIt has all hosts send as much as they may to an endpoint, whose limit
// changes once.
func TestHostsTogetherKeepALimitAndUseIt(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitedFleet(rapid.IntRange(1, 12).Draw(t, "groups"), rapid.IntRange(1, 40).Draw(t, "members"))
		for range 2 {
			limit := rapid.Float64Range(.2, 100).Draw(t, "limit")
			f.state(Limit{true, limit})
			f.arrivals = nil
			duration := max(2*window, time.Duration(6/limit*float64(time.Second)))
			f.run(duration, 50*time.Millisecond)
			if got := f.busiest(window); float64(got) > 1.5*limit*window.Seconds()+5 {
				t.Fatalf("%d requests in %v at a limit of %v", got, window, limit)
			}
			if least := .7 * limit * (duration - window/2).Seconds(); float64(len(f.arrivals)) < least-2 {
				t.Fatalf("%d requests in %v at a limit of %v", len(f.arrivals), duration, limit)
			}
		}
	})
}

func TestLimitEndsWithTheFirstResponseThatStatesNone(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(2, 2)
	f.state(Limit{true, 1})
	// A response to a request that was sent before the statement may have been written before it, too.
	is.True(!f.tables[0].ObserveLimit(f.now.Add(time.Second), f.now.Add(-time.Second), limitedInstance, Limit{}))
	is.True(f.tables[0].Endpoint(limitedInstance).Limit().Stated)
	f.now = f.now.Add(3 * time.Second)
	is.True(f.tables[0].ObserveLimit(f.now, f.now.Add(-time.Second), limitedInstance, Limit{}))
	f.share()
	for _, table := range f.tables {
		is.True(!table.Endpoint(limitedInstance).Limit().Stated)
		is.True(table.Endpoint(limitedInstance).Verdict(f.now).Allowed)
	}
	f.now = f.now.Add(endedRetention)
	is.Equal(len(f.tables[0].LimitReports(f.now)), 0)
}

func TestHostThatStartsHearsOfALimit(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(1, 2)
	f.state(Limit{true, 1})
	f.now = f.now.Add(20 * time.Second) // in which the endpoint got no request
	started := NewTable("started")
	is.Equal(len(started.ApplyLimitReports(f.now, f.tables[0].LimitReports(f.now))), 1)
	is.Equal(len(started.ApplyLimitReports(f.now, f.tables[0].LimitReports(f.now))), 0)
	v := started.Endpoint(limitedInstance).Verdict(f.now)
	is.True(!v.Allowed && v.Limited) // it does not know its share
}

func TestLimitAndPauseHoldTogether(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(1, 1)
	f.state(Limit{true, 10})
	e := f.tables[0].Endpoint(limitedInstance)
	e.Observe(f.now, 0, closed(5*time.Second), "h")
	is.True(!e.Verdict(f.now.Add(4 * time.Second)).Allowed)
	f.now = f.now.Add(5 * time.Second)
	p, _ := e.Acquire(f.now)
	p.Answered()
	is.True(e.restricted.Load())
	f.run(4*time.Second, 20*time.Millisecond)
	is.True(f.busiest(4*time.Second) <= 45)
}

func TestMalformedLimitReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	is.Equal(len(table.ApplyLimitReports(epoch, []LimitReport{
		{}, {Instance: limitedInstance, PerSecond: -1}, {Instance: limitedInstance, AgeMillis: -1},
		{Instance: limitedInstance, PerSecond: math.NaN()},
	})), 0)
}
