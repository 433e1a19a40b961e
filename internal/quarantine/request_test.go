package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// named returns a request with a fingerprint and the parts of its prompt.
func named(fingerprint string, parts ...string) Request {
	return Request{Fleet: "f", Parts: parts, Fingerprint: fingerprint}
}

// crashInTurn has endpoints crash under a request that is sent on to the next one 60 ms later each time.
func crashInTurn(t *Table, from time.Time, n int, r Request) {
	for i := range n {
		sentAt := from.Add(time.Duration(i) * 60 * time.Millisecond)
		t.Terminated(sentAt.Add(60*time.Millisecond), fmt.Sprint(from.UnixMilli(), "e", i), sentAt, r)
	}
}

func TestRequestThatCrashesThreeEndpointsInTurnIsQuarantined(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	bad := named("bad", "first", "second")
	crashInTurn(table, at(0), 2, bad)
	is.True(table.Check(at(.2), bad, nil).Allowed)
	crashInTurn(table, at(.2), 1, bad)
	v := table.Check(at(.3), bad, nil)
	is.True(!v.Allowed)
	is.Equal(v.Entry.Fingerprint, "bad")
	is.Equal(len(v.Entry.Parts), 0)
	is.True(table.Check(at(.3), named("sound", "first", "second"), nil).Allowed) // the same prompt but for its own part
	elsewhere := bad
	elsewhere.Fleet = "other fleet" // its route may lead there tomorrow
	is.True(!table.Check(at(.3), elsewhere, nil).Allowed)
}

func TestRequestThatWasSentBeforeAnotherEndpointCrashedCountsThemOnce(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	popular := named("popular")
	for i := range 20 {
		table.Terminated(at(float64(i)*.01), fmt.Sprint("e", i), at(-1), popular)
	}
	is.True(table.Check(at(1), popular, nil).Allowed)
}

func TestPartThatCrashesUnderSeveralRequestsIsQuarantined(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range minOccasions {
		crashInTurn(table, at(float64(i)), 2, named(fmt.Sprint("r", i), "first", "bad"))
		table.Completed(at(float64(i)+.5), "other", at(float64(i)), named("sound", "first"), false)
	}
	is.True(!table.Check(at(4), named("new", "first", "bad"), nil).Allowed)
	is.True(table.Check(at(4), named("new", "first"), nil).Allowed)
	is.True(table.Check(at(4), named("r1", "first"), nil).Allowed)
}

func TestSoundRequestInProgressAtSomeCrashesOfAnotherIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range minOccasions + 1 {
		now := at(float64(i))
		table.Terminated(now, fmt.Sprint("e", i), now.Add(-50*time.Millisecond), named("bad"))
		if i > 0 {
			table.Terminated(now, fmt.Sprint("e", i), now.Add(-20*time.Millisecond), named("sound"))
		}
	}
	is.True(!table.Check(at(4), named("bad"), nil).Allowed)
	is.True(table.Check(at(4), named("sound"), nil).Allowed)
}

func TestCompleteResponseClearsARequest(t *testing.T) {
	is := is.New(t)
	table, other := NewTable("h", 1), NewTable("other", 1)
	crashInTurn(table, at(0), 2, named("r"))
	table.Completed(at(.2), "e9", at(.19), named("r"), false)
	crashInTurn(table, at(.3), 2, named("r"))
	is.True(table.Check(at(1), named("r"), nil).Allowed)
	other.Apply(at(1), "h", table.Report(at(1)))
	is.True(other.Check(at(1), named("r"), nil).Allowed)
}

