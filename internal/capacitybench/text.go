package capacitybench

import (
	"encoding/json"
	"fmt"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
)

// configurationText returns a configuration with the given number of hosts and one endpoint on
// each. Texts with consecutive seeds differ only in the prices.
func configurationText(hosts, seed int) []byte {
	c := fleet.Configuration{}
	for i := range planDataCentres {
		c.DataCentres = append(c.DataCentres, fleet.DataCentre{Name: dataCentreName(i), Region: regionName(i)})
	}
	for i := range hosts {
		host := fmt.Sprintf("host-%04d", i)
		c.Hosts = append(c.Hosts, fleet.Host{
			Name:         host,
			DataCentre:   dataCentreName(i % planDataCentres),
			Class:        "g4",
			Kind:         fleet.HostReclaimable,
			PricePerHour: int64(900 + (i*37+seed)%500),
		})
		c.Endpoints = append(c.Endpoints, fleet.Endpoint{
			Name:    fmt.Sprintf("runner-%04d", i),
			Host:    host,
			Fleet:   "model",
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i%planDataCentres, i/250, i%250+1),
		})
	}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// storedConfiguration returns the form in which the platform stores a configuration.
func storedConfiguration(g fleet.Generation, text []byte) json.RawMessage {
	value, err := json.Marshal(gossip.StoredConfiguration{Generation: g, Text: string(text)})
	if err != nil {
		panic(err)
	}
	return value
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

func regionName(dataCentre int) string { return fmt.Sprintf("region-%d", dataCentre%planRegions) }
