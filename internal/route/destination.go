package route

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"rattanchute/internal/fleet"
)

// Destination identifies a route of streams together with where its requests lead. It is the same in two configurations only if
// each request that the route takes leads to the same fleets in both.
type Destination string

// destinationBytes is the length of the digest in a Destination.
const destinationBytes = 8

// compileDestinations returns the destinations of the routes of streams.
func compileDestinations(byHost map[string][]*fleet.Route) map[*fleet.Route]Destination {
	destinations := map[*fleet.Route]Destination{}
	for _, list := range byHost {
		for _, r := range list {
			if r.Kind == fleet.RouteStream {
				destinations[r] = destinationOf(r, list)
			}
		}
	}
	return destinations
}

// destinationOf digests a route and those of its host that overlap with it: with another prefix in force, some of its requests
// would lead elsewhere.
func destinationOf(r *fleet.Route, list []*fleet.Route) Destination {
	var text strings.Builder
	for _, other := range list {
		if !strings.HasPrefix(other.PathPrefix, r.PathPrefix) && !strings.HasPrefix(r.PathPrefix, other.PathPrefix) {
			continue
		}
		_, _ = fmt.Fprintf(&text, "%q %q %d", other.Host, other.PathPrefix, other.Kind)
		for _, w := range other.Split {
			_, _ = fmt.Fprintf(&text, " %q", w.Fleet)
		}
		text.WriteByte('\n')
	}
	digest := sha256.Sum256([]byte(r.PathPrefix + "\n" + text.String()))
	return Destination(base64.RawURLEncoding.EncodeToString(digest[:destinationBytes]))
}

// Destination returns the destination of a route of streams of this table; empty for others.
func (t *Table) Destination(r *fleet.Route) Destination { return t.destinations[r] }

// Destinations returns the destinations of all routes of streams, sorted.
func (t *Table) Destinations() []Destination {
	all := make([]Destination, 0, len(t.destinations))
	for _, l := range t.destinations {
		all = append(all, l)
	}
	slices.Sort(all)
	return all
}
