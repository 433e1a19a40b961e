package route

import "time"

// EndpointCapacity is the free capacity of an endpoint that can take over streams.
type EndpointCapacity struct {
	Endpoint   string
	DataCentre string
	FreeSlots  int
}

// FreeCapacity lists the available endpoints that an organisation may reach in a fleet, with
// the estimated number of free slots.
func (r *Router) FreeCapacity(now time.Time, organisation, fleetName string) []EndpointCapacity {
	list := r.view.Load().lists[listKey{organisation, fleetName}]
	if list == nil {
		return nil
	}
	mean := list.mean.refresh(now, list.targets)
	var capacities []EndpointCapacity
	for _, t := range list.targets {
		if !t.available(now) {
			continue
		}
		e := t.state.estimate(now, mean, t.info.slots, 0)
		capacities = append(capacities, EndpointCapacity{
			Endpoint:   t.info.endpoint.Name,
			DataCentre: t.info.host.DataCentre,
			FreeSlots:  max(int(e.slots-e.requests), 0),
		})
	}
	return capacities
}

// Available reports whether an endpoint that was chosen earlier still accepts new work.
func (r *Router) Available(now time.Time, endpoint string) bool {
	t := r.view.Load().byName[endpoint]
	return t != nil && t.available(now)
}

// Leaving reports whether an endpoint has said that it leaves, or is on a host that leaves.
func (r *Router) Leaving(now time.Time, endpoint string) bool {
	t := r.view.Load().byName[endpoint]
	return t != nil && (t.host.leaving() || t.state.signals.current().Verdict(now).Leaving)
}

// InFlight returns the estimated number of requests at an endpoint, and how many of them are
// from this node. Both are zero if the table does not contain the endpoint.
func (r *Router) InFlight(now time.Time, endpoint string) (all, own int) {
	t := r.view.Load().byName[endpoint]
	if t == nil {
		return 0, 0
	}
	own = int(t.state.inFlight.Load())
	e := t.state.estimate(now, 0, t.info.slots, 0)
	return max(int(e.requests), own), own
}
