package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func report(name string, incarnation int64, number uint64) *Report {
	return &Report{Peer: Peer{Name: name, Incarnation: incarnation, Address: name}, Number: number}
}

func TestOldAndDoubledReportsAreNoNews(t *testing.T) {
	is := is.New(t)
	table := NewTable(Peer{Name: "self"})
	heard := func(r *Report) bool {
		news, _ := table.Heard(epoch, r)
		return news
	}
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
	table := NewTable(Peer{Name: "self"})
	table.Add(epoch, Peer{Name: "a", Incarnation: 1})
	table.Heard(epoch, report("b", 1, 1))
	heard, known := table.Counts(epoch)
	is.Equal(heard, 2)
	is.Equal(known, 3)
	later := epoch.Add(heardIntervals * Interval(2))
	heard, known = table.Counts(later)
	is.Equal(heard, 1)
	is.Equal(known, 3)
	is.Equal(len(table.NewlyLost(later)), 1)
	is.Equal(len(table.NewlyLost(later)), 0) // told once
	_, known = table.Counts(epoch.Add(knownFor))
	is.Equal(known, 1)

	leaving := report("b", 1, 2)
	leaving.Leaving = true
	table.Heard(epoch, leaving)
	_, known = table.Counts(epoch)
	is.Equal(known, 2) // one that leaves spends nothing more
}

// TestFewOfManyHostsWatch: always some, and others when those are lost.
func TestFewOfManyHostsWatch(t *testing.T) {
	is := is.New(t)
	const hosts = 60
	watching := func(silent map[int]bool) []int {
		var out []int
		for i := range hosts {
			if silent[i] {
				continue
			}
			table := NewTable(Peer{Name: fmt.Sprint("n", i)})
			for j := range hosts {
				if j != i && !silent[j] {
					table.Heard(epoch, report(fmt.Sprint("n", j), 1, 1))
				}
			}
			if table.Watches(epoch) {
				out = append(out, i)
			}
		}
		return out
	}
	first := watching(nil)
	is.Equal(len(first), watchers)
	silent := map[int]bool{}
	for _, i := range first {
		silent[i] = true
	}
	is.Equal(len(watching(silent)), watchers)
	alone := NewTable(Peer{Name: "n1"})
	is.True(alone.Watches(epoch))
}

func TestReportsBecomeRarerWithMorePeers(t *testing.T) {
	is := is.New(t)
	is.Equal(Interval(7), minInterval)
	is.True(float64(86)/Interval(86).Seconds() < 90)
}
