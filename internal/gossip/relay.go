package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/backoff"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// Timing of calls to the platform.
const (
	// relayCheckInterval is how often a node checks whether it has become a relay.
	relayCheckInterval = time.Second
	minBackoff         = 200 * time.Millisecond
	maxBackoff         = 5 * time.Second
	// platformTimeout bounds a list, the deletion of a stale member object, and all calls of one
	// attempt to write this node's member object together.
	platformTimeout = 5 * time.Second
	// watchTimeout bounds a watch, which blocks until something changes.
	watchTimeout = 60 * time.Second
)

// StoredConfiguration is the value of an objectstore.KindConfiguration object.
type StoredConfiguration struct {
	Generation fleet.Generation `json:"generation"`
	Text       string           `json:"text"`
}

// DecodeConfiguration decodes a StoredConfiguration.
func DecodeConfiguration(o objectstore.Object) (fleet.Generation, []byte, error) {
	var c StoredConfiguration
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return 0, nil, fmt.Errorf("configuration object %s: %w", o.Name, err)
	}
	return c.Generation, []byte(c.Text), nil
}

// IsRelay reports whether this node watches a kind of object on behalf of the others; see
// StateMachine.IsRelay.
func (r *Runner) IsRelay(kind objectstore.Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.IsRelay(kind)
}

// relayLoop lists and watches a kind while this node is a relay for it.
func (r *Runner) relayLoop(kind objectstore.Kind, handle func(objectstore.Event)) {
	wait := backoff.Backoff{Min: minBackoff, Max: maxBackoff}
	for r.ctx.Err() == nil {
		if !r.IsRelay(kind) {
			r.sleep(relayCheckInterval)
			continue
		}
		version, err := r.list(kind, handle)
		if err != nil {
			r.sleep(wait.Next())
			continue
		}
		wait.Reset()
		r.watch(kind, version, handle)
	}
}

// list reads all objects of a kind, passes them to handle, and returns the store version of the
// list.
func (r *Runner) list(kind objectstore.Kind, handle func(objectstore.Event)) (objectstore.Version, error) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	objects, version, err := r.settings.Store.List(ctx, kind)
	r.countCall(kind, err)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", kind, err)
	}
	r.runStep(func(now time.Time) Output { return r.machine.ObservePlatform(now) })
	for _, o := range objects {
		handle(objectstore.Event{Object: o})
	}
	return version, nil
}

// watch processes the events of a kind until this node is no longer a relay or the watch has to
// start over from a list.
func (r *Runner) watch(kind objectstore.Kind, version objectstore.Version, handle func(objectstore.Event)) {
	wait := backoff.Backoff{Min: minBackoff, Max: maxBackoff}
	for r.ctx.Err() == nil && r.IsRelay(kind) {
		events, next, err := r.watchOnce(kind, version)
		if errors.Is(err, objectstore.ErrCompacted) {
			return
		}
		if err != nil {
			r.sleep(wait.Next())
			continue
		}
		wait.Reset()
		version = next
		for _, e := range events {
			handle(e)
		}
	}
}

func (r *Runner) watchOnce(kind objectstore.Kind, version objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	ctx, cancel := context.WithTimeout(r.ctx, watchTimeout)
	defer cancel()
	events, next, err := r.settings.Store.Watch(ctx, kind, version)
	r.countCall(kind, err)
	return events, next, err
}

// readInitialConfiguration reads the configuration once at startup, without waiting to become a
// relay. It stops trying once the node is ready through its peers.
func (r *Runner) readInitialConfiguration() {
	wait := backoff.Backoff{Min: minBackoff, Max: maxBackoff}
	for r.ctx.Err() == nil {
		if _, err := r.list(objectstore.KindConfiguration, r.handleConfiguration); err == nil {
			return
		}
		select {
		case <-r.ready:
			return
		default:
		}
		r.sleep(wait.Next())
	}
}

func (r *Runner) handleConfiguration(e objectstore.Event) {
	if e.Deleted {
		return
	}
	generation, text, err := r.settings.DecodeConfiguration(e.Object)
	if err != nil {
		log.Error().Err(err).Msg("gossip: cannot decode configuration object")
		return
	}
	r.ObserveConfiguration(generation, text)
}

// handleHost processes a host object. A deleted object means that this run of the host is gone;
// a host that is merely missing from a list is not assumed to be gone.
func (r *Runner) handleHost(e objectstore.Event) {
	var s fleet.HostState
	if err := json.Unmarshal(e.Object.Value, &s); err != nil {
		if !e.Deleted {
			log.Error().Err(err).Str("object", e.Object.Name).Msg("gossip: cannot decode host object")
		}
		return
	}
	if e.Deleted {
		s.Phase = fleet.PhaseGone
	}
	r.ObserveHostState(s)
}

func (r *Runner) countCall(kind objectstore.Kind, err error) {
	r.metrics.platform.WithLabelValues(string(kind), resultLabel(err)).Inc()
}

func (r *Runner) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
	}
}
