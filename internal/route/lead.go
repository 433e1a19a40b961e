package route

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"rattanchute/internal/fleet"
)

// Lead identifies a route of streams together with where its requests lead. It is the same in two configurations only if
// each request that the route takes leads to the same fleets in both.
type Lead string

// leadBytes is the length of the digest in a Lead.
const leadBytes = 8

// compileLeads returns the leads of the routes of streams.
func compileLeads(byHost map[string][]*fleet.Route) map[*fleet.Route]Lead {
	leads := map[*fleet.Route]Lead{}
	for _, list := range byHost {
		for _, r := range list {
			if r.Kind == fleet.RouteStream {
				leads[r] = leadOf(r, list)
			}
		}
	}
	return leads
}

// leadOf digests a route and those of its host that overlap with it: with another prefix in force, some of its requests
// would lead elsewhere.
func leadOf(r *fleet.Route, list []*fleet.Route) Lead {
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
	return Lead(base64.RawURLEncoding.EncodeToString(digest[:leadBytes]))
}

// Lead returns the lead of a route of streams of this table; empty for others.
func (t *Table) Lead(r *fleet.Route) Lead { return t.leads[r] }

// Leads returns the leads of all routes of streams, sorted.
func (t *Table) Leads() []Lead {
	all := make([]Lead, 0, len(t.leads))
	for _, l := range t.leads {
		all = append(all, l)
	}
	slices.Sort(all)
	return all
}
