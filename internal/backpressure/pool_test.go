package backpressure

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestPoolsHaveExactlyTheSlots has some hosts of a group, or of hosts that all hear each other, pool their slots.
func TestPoolsHaveExactlyTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names, pooling []string
		for i := range rapid.IntRange(2, 20).Draw(t, "hosts") {
			names = append(names, fmt.Sprint("h", i))
			if rapid.Bool().Draw(t, "pools") {
				pooling = append(pooling, names[i])
			}
		}
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		h := Hosts{Self: names[0], Group: names[0], Groups: names[:1], Members: names, Sizes: map[string]int{names[0]: len(names)}}
		if rapid.Bool().Draw(t, "mesh") {
			h = Hosts{Self: names[0], Group: names[0], Groups: names, Members: names[:1]}
		}
		h.Pooling = pooling
		parts, sum := h.PoolParts("e", slots), 0
		for _, p := range parts {
			if !slices.Contains(pooling, p.Host) || p.Slots <= 0 {
				t.Fatalf("part %v of %v", p, pooling)
			}
			sum += p.Slots
		}
		pooled := sum
		for _, host := range names {
			if !slices.Contains(pooling, host) {
				sum += h.Slots("e", slots, host)
			}
		}
		if sum != slots {
			t.Fatalf("%d of %d slots", sum, slots)
		}
		if len(parts) > max(pooled/MinPart, 1) {
			t.Fatalf("%d slots have %d holders", pooled, len(parts))
		}
	})
}

// TestPoolIsTheSameForAllHosts has hosts list the others in another order.
func TestPoolIsTheSameForAllHosts(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	of := func(names []string, self string) []Part {
		h := Hosts{Self: self, Group: "a", Groups: []string{"a"}, Members: names, Sizes: map[string]int{"a": len(names)}, Pooling: names}
		return h.PoolParts("e", 8)
	}
	reversed := slices.Clone(names)
	slices.Reverse(reversed)
	if one, other := of(names, "a"), of(reversed, "b"); len(one) != 2 || !slices.Equal(one, other) {
		t.Fatal(one, other)
	}
}
