package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

// longBefore is when requests were sent of which it does not matter when.
var longBefore = epoch.Add(-time.Hour)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func prompt(parts ...string) Request { return Request{Fleet: "f", Parts: parts} }

func yes() bool { return true }

// crashes records a crash each second at which the prompts were in progress.
func crashes(t *Table, n int, prompts ...Request) {
	for i := range n {
		for _, p := range prompts {
			t.Terminated(at(float64(i)), fmt.Sprint("e", i), longBefore, p)
		}
	}
}

func TestPartThatIsAtEachCrashIsQuarantined(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	bad, good := prompt("first", "bad"), prompt("first", "good")
	for i := range minOccasions {
		is.True(table.Check(at(float64(i)), bad, nil).Allowed)
		crashes(table, i+1, bad, good)
		table.Completed(at(float64(i)+.5), "other", longBefore, good, false)
	}
	v := table.Check(at(minOccasions), bad, nil)
	is.True(!v.Allowed)
	is.Equal(v.Entry.Parts, []string{"bad"})
	is.True(table.Check(at(minOccasions), good, nil).Allowed)
	is.True(table.Check(at(minOccasions), prompt("first", "new"), nil).Allowed)
	is.True(table.Check(at(minOccasions), Request{Fleet: "other fleet", Parts: bad.Parts}, nil).Allowed)
	is.True(!table.Check(at(minOccasions), prompt("other", "bad", "more"), nil).Allowed)
}

func TestFirstPartCanBeTheOne(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range minOccasions {
		table.Terminated(at(float64(i)), fmt.Sprint("e", i), longBefore, prompt("bad", fmt.Sprint("p", i)))
	}
	is.True(!table.Check(at(5), prompt("bad", "new"), nil).Allowed)
	is.True(table.Check(at(5), prompt("p1"), nil).Allowed)
}

func TestPartsThatNothingTellsApartAreRefusedOnlyTogether(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	crashes(table, minOccasions, prompt("bad", "companion"), prompt("bystander"))
	// Three parts at each crash: no request has all of them yet.
	is.True(table.Check(at(3), prompt("bad", "companion"), nil).Allowed)
	table.Completed(at(3), "e", longBefore, prompt("bystander"), false)
	is.True(!table.Check(at(3), prompt("bad", "companion"), nil).Allowed)
	is.True(table.Check(at(3), prompt("companion"), nil).Allowed)
	table.Completed(at(4), "e", longBefore, prompt("companion"), false)
	is.True(!table.Check(at(4), prompt("bad", "other"), nil).Allowed)
	is.True(table.Check(at(4), prompt("companion"), nil).Allowed)
}

func TestTwoBadParts(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range 2 * minOccasions {
		table.Terminated(at(float64(i)), fmt.Sprint("e", i), longBefore, prompt([]string{"bad", "worse"}[i%2], fmt.Sprint("p", i)))
	}
	is.True(!table.Check(at(9), prompt("bad"), nil).Allowed)
	is.True(!table.Check(at(9), prompt("worse"), nil).Allowed)
}

func TestBystanderOfAnExplainedCrashIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	crashes(table, minOccasions, prompt("bad"), prompt("rare"))
	table.Terminated(at(3), "e3", longBefore, prompt("bad"))
	is.True(!table.Check(at(4), prompt("bad"), nil).Allowed)
	is.True(table.Check(at(4), prompt("rare"), nil).Allowed)
}

func TestEndpointsThatCrashTogetherAreOneOccasion(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range 100 {
		table.Terminated(at(float64(i)*.002), fmt.Sprint("e", i), longBefore, prompt("popular"))
	}
	is.True(table.Check(at(1), prompt("popular"), nil).Allowed)
}

func TestEndpointThatAnswersHasNotCrashed(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range 3 * minOccasions {
		began := float64(i)
		table.Terminated(at(began), "flaky", longBefore, prompt("rare"))
		table.Responded(at(began+.1), "flaky", at(began-.1)) // sent before
		table.Responded(at(began+.2), "flaky", at(began+.1))
	}
	is.True(table.Check(at(20), prompt("rare"), nil).Allowed)
	// An answer after a restart under the same name says nothing.
	for i := range minOccasions {
		began := 100 + 2*float64(i)
		table.Terminated(at(began), "again", longBefore, prompt("bad"))
		table.Responded(at(began+1.5), "again", at(began+1.4))
	}
	is.True(!table.Check(at(110), prompt("bad"), nil).Allowed)
}

func TestResponseThatEndsWithItsConnectionMayBeACrash(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", 1)
		for i := range minOccasions {
			began := 2 * float64(i)
			table.Completed(at(began), fmt.Sprint("e", i), longBefore, prompt("bad"), true)
			if i == 0 {
				table.Unreachable(at(began+.4), fmt.Sprint("e", i))
			} else {
				table.Terminated(at(began+.001), fmt.Sprint("e", i), longBefore, prompt("other", fmt.Sprint("p", i)))
			}
		}
		is.True(!table.Check(at(9), prompt("bad"), nil).Allowed)
	})
	t.Run("no crash", func(t *testing.T) {
		is := is.New(t)
		table := NewTable("h", 1)
		crashes(table, 2, prompt("good"))
		table.Completed(at(3), "e", longBefore, prompt("good"), true)
		table.Responded(at(3.2), "e", at(3.1))
		table.Terminated(at(4), "e4", longBefore, prompt("good"))
		is.True(table.Check(at(5), prompt("good"), nil).Allowed)
	})
}

