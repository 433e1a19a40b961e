package route

import (
	"sync"
	"sync/atomic"

	"rattanchute/internal/fleet"
)

// maxInstances bounds how many instances of a host name are remembered.
const maxInstances = 16

// hostState merges what is known of the instances that carried one host name. A host
// takes work when nothing is known of it or when one of its instances is live.
type hostState struct {
	usable atomic.Bool

	mu        sync.Mutex
	instances []instanceState
}

type instanceState struct {
	name  string
	phase fleet.Phase
}

func newHostState() *hostState {
	h := &hostState{}
	h.usable.Store(true)
	return h
}

// merge raises the phase of an instance; a lower one changes nothing.
func (h *hostState) merge(instance string, phase fleet.Phase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.raise(instance, phase)
	h.forget()
	h.usable.Store(h.anyLive())
}

func (h *hostState) raise(instance string, phase fleet.Phase) {
	for i := range h.instances {
		if h.instances[i].name == instance {
			h.instances[i].phase = max(h.instances[i].phase, phase)
			return
		}
	}
	h.instances = append(h.instances, instanceState{instance, phase})
}

// forget drops the oldest ended instance beyond the bound.
func (h *hostState) forget() {
	if len(h.instances) <= maxInstances {
		return
	}
	for i, instance := range h.instances {
		if instance.phase != fleet.PhaseLive {
			h.instances = append(h.instances[:i], h.instances[i+1:]...)
			return
		}
	}
}

func (h *hostState) anyLive() bool {
	for _, instance := range h.instances {
		if instance.phase == fleet.PhaseLive {
			return true
		}
	}
	return false
}
