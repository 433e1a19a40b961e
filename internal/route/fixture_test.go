package route

import (
	"fmt"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
)

const testSlots = 16

var testStart = time.Unix(1_700_000_000, 0)

// testConfiguration declares runners in four data centres, one per host, and selectors that all
// let every organisation reach all of them.
func testConfiguration(runners, organisations, selectors int) *fleet.Configuration {
	cfg := &fleet.Configuration{Generation: 1}
	for i := range 4 {
		cfg.DataCentres = append(cfg.DataCentres, fleet.DataCentre{Name: dataCentreName(i), Region: "r"})
	}
	for i := range runners {
		host := fmt.Sprintf("host-%04d", i)
		cfg.Hosts = append(cfg.Hosts, fleet.Host{Name: host, DataCentre: dataCentreName(i % 4), PricePerHour: 1000})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{
			Name: fmt.Sprintf("runner-%04d", i), Host: host, Fleet: "llm", Address: "127.0.0.1:1",
			Labels: fleet.Labels{"tier": fmt.Sprint(i % 8)},
		})
	}
	for i := range organisations {
		cfg.Organisations = append(cfg.Organisations, fleet.Organisation{Name: fmt.Sprintf("org-%d", i), KeyHashes: []string{fmt.Sprintf("key-%d", i)}})
	}
	for i := range selectors {
		cfg.Selectors = append(cfg.Selectors, fleet.Selector{Name: fmt.Sprintf("selector-%d", i), Priority: i % 10})
	}
	cfg.Fleets = []fleet.Fleet{{Name: "llm", Kind: fleet.FleetModel, Models: []string{"m"}, SlotsPerEndpoint: testSlots}}
	return cfg
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func testQuery(prefixes ...uint64) Query {
	return Query{Organisation: "org-0", Fleet: "llm", PrefixHashes: prefixes, PromptTokens: 1000, MaxTokens: 200}
}

func testLoad(at time.Time, running int) engine.Load {
	return engine.Load{Running: running, Slots: testSlots, TokensPerSecond: 8000, At: at}
}
