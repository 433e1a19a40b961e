package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

// TestRandomDrawIsEvenAmongFewRunningHosts guards against overloading one endpoint when only a
// few of many declared hosts run and these are next to each other in the list: each must
// receive about the same share of the random draws.
func TestRandomDrawIsEvenAmongFewRunningHosts(t *testing.T) {
	is := is.New(t)
	const declared, running, draws = 60, 3, 6000
	cfg := &fleet.Configuration{
		Organisations: []fleet.Organisation{{Name: "o"}},
		Fleets:        []fleet.Fleet{{Name: "f", Kind: fleet.FleetModel, SlotsPerEndpoint: 8}},
		Selectors:     []fleet.Selector{{Name: "all"}},
	}
	for i := range declared {
		host := fmt.Sprintf("h%d", i)
		cfg.Hosts = append(cfg.Hosts, fleet.Host{Name: host})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: fmt.Sprintf("e%d", i), Host: host, Fleet: "f"})
	}
	r := NewRouter("")
	r.SetTable(Compile(cfg))
	for i := running; i < declared; i++ {
		r.SetHostState(fleet.HostState{Host: fmt.Sprintf("h%d", i), Instance: "1", Phase: fleet.PhaseGone})
	}
	counts := map[string]int{}
	now := time.Unix(1000, 0)
	for i := range uint64(draws) {
		choice, err := r.Choose(now, mix(i), Query{Organisation: "o", Fleet: "f"})
		is.NoErr(err)
		counts[choice.Endpoint.Name]++
	}
	for i := range running {
		n := counts[fmt.Sprintf("e%d", i)]
		is.True(n > draws/running/2) // more than half of an even share
	}
}
