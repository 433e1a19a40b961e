package route

import (
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

// TestDestinationChangesWhereRequestsLeadElsewhere: also by another route of the host that overlaps, and not by others.
func TestDestinationChangesWhereRequestsLeadElsewhere(t *testing.T) {
	is := is.New(t)
	stream := func(prefix string, to ...string) fleet.Route {
		r := fleet.Route{Host: "h", PathPrefix: prefix, Kind: fleet.RouteStream}
		for _, name := range to {
			r.Split = append(r.Split, fleet.WeightedFleet{Fleet: name, Weight: 1})
		}
		return r
	}
	other := func(r fleet.Route, edit func(*fleet.Route)) fleet.Route {
		edit(&r)
		return r
	}
	destination := func(routes ...fleet.Route) Destination {
		t := Compile(&fleet.Configuration{Routes: routes})
		return t.Destination(t.MatchRoute("h", "/a/b/x"))
	}
	base := destination(stream("/a/b/", "f"))
	is.True(base != "")
	for _, same := range []Destination{
		destination(other(stream("/a/b/", "f"), func(r *fleet.Route) { r.Timeout, r.Priority, r.Name = 1, 2, "n" })),
		destination(stream("/a/b/", "f"), stream("/c/", "g")),
		destination(stream("/a/b/", "f"), other(stream("/a/b/c/", "g"), func(r *fleet.Route) { r.Host = "h2" })),
	} {
		is.Equal(same, base)
	}
	for _, changed := range []Destination{
		destination(stream("/a/b/", "g")),
		destination(stream("/a/b/", "f", "g")),
		destination(stream("/a/b/", "f"), stream("/a/b/c/", "g")),
		destination(stream("/a/b/", "f"), stream("/a/", "g")),
		destination(other(stream("/a/b/", "f"), func(r *fleet.Route) { r.Kind = fleet.RouteIdempotent })),
	} {
		is.True(changed != base)
	}
}
