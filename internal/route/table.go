package route

import (
	"cmp"
	"slices"
	"strings"

	"rattanchute/internal/fleet"
	"rattanchute/internal/loadshed"
)

// defaultSlots is the number of slots of an endpoint whose fleet declares none.
const defaultSlots = 64

// Table is the routing part of one configuration in compiled form. It is immutable.
type Table struct {
	generation    fleet.Generation
	configuration *fleet.Configuration
	endpoints     []endpointInfo
	lists         map[listKey]*candidates
	models        map[string][]string
	paths         []pathFleet
	fleets        map[string]fleet.Fleet
	byKeyHash     map[string]fleet.Organisation
	calls         callTable
	routes        map[string][]*fleet.Route
	destinations  map[*fleet.Route]Destination
	ranks         loadshed.Ranks
}

type endpointInfo struct {
	endpoint   fleet.Endpoint
	host       fleet.Host
	dataCentre fleet.DataCentre
	hash       uint64
	slots      int
}

type pathFleet struct {
	prefix string
	fleet  fleet.Fleet
}

// Compile precomputes the lookups of a configuration. The configuration must not be modified
// afterwards.
func Compile(cfg *fleet.Configuration) *Table {
	t := &Table{
		generation:    cfg.Generation,
		configuration: cfg,
		models:        make(map[string][]string),
		fleets:        make(map[string]fleet.Fleet, len(cfg.Fleets)),
		byKeyHash:     make(map[string]fleet.Organisation),
		calls:         compileCalls(cfg.Fleets),
		routes:        compileRoutes(cfg.Routes),
		ranks:         loadshed.NewRanks(cfg.Routes),
	}
	t.destinations = compileDestinations(t.routes)
	t.indexFleets(cfg.Fleets)
	t.indexOrganisations(cfg.Organisations)
	t.indexEndpoints(cfg)
	t.lists = compileLists(cfg, t.endpoints)
	return t
}

func (t *Table) indexFleets(fleets []fleet.Fleet) {
	for _, f := range fleets {
		t.fleets[f.Name] = f
		for _, model := range f.Models {
			t.models[model] = append(t.models[model], f.Name)
		}
		if f.Kind == fleet.FleetService && f.PathPrefix != "" {
			t.paths = append(t.paths, pathFleet{f.PathPrefix, f})
		}
	}
	slices.SortStableFunc(t.paths, func(a, b pathFleet) int {
		return cmp.Compare(len(b.prefix), len(a.prefix))
	})
}

func (t *Table) indexOrganisations(organisations []fleet.Organisation) {
	for _, organisation := range organisations {
		for _, hash := range organisation.KeyHashes {
			t.byKeyHash[hash] = organisation
		}
	}
}

func (t *Table) indexEndpoints(cfg *fleet.Configuration) {
	hosts := make(map[string]fleet.Host, len(cfg.Hosts))
	for _, host := range cfg.Hosts {
		hosts[host.Name] = host
	}
	dataCentres := make(map[string]fleet.DataCentre, len(cfg.DataCentres))
	for _, dataCentre := range cfg.DataCentres {
		dataCentres[dataCentre.Name] = dataCentre
	}
	for _, endpoint := range cfg.Endpoints {
		host := hosts[endpoint.Host]
		t.endpoints = append(t.endpoints, endpointInfo{
			endpoint:   endpoint,
			host:       host,
			dataCentre: dataCentres[host.DataCentre],
			hash:       hashName(endpoint.Name),
			slots:      slotsOf(t.fleets[endpoint.Fleet]),
		})
	}
}

func slotsOf(f fleet.Fleet) int {
	if f.SlotsPerEndpoint > 0 {
		return f.SlotsPerEndpoint
	}
	return defaultSlots
}

// Generation returns the generation of the configuration.
func (t *Table) Generation() fleet.Generation { return t.generation }

// OrganisationByKeyHash returns the organisation of an API key, given the key's SHA-256 digest
// in lower-case hex.
func (t *Table) OrganisationByKeyHash(hash string) (fleet.Organisation, bool) {
	organisation, ok := t.byKeyHash[hash]
	return organisation, ok
}

// Fleet returns the fleet with the name.
func (t *Table) Fleet(name string) (fleet.Fleet, bool) {
	f, ok := t.fleets[name]
	return f, ok
}

// FleetForModel returns the first declared fleet that serves the model and that the
// organisation may reach, and false if there is none.
func (t *Table) FleetForModel(organisation, model string) (fleet.Fleet, bool) {
	for _, name := range t.models[model] {
		if t.Allowed(organisation, name) {
			return t.fleets[name], true
		}
	}
	return fleet.Fleet{}, false
}

// FleetForPath returns the service fleet with the longest matching path prefix.
func (t *Table) FleetForPath(path string) (fleet.Fleet, bool) {
	for _, candidate := range t.paths {
		if strings.HasPrefix(path, candidate.prefix) {
			return candidate.fleet, true
		}
	}
	return fleet.Fleet{}, false
}

// Models returns the models that the organisation may use, sorted by name.
func (t *Table) Models(organisation string) []string {
	var names []string
	for model := range t.models {
		if _, ok := t.FleetForModel(organisation, model); ok {
			names = append(names, model)
		}
	}
	slices.Sort(names)
	return names
}

// Allowed reports whether any selector lets the organisation reach at least one endpoint of the
// fleet.
func (t *Table) Allowed(organisation, fleetName string) bool {
	return t.lists[listKey{organisation, fleetName}] != nil
}

func (t *Table) regionOf(dataCentre string) string {
	for _, candidate := range t.configuration.DataCentres {
		if candidate.Name == dataCentre {
			return candidate.Region
		}
	}
	return ""
}
