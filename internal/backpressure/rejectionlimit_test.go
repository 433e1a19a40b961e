package backpressure

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseRejectionLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   RejectionLimit
		wrong  bool
	}{
		{nil, RejectionLimit{}, false},
		{[]string{"4"}, RejectionLimit{true, 4}, false},
		{[]string{" 0 "}, RejectionLimit{true, 0}, false},
		{[]string{"7, 3"}, RejectionLimit{true, 3}, false},
		{[]string{"7", "9"}, RejectionLimit{true, 7}, false},
		{[]string{"x", "9"}, RejectionLimit{true, 9}, true},
		{[]string{"-1"}, RejectionLimit{}, true},
		{[]string{"1.5"}, RejectionLimit{}, true},
		{[]string{""}, RejectionLimit{}, true},
	} {
		is := is.New(t)
		got, err := ParseRejectionLimit(c.values)
		is.Equal(got, c.want)
		is.Equal(err != nil, c.wrong)
	}
	is := is.New(t)
	huge, err := ParseRejectionLimit([]string{"99999999999999999999999"})
	is.NoErr(err)
	is.True(huge.Stated && huge.PerSecond > 1<<40)
}

// TestHostsShareExactlyTheSlots has hosts in groups of any sizes, and hosts that all hear each other.
func TestHostsShareExactlyTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := map[string][]string{}
		var names []string
		for g := range rapid.IntRange(2, 8).Draw(t, "groups") {
			name := fmt.Sprint("g", g)
			names = append(names, name)
			groups[name] = []string{name}
			for m := range rapid.IntRange(1, 40).Draw(t, "followers") {
				groups[name] = append(groups[name], fmt.Sprint(name, "-", m))
			}
		}
		endpoint := rapid.StringN(1, 8, -1).Draw(t, "endpoint")
		slots := rapid.IntRange(0, 200).Draw(t, "slots")
		sizes := map[string]int{}
		for group, members := range groups {
			if len(members) > 1 {
				sizes[group] = len(members)
			}
		}
		inGroups, inMesh := 0, 0
		for group, members := range groups {
			h := Hosts{Self: members[0], Group: group, Groups: names, Members: members, Sizes: sizes}
			for _, host := range members {
				inGroups += h.Slots(endpoint, slots, host)
			}
			mesh := Hosts{Self: group, Group: group, Groups: names, Members: []string{group}}
			inMesh += mesh.Slots(endpoint, slots, group)
		}
		if inGroups != slots || inMesh != slots {
			t.Fatalf("%d and %d of %d slots", inGroups, inMesh, slots)
		}
	})
}
