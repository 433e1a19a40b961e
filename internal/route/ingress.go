package route

import (
	"cmp"
	"slices"
	"strings"

	"rattanchute/internal/fleet"
	"rattanchute/internal/loadshed"
)

// compileRoutes lists the routes by host, the longest path prefix first. Routes that are not complete
// are left out.
func compileRoutes(routes []fleet.Route) map[string][]*fleet.Route {
	byHost := make(map[string][]*fleet.Route)
	for i := range routes {
		r := &routes[i]
		if !r.Complete() {
			continue
		}
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b *fleet.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return byHost
}

// MatchRoute returns the host's route with the longest matching path prefix, nil if there is
// none. The host must be in lower case and without a port.
func (t *Table) MatchRoute(host, path string) *fleet.Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Ranks returns the priorities of the routes to each fleet.
func (t *Table) Ranks() loadshed.Ranks { return t.ranks }

// Configuration returns the configuration that the table was compiled from. It must not be
// modified.
func (t *Table) Configuration() *fleet.Configuration { return t.configuration }
