package origin

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// began records that a stream of the fleet "f" began, and returns its key.
func began(table *Table, seconds float64, id, version string) Key {
	key := KeyOf("o", id)
	table.Began(at(seconds), key, Origin{"f", version})
	return key
}

func TestStreamsAreStoredWhileAFleetMayHaveSeveralVersions(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), true)
	table.SetEndpoints(at(0), listed("v1"))
	before := began(table, 1, "before", "v1")
	is.Equal(len(table.TakeUnstored(at(1), 10)), 0) // one version
	table.SetEndpoints(at(2), listed("v1", "v2"))
	after := began(table, 3, "after", "v2")
	is.Equal(table.TakeUnstored(at(3), 10), []StoredStream{{before, Origin{"f", "v1"}}, {after, Origin{"f", "v2"}}})
	is.Equal(len(table.TakeUnstored(at(3), 10)), 0) // taken already
	table.SetEndpoints(at(4), listed("v2"))
	began(table, 20, "soon after", "v2")
	is.Equal(len(table.TakeUnstored(at(33), 10)), 1) // streams of v1 can still be resumed
	began(table, 36, "later", "v2")
	is.Equal(len(table.TakeUnstored(at(36), 10)), 0)
}

func TestOnlyStreamsOfTheGroupAreStored(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), false)
	table.SetEndpoints(at(0), listed("v1", "v2"))
	key := KeyOf("o", "a")
	report := &Report{Streams: []StreamsReport{{"f", "v1", []Key{key, "no key"}}}}
	table.Apply(at(1), report, false)
	is.Equal(len(table.TakeUnstored(at(1), 10)), 0)
	table.Apply(at(2), report, true) // its host follows this one now
	is.Equal(table.TakeUnstored(at(2), 10), []StoredStream{{key, Origin{"f", "v1"}}})
}

func TestTakenStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), false)
	table.SetEndpoints(at(0), listed("v1", "v2"))
	for i := range 25 {
		began(table, 1, fmt.Sprint(i), "v1")
	}
	for _, n := range []int{10, 10, 5, 0} {
		is.Equal(len(table.TakeUnstored(at(2), 10)), n)
	}
}

// TestConflictOutlastsHosts checks that a stream of which hosts say different origins is unknown also to hosts
// that read the store, whether the conflict was known before or after the first origin was stored.
func TestConflictOutlastsHosts(t *testing.T) {
	for _, storedBefore := range []bool{false, true} {
		is := is.New(t)
		table, reader := NewTable(at(0), false), NewTable(at(9), false)
		table.SetEndpoints(at(0), listed("v1", "v2"))
		key := began(table, 1, "a", "v1")
		var stored []StoredStream
		if storedBefore {
			stored = table.TakeUnstored(at(1), 10)
		}
		table.Apply(at(2), &Report{Streams: []StreamsReport{{"f", "v2", []Key{key}}}}, true)
		stored = append(stored, table.TakeUnstored(at(2), 10)...)
		reader.AddStored(at(9), stored)
		_, known := reader.Find(key)
		is.True(!known)
		table.Apply(at(3), &Report{Streams: []StreamsReport{{"f", "v2", []Key{key}}}}, true)
		is.Equal(len(table.TakeUnstored(at(3), 10)), 0) // once
	}
}

func TestStreamsFromTheStoreAreNotRepeated(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), false)
	table.SetEndpoints(at(0), listed("v1", "v2"))
	key := KeyOf("o", "a")
	table.AddStored(at(0), []StoredStream{{key, Origin{"f", "v1"}}})
	o, known := table.Find(key)
	is.True(known)
	is.Equal(o, Origin{"f", "v1"})
	is.True(table.Report(at(0.1), longAgo, false) == nil) // other hosts read it too
	is.Equal(len(table.TakeUnstored(at(1), 10)), 0)
	table.Began(at(2), key, o) // resumed here
	is.Equal(len(table.Report(at(2.1), longAgo, true).Streams), 1)
	is.Equal(len(table.TakeUnstored(at(3), 10)), 0)
}
