package reclaim

import "slices"

// room hands out the survivors' free slots, the roomiest first, so that the moved
// streams spread over endpoints and data centres in proportion to what is free.
type room struct {
	survivors []Target
}

func newRoom(survivors []Target) *room {
	return &room{survivors: slices.Clone(survivors)}
}

// peek returns the endpoint with the most free slots; false if none has any.
func (r *room) peek() (string, bool) {
	best := -1
	for i, s := range r.survivors {
		if s.FreeSlots <= 0 {
			continue
		}
		if best < 0 || s.FreeSlots > r.survivors[best].FreeSlots {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return r.survivors[best].Endpoint, true
}

// take uses one slot of the endpoint.
func (r *room) take(endpoint string) {
	for i := range r.survivors {
		if r.survivors[i].Endpoint == endpoint {
			r.survivors[i].FreeSlots--
			return
		}
	}
}
