package proxy

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// forgetOrganisations puts a configuration in force that has the same route and no organisation.
func (p *testProxy) forgetOrganisations(r fleet.Route) {
	p.proxy.SetTable(route.Compile(&fleet.Configuration{Routes: []fleet.Route{r}, Fleets: []fleet.Fleet{{Name: testFleet}}}))
}

// TestRouteNeedsAKeyWithoutOrganisations guards against a host that serves every key, itself or for a peer, once its
// configuration has no organisation left.
func TestRouteNeedsAKeyWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	first, second := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	r := *first.proxy.table.Load().MatchRoute("site", "/")
	second.forgetOrganisations(r)
	is.Equal(second.send(t, "1").status, http.StatusUnauthorized)
	is.True(first.send(t, "2").status != http.StatusOK) // the second host does not run it for the first
	first.forgetOrganisations(r)
	is.Equal(first.send(t, "3").status, http.StatusUnauthorized)
	is.Equal(len(endpoint.receivedRequests()), 0)

	r.Public = true
	second.forgetOrganisations(r)
	is.Equal(second.send(t, "4").status, http.StatusOK)
}