func TestOneProbeAtATimeAndLaterAfterEachCrash(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	crashes(table, minOccasions, prompt("bad"))
	now := at(minOccasions - 1).Add(firstProbeDelay)
	is.True(!table.Check(now.Add(-1), prompt("bad"), yes).Allowed)
	is.True(!table.Check(now, prompt("bad"), nil).Allowed) // not the host that probes
	v := table.Check(now, prompt("bad"), yes)
	is.True(v.Allowed && v.Probe)
	is.True(!table.Check(now, prompt("bad"), yes).Allowed)
	table.Terminated(now, "e", longBefore, prompt("bad"))
	v = table.Check(now, prompt("bad"), yes)
	is.True(!v.Allowed)
	is.Equal(v.RetryAfter, probeDelayFactor*firstProbeDelay)
	table.Terminated(now.Add(time.Hour), "e", longBefore, prompt("bad")) // long after the others were forgotten
	v = table.Check(now.Add(time.Hour), prompt("bad"), yes)
	is.Equal(v.RetryAfter, probeDelayFactor*probeDelayFactor*firstProbeDelay)
	now = now.Add(2 * time.Hour)
	is.True(table.Check(now, prompt("bad"), yes).Probe)
	table.Completed(now, "e", longBefore, prompt("bad"), false)
	is.True(table.Check(now, prompt("bad"), nil).Allowed)
}

func TestChangesTellWhoFoundOut(t *testing.T) {
	is := is.New(t)
	one, other := NewTable("one", 1), NewTable("other", 1)
	crashes(one, minOccasions, prompt("bad"))
	changes := one.TakeChanges(at(3))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, Quarantined)
	is.Equal(len(one.TakeChanges(at(3))), 0)
	is.True(other.Apply(at(3), "one", one.Report(at(3))))
	is.True(!other.Apply(at(3), "one", one.Report(at(3))))
	is.Equal(other.TakeChanges(at(3))[0].Source, "one")
	other.Completed(at(4), "e", longBefore, prompt("bad"), false)
	is.True(one.Apply(at(4), "other", other.Report(at(4))))
	changes = one.TakeChanges(at(4))
	is.Equal(changes[0].Kind, Released)
	is.Equal(changes[0].Source, "other")
}

func TestReleaseEndsAQuarantineOnAllHosts(t *testing.T) {
	is := is.New(t)
	one, other := NewTable("one", 1), NewTable("other", 1)
	crashes(one, minOccasions, prompt("bad"))
	other.Apply(at(5), "one", one.Report(at(5)))
	is.True(!other.Check(at(5), prompt("bad"), nil).Allowed)
	other.Release(at(6), prompt("bad"))
	one.Apply(at(6), "other", other.Report(at(6)))
	is.True(one.Check(at(6), prompt("bad"), nil).Allowed)
}

func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	for i := range 10_000 {
		table.Terminated(at(float64(i)*.3), fmt.Sprint("e", i), longBefore, prompt(fmt.Sprint("p", i%1000), fmt.Sprint("q", i)))
	}
	now := at(3000)
	is.True(len(table.log.crashes) <= maxCrashes)
	is.True(len(table.entries) <= maxEntries)
	r := table.Report(now)
	is.True(len(r.Crashes) <= maxReportedCrashes)
	is.True(len(r.Entries) <= maxReportedEntries)
}

func TestMalformedReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable("h", 1)
	table.Apply(epoch, "h", nil)
	table.Apply(epoch, "h", &Report{
		Crashes: []CrashReport{{}, {Endpoint: "e", AgeMillis: -1}, {Endpoint: "e", AgeMillis: 1 << 62}},
		Cleared: []ClearedReport{{AgeMillis: -1}},
		Entries: []EntryReport{
			{Fleet: "f", Crashes: 9}, {Fleet: "f", Parts: []string{"p"}, Crashes: 0},
			{Fleet: "f", Parts: []string{"p"}, Crashes: 9, AgeMillis: -1},
		},
	})
	is.True(table.Check(epoch, prompt("p"), nil).Allowed)
	is.Equal(len(table.log.crashes), 0)
}

// TestCloseCrashesOfOneEndpointAreTheSameOnAllHosts has an endpoint of one name crash twice within two seconds.
func TestCloseCrashesOfOneEndpointAreTheSameOnAllHosts(t *testing.T) {
	is := is.New(t)
	one, other := NewTable("one", 1), NewTable("other", 1)
	other.Terminated(at(0), "e0", longBefore, prompt("a"))
	one.Terminated(at(.445), "e0", longBefore, prompt("b"))
	other.Terminated(at(1), "e0", longBefore, prompt("a"))
	one.Terminated(at(1), "e1", longBefore, prompt("a"))
	for range 2 {
		other.Apply(at(1), "one", one.Report(at(1)))
		one.Apply(at(1), "other", other.Report(at(1)))
	}
	is.Equal(one.Check(at(1), prompt("a"), nil).Allowed, other.Check(at(1), prompt("a"), nil).Allowed)
}
