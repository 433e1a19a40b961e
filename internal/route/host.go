package route

import (
	"sync"
	"sync/atomic"

	"rattanchute/internal/fleet"
)

// maxInstances is the number of instances of one host name above which the oldest one that is
// not live is dropped.
const maxInstances = 16

// hostState merges what is known of the instances that have had one host name. The host is
// usable if nothing is known of it or if one of its instances is live.
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

// merge records the phase of an instance. Phases only advance: a lower one has no effect. It reports
// whether a live instance has followed another one.
func (h *hostState) merge(instance string, phase fleet.Phase) (replaced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := len(h.instances)
	h.advancePhase(instance, phase)
	replaced = known > 0 && len(h.instances) > known && phase == fleet.PhaseLive
	h.evictEnded()
	h.usable.Store(h.anyLive())
	return replaced
}

func (h *hostState) advancePhase(instance string, phase fleet.Phase) {
	for i := range h.instances {
		if h.instances[i].name == instance {
			h.instances[i].phase = max(h.instances[i].phase, phase)
			return
		}
	}
	h.instances = append(h.instances, instanceState{instance, phase})
}

// evictEnded drops the oldest instance that is not live if there are more than maxInstances.
func (h *hostState) evictEnded() {
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

// leaving reports whether the host's last instance leaves, and has not yet gone.
func (h *hostState) leaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.instances) > 0 && h.instances[len(h.instances)-1].phase == fleet.PhaseLeaving
}
