package rollout

import (
	"testing"
	"time"
)

// plannedEndpoints is the number of endpoints of each version at the planned size.
const plannedEndpoints = 1600

func plannedTable() *Table {
	t := NewTable(Limits{Share: 0.1, Slack: 50}, func(now time.Time) time.Time { return now })
	t.SetEndpoints(epoch, listed(map[string]int{"v1": plannedEndpoints, "v2": plannedEndpoints}))
	t.SetHosts(1, epoch.Add(-time.Minute))
	put(t, at(0), atStep(StepCanary), 5)
	return t
}

// BenchmarkRequest decides about one request in the canary step, counts it and records its end.
func BenchmarkRequest(b *testing.B) {
	t := plannedTable()
	e := old(0)
	now := at(0)
	b.ReportAllocs()
	for i := range b.N {
		t.Choose(now, Request{Fleet: "f", Route: "r", Random: float64(i%100) / 100})
		k, err := t.Begin(now, "f", "r", e, true)
		if err != nil {
			b.Fatal(err)
		}
		k.End(now, good)
	}
}

// BenchmarkChoose is the choice of a version alone.
func BenchmarkChoose(b *testing.B) {
	t := plannedTable()
	now := at(0)
	b.ReportAllocs()
	for i := range b.N {
		t.Choose(now, Request{Fleet: "f", Route: "r", Random: float64(i%100) / 100})
	}
}

// BenchmarkWithoutOrder is the cost of a request to a fleet without an order.
func BenchmarkWithoutOrder(b *testing.B) {
	t := NewTable(Limits{}, func(now time.Time) time.Time { return now })
	e := old(0)
	b.ReportAllocs()
	for range b.N {
		t.Choose(epoch, Request{Fleet: "f", Route: "r"})
		k, err := t.Begin(epoch, "f", "r", e, true)
		if err != nil {
			b.Fatal(err)
		}
		k.End(epoch, good)
	}
}

// BenchmarkPermitted applies the choice to all endpoints, as the balancer does.
func BenchmarkPermitted(b *testing.B) {
	t := plannedTable()
	c := t.Choose(at(0), Request{Fleet: "f", Route: "r", Random: 1})
	b.ReportAllocs()
	for range b.N {
		for i := range t.known {
			c.Permitted(&t.known[i].Endpoint)
		}
	}
}
