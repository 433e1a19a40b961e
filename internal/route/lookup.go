package route

import "rattanchute/internal/fleet"

// Endpoint returns the endpoint with the name.
func (t *Table) Endpoint(name string) (fleet.Endpoint, bool) {
	for i := range t.endpoints {
		if t.endpoints[i].endpoint.Name == name {
			return t.endpoints[i].endpoint, true
		}
	}
	return fleet.Endpoint{}, false
}

// EndpointsOn returns the endpoints on a host.
func (t *Table) EndpointsOn(host string) []fleet.Endpoint {
	var list []fleet.Endpoint
	for i := range t.endpoints {
		if t.endpoints[i].host.Name == host {
			list = append(list, t.endpoints[i].endpoint)
		}
	}
	return list
}
