package fairshare

import (
	"fmt"
	"testing"
	"time"
)

const benchOrganisations = 64

// benchTable returns a fleet that is short, with organisations that all demand something.
func benchTable(now time.Time) (*Table, []string) {
	t := NewTable()
	var organisations []Organisation
	var names []string
	for i := range benchOrganisations {
		names = append(names, fmt.Sprint("o", i))
		organisations = append(organisations, Organisation{Name: names[i]})
	}
	t.Configure(organisations, []string{"f"})
	t.RecordServed(now, Served{Fleet: "f", Route: "r", Seconds: 1, Slots: 8})
	for i := range 10 * benchOrganisations {
		t.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: names[min(i, i%(2*benchOrganisations))%benchOrganisations]})
	}
	t.SetRoom(now, "f", benchRoom())
	return t, names
}

func benchRoom() Room {
	return Room{Capacity: Cost{Slots: 16}, Fullness: Cost{Slots: 1}, ReachablePart: 1}
}

// BenchmarkDecide decides on requests of 64 organisations to a fleet that is short.
func BenchmarkDecide(b *testing.B) {
	now := time.Unix(1000, 0)
	t, names := benchTable(now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.Decide(now, 0.5, Request{Fleet: "f", Route: "r", Organisation: names[i%benchOrganisations]})
	}
}

// BenchmarkSetRoom shares the room out between 64 organisations.
func BenchmarkSetRoom(b *testing.B) {
	now := time.Unix(1000, 0)
	t, _ := benchTable(now)
	b.ReportAllocs()
	for b.Loop() {
		t.SetRoom(now, "f", benchRoom())
	}
}

// TestDecideAllocatesNothing checks a decision on an organisation that is known at the fleet.
func TestDecideAllocatesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	table, names := benchTable(now)
	allocated := testing.AllocsPerRun(1000, func() {
		table.Decide(now, 0.5, Request{Fleet: "f", Route: "r", Organisation: names[3]})
	})
	if allocated != 0 {
		t.Errorf("%v allocations", allocated)
	}
}
