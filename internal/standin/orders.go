package standin

import (
	"sort"
	"time"

	"rattanchute/internal/engine"
)

// EngineState is what an engine reads back after an order.
type EngineState struct {
	// Models are ready; Loading are not yet.
	Models   []string          `json:"models"`
	Loading  []string          `json:"loading"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
	Fencing  uint64            `json:"fencing"`
	Streams  []engine.StreamID `json:"streams"`
	// Orders counts the orders that were taken.
	Orders int `json:"orders"`
}

// loadable names a model with its version, or an adapter of a model.
type loadable struct {
	model   string
	adapter string
	version string
}

func (l loadable) label() string {
	name := l.model
	if l.version != "" {
		name += "@" + l.version
	}
	if l.adapter != "" {
		name += "+" + l.adapter
	}
	return name
}

// orderState is the state that orders set. It is not safe for use by several threads.
type orderState struct {
	// open answers every model, until a first order names one.
	open    bool
	loaded  map[loadable]time.Time
	role    string
	fencing uint64
	orders  int
}

func newOrderState(models []string) orderState {
	s := orderState{open: len(models) == 0, loaded: map[loadable]time.Time{}}
	for _, m := range models {
		s.loaded[loadable{model: m}] = time.Time{}
	}
	return s
}

func (s *orderState) serves(model string, now time.Time) bool {
	if s.open {
		return true
	}
	for l, ready := range s.loaded {
		if l.model == model && l.adapter == "" && !ready.After(now) {
			return true
		}
	}
	return false
}

// Order applies a control order.
func (e *Engine) Order(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.orders
	if e.config.ChecksFencing && o.FencingToken < s.fencing {
		return engine.ErrFenced
	}
	l := loadable{o.Model, o.Adapter, o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		if _, ok := s.loaded[l]; !ok {
			s.loaded[l] = time.Now().Add(millis(e.config.LoadModelMillis))
		}
	case engine.OrderUnload:
		s.open = false
		delete(s.loaded, l)
	case engine.OrderRole:
		s.role = o.Role
	default:
		return errBadRequest
	}
	s.fencing = max(s.fencing, o.FencingToken)
	s.orders++
	return nil
}

// State returns what the engine has loaded and runs now.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	s := EngineState{
		Models:   []string{},
		Loading:  []string{},
		Adapters: []string{},
		Role:     e.orders.role,
		Fencing:  e.orders.fencing,
		Streams:  []engine.StreamID{},
		Orders:   e.orders.orders,
	}
	for l, ready := range e.orders.loaded {
		switch {
		case ready.After(now):
			s.Loading = append(s.Loading, l.label())
		case l.adapter != "":
			s.Adapters = append(s.Adapters, l.label())
		default:
			s.Models = append(s.Models, l.label())
		}
	}
	for id := range e.streams {
		s.Streams = append(s.Streams, id)
	}
	sort.Strings(s.Models)
	sort.Strings(s.Loading)
	sort.Strings(s.Adapters)
	sort.Slice(s.Streams, func(i, j int) bool { return s.Streams[i] < s.Streams[j] })
	return s
}
