package route

import (
	"slices"

	"rattanchute/internal/fleet"
)

type listKey struct {
	organisation string
	fleet        string
}

// candidates are the endpoints that one organisation may reach in one fleet. The slices are
// parallel, so that scanning the hashes stays within one array.
type candidates struct {
	fleet    string
	endpoint []int32
	hash     []uint64
	priority []int
}

// access is the result of applying an organisation's selectors to an endpoint.
type access int

const (
	accessNoSelector access = iota
	accessWrongDataCentre
	accessAllowed
)

func compileLists(cfg *fleet.Configuration, endpoints []endpointInfo) map[listKey]*candidates {
	lists := make(map[listKey]*candidates)
	for _, organisation := range cfg.Organisations {
		selectors := selectorsFor(cfg.Selectors, organisation)
		if len(selectors) == 0 {
			continue
		}
		for i := range endpoints {
			addCandidate(lists, organisation.Name, selectors, &endpoints[i], int32(i))
		}
	}
	return lists
}

func selectorsFor(selectors []fleet.Selector, organisation fleet.Organisation) []fleet.Selector {
	var matching []fleet.Selector
	for _, selector := range selectors {
		if matches(selector.Organisations, organisation.Labels) {
			matching = append(matching, selector)
		}
	}
	return matching
}

func addCandidate(lists map[listKey]*candidates, organisation string, selectors []fleet.Selector, info *endpointInfo, index int32) {
	priority, result := evaluateAccess(selectors, info)
	if result != accessAllowed {
		return
	}
	key := listKey{organisation, info.endpoint.Fleet}
	list := lists[key]
	if list == nil {
		list = &candidates{fleet: info.endpoint.Fleet}
		lists[key] = list
	}
	list.endpoint = append(list.endpoint, index)
	list.hash = append(list.hash, info.hash)
	list.priority = append(list.priority, priority)
}

// evaluateAccess applies an organisation's selectors to an endpoint. The priority is the
// highest of the selectors that allow it.
func evaluateAccess(selectors []fleet.Selector, info *endpointInfo) (int, access) {
	priority, result := 0, accessNoSelector
	for i := range selectors {
		selector := &selectors[i]
		if !selectsEndpoint(selector, info) {
			continue
		}
		if !allowsDataCentre(selector, info.host.DataCentre) {
			result = max(result, accessWrongDataCentre)
			continue
		}
		result = accessAllowed
		priority = max(priority, selector.Priority)
	}
	return priority, result
}

func selectsEndpoint(selector *fleet.Selector, info *endpointInfo) bool {
	return matches(selector.Endpoints, info.endpoint.Labels, info.host.Labels) &&
		matches(selector.Hosts, info.host.Labels)
}

func allowsDataCentre(selector *fleet.Selector, dataCentre string) bool {
	return len(selector.DataCentres) == 0 || slices.Contains(selector.DataCentres, dataCentre)
}
