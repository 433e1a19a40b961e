package reclaim

import "slices"

// freeSlots assigns the free slots of the targets, beginning with the target that has the most,
// so that the moved streams spread over endpoints and data centres in proportion to their free
// capacity.
type freeSlots struct {
	targets []Target
}

func newFreeSlots(targets []Target) *freeSlots {
	return &freeSlots{targets: slices.Clone(targets)}
}

// mostFree returns the endpoint with the most free slots, and false if none has any.
func (f *freeSlots) mostFree() (string, bool) {
	best := -1
	for i, target := range f.targets {
		if target.FreeSlots <= 0 {
			continue
		}
		if best < 0 || target.FreeSlots > f.targets[best].FreeSlots {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return f.targets[best].Endpoint, true
}

// reserve takes one slot of the endpoint.
func (f *freeSlots) reserve(endpoint string) {
	for i := range f.targets {
		if f.targets[i].Endpoint == endpoint {
			f.targets[i].FreeSlots--
			return
		}
	}
}
