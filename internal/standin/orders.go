package standin

import (
	"sort"
	"time"

	"rattanchute/internal/engine"
)

// EngineState is the state of an engine that control orders can change, and its streams.
type EngineState struct {
	// Models are the loaded models; Loading are the models and adapters still loading.
	Models       []string          `json:"models"`
	Loading      []string          `json:"loading"`
	Adapters     []string          `json:"adapters"`
	Role         string            `json:"role"`
	FencingToken uint64            `json:"fencing"`
	Streams      []engine.StreamID `json:"streams"`
	// Orders counts the orders that were applied since the engine was created or closed.
	Orders int `json:"orders"`
}

// modelRef identifies a version of a model or of a model's adapter.
type modelRef struct {
	model   string
	adapter string
	version string
}

func (ref modelRef) label() string {
	name := ref.model
	if ref.version != "" {
		name += "@" + ref.version
	}
	if ref.adapter != "" {
		name += "+" + ref.adapter
	}
	return name
}

// orderState is the part of an engine's state that control orders change. It is not safe
// for concurrent use.
type orderState struct {
	// anyModel is set while every model is served: if no models are configured, until the
	// first unload order.
	anyModel     bool
	loaded       map[modelRef]time.Time
	role         string
	fencingToken uint64
	orders       int
}

func newOrderState(models []string) orderState {
	s := orderState{anyModel: len(models) == 0, loaded: map[modelRef]time.Time{}}
	for _, m := range models {
		s.loaded[modelRef{model: m}] = time.Time{}
	}
	return s
}

func (s *orderState) serves(model string, now time.Time) bool {
	if s.anyModel {
		return true
	}
	for ref, ready := range s.loaded {
		if ref.model == model && ref.adapter == "" && !ready.After(now) {
			return true
		}
	}
	return false
}

// Order applies a control order. An engine that checks fencing rejects an order with an
// older fencing token than the newest one seen, with ErrFenced of package engine.
func (e *Engine) Order(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.orders
	if e.config.ChecksFencing && o.FencingToken < s.fencingToken {
		return engine.ErrFenced
	}
	ref := modelRef{o.Model, o.Adapter, o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		if _, ok := s.loaded[ref]; !ok {
			s.loaded[ref] = time.Now().Add(millis(e.config.LoadModelMillis))
		}
	case engine.OrderUnload:
		s.anyModel = false
		delete(s.loaded, ref)
	case engine.OrderRole:
		s.role = o.Role
	default:
		return errBadRequest
	}
	s.fencingToken = max(s.fencingToken, o.FencingToken)
	s.orders++
	return nil
}

// State returns the engine's loaded models and adapters, its role and its streams.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	s := EngineState{
		Models:       []string{},
		Loading:      []string{},
		Adapters:     []string{},
		Role:         e.orders.role,
		FencingToken: e.orders.fencingToken,
		Streams:      []engine.StreamID{},
		Orders:       e.orders.orders,
	}
	for ref, ready := range e.orders.loaded {
		switch {
		case ready.After(now):
			s.Loading = append(s.Loading, ref.label())
		case ref.adapter != "":
			s.Adapters = append(s.Adapters, ref.label())
		default:
			s.Models = append(s.Models, ref.label())
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