func TestRequestGivenUpJustBeforeItsEndpointCrashesIsSuspected(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range minOccasions {
		now, endpoint := at(2*float64(i)), fmt.Sprint("e", i)
		table.Abandoned(now, endpoint, now.Add(-50*time.Millisecond), named("bad"))
		table.Responded(now.Add(10*time.Millisecond), endpoint, now.Add(-10*time.Millisecond))
		if i == 0 {
			table.Unreachable(now.Add(100*time.Millisecond), endpoint)
		} else {
			table.Terminated(now.Add(30*time.Millisecond), endpoint, now, named(fmt.Sprint("other", i)))
		}
	}
	is.True(!table.Check(at(5), named("bad"), nil).Allowed)
	is.True(table.Check(at(5), named("other1"), nil).Allowed)
}

func TestRequestGivenUpAtAnEndpointThatGoesOnIsNotSuspected(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range 2 * minOccasions {
		now := at(float64(i))
		table.Abandoned(now, "e", now.Add(-50*time.Millisecond), named("impatient"))
		table.Terminated(now.Add(5*time.Second), "e", now.Add(4*time.Second), named(fmt.Sprint("other", i)))
	}
	is.True(table.Check(at(20), named("impatient"), nil).Allowed)
}

func TestRequestIsProbedMoreSeldomAfterEachCrash(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	bad := named("bad")
	crashInTurn(table, at(0), minOccasions, bad)
	last := at(.18)
	is.Equal(table.Check(at(1), bad, yes).RetryAfter, last.Add(firstRequestProbeDelay).Sub(at(1)))
	now := last.Add(firstRequestProbeDelay)
	is.True(!table.Check(now, bad, nil).Allowed) // not the host that probes
	is.True(table.Check(now, bad, yes).Probe)
	table.Terminated(now, "e", now.Add(-time.Millisecond), bad)
	is.Equal(table.Check(now, bad, yes).RetryAfter, requestProbeDelayFactor*firstRequestProbeDelay)
}

func TestHostsShareQuarantinedRequests(t *testing.T) {
	is := is.New(t)
	one, other, late := NewTable("one", 1), NewTable("other", 1), NewTable("late", 1)
	crashInTurn(one, at(0), 2, named("bad"))
	crashInTurn(other, at(1), 1, named("bad"))
	one.Apply(at(1.2), "other", other.Report(at(1.2)))
	is.True(!one.Check(at(1.2), named("bad"), nil).Allowed)
	is.True(other.Check(at(1.2), named("bad"), nil).Allowed) // knows of one crash only
	late.Apply(at(100), "one", one.Report(at(100)))          // long after the crashes were reported
	is.True(!late.Check(at(100), named("bad"), nil).Allowed)
	late.Release(at(101), named("bad"))
	one.Apply(at(101), "late", late.Report(at(101)))
	is.True(one.Check(at(101), named("bad"), nil).Allowed)
}

func TestRequestsInReportsAreBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range 10 {
		for n := range 1000 {
			table.Terminated(at(float64(i)), fmt.Sprint("e", i), at(0), named(fmt.Sprint("r", i, "-", n)))
		}
	}
	reported := 0
	for _, c := range table.Report(at(10)).Crashes {
		reported += len(c.Requests)
	}
	is.Equal(reported, maxReportedRequests)
	is.True(len(table.log.crashes[0].requests) <= maxCrashRequests)
}

func TestCrashesSeenByTheNextRunOfAHostAreNew(t *testing.T) {
	is := is.New(t)
	earlier, other, later := NewTable("h", 1), NewTable("other", 1), NewTable("h", 2)
	for i := range minOccasions {
		earlier.Terminated(at(float64(i)), fmt.Sprint("e", i), longBefore, named("sound"))
		earlier.Responded(at(float64(i)+.2), fmt.Sprint("e", i), at(float64(i)+.1)) // not a crash
		later.Terminated(at(4+float64(i)), fmt.Sprint("e", i), longBefore, named("bad"))
	}
	other.Apply(at(3), "h", earlier.Report(at(3)))
	other.Apply(at(6.1), "h", later.Report(at(6.1))) // before the entry has settled and is told itself
	is.True(!other.Check(at(6.1), named("bad"), nil).Allowed)
}
