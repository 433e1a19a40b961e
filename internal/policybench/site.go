package policybench

import (
	"fmt"

	"rattanchute/internal/fleet"
)

const (
	fleetName  = "llm"
	region     = "region"
	entryNodes = 8
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c", "dc-d"}

// prices are the hourly prices of the hosts in each data centre, in thousandths of the currency
// unit.
var prices = []int64{1000, 1300, 900, 1200}

// configuration declares the site: hosts in all data centres and a selector for each customer
// with its priority.
func (s *Site) configuration() *fleet.Configuration {
	cfg := &fleet.Configuration{Generation: 1}
	for _, name := range dataCentres {
		cfg.DataCentres = append(cfg.DataCentres, fleet.DataCentre{Name: name, Region: region})
	}
	for i := range s.Runners {
		dc := i % len(dataCentres)
		host := fmt.Sprintf("host-%02d", i)
		cfg.Hosts = append(cfg.Hosts, fleet.Host{Name: host, DataCentre: dataCentres[dc], PricePerHour: prices[dc]})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: fmt.Sprintf("runner-%02d", i), Host: host, Fleet: fleetName})
	}
	cfg.Fleets = []fleet.Fleet{{Name: fleetName, Kind: fleet.FleetModel, SlotsPerEndpoint: s.Slots}}
	for _, c := range s.Customers {
		priority := fmt.Sprint(c.priority)
		cfg.Organisations = append(cfg.Organisations, fleet.Organisation{Name: c.name, Labels: fleet.Labels{"priority": priority}})
		cfg.Selectors = append(cfg.Selectors, fleet.Selector{
			Name: c.name, Priority: c.priority,
			Organisations: []fleet.Requirement{{Label: "priority", Op: fleet.OpIn, Values: []string{priority}}},
		})
	}
	return cfg
}
