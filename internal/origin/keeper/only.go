package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
	"rattanchute/internal/route"
)

const (
	// onlyName is the name of the object that says which fleets have had one version for longer than streams may
	// be resumed.
	onlyName = "only"
	// onlyInterval is the time between two writes of it. It has to be much shorter than the history of the
	// store.
	onlyInterval = 5 * time.Second
	// minReplayTimeout and maxReplayTimeout bound a read of the changes to endpoints.
	minReplayTimeout = 400 * time.Millisecond
	maxReplayTimeout = 3200 * time.Millisecond
	// maxReplays bounds the calls that read all changes.
	maxReplays = 20
)

// onlyText is the stored form of the fleets that have had one version.
type onlyText struct {
	// AsOf is the version of the list of endpoints that shows it.
	AsOf objectstore.Version `json:"as_of"`
	// Versions are those of the fleets.
	Versions map[string]string `json:"versions"`
	// Destinations are those of routes that have been in force for longer than streams may be resumed.
	Destinations []route.Destination `json:"destinations,omitempty"`
}

// writeOnly stores which fleets have had one version for longer than streams may be resumed, for hosts that all
// start at the same time. Nothing is written without such fleets, or if no streams have begun lately.
func (k *Keeper) writeOnly(ctx context.Context) error {
	if !k.Sweeps() || !k.Table.HasStreams(k.Now()) {
		return nil
	}
	asOf, known := k.Endpoints()
	text := onlyText{AsOf: asOf, Versions: k.Table.OnlyVersions(k.Now()), Destinations: k.Table.CertainDestinations(k.Now())}
	// The list may be newer than what the table was told of.
	removeOthers(text.Versions, known)
	if asOf == 0 || len(text.Versions) == 0 {
		return nil
	}
	value, err := json.Marshal(text)
	if err != nil {
		return err
	}
	return k.put(ctx, onlyName, value)
}

// removeOthers removes the fleets that have an endpoint of another version.
func removeOthers(versions map[string]string, endpoints []registry.Endpoint) {
	for _, e := range endpoints {
		if v, found := versions[e.Fleet]; found && v != e.Version {
			delete(versions, e.Fleet)
		}
	}
}

// put creates or replaces an object. Another host may replace it at the same time.
func (k *Keeper) put(ctx context.Context, name string, value json.RawMessage) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := k.Store.Get(call, objectstore.KindOrigins, name)
	k.observe(ctx, err)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		_, err = k.Store.Create(call, objectstore.KindOrigins, name, value)
	case err == nil:
		o.Value = value
		_, err = k.Store.Update(call, o)
	default:
		return err
	}
	k.observe(ctx, err)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}

// loadOnly learns which fleets have had one version for longer than streams may be resumed: those of which that
// is stored, without those that have had an endpoint of another one since. If the store no longer has all
// changes since, nothing is known.
func (k *Keeper) loadOnly(ctx context.Context, value json.RawMessage) {
	var text onlyText
	if err := json.Unmarshal(value, &text); err != nil {
		k.Log.Warn().Str("object", onlyName).Err(err).Msg("stored origins cannot be read")
		return
	}
	versions := maps.Clone(text.Versions)
	if text.AsOf == 0 || len(versions) == 0 || !k.awaitEndpoints(ctx) {
		return
	}
	err := k.replay(ctx, objectstore.KindEndpoint, text.AsOf, func(o objectstore.Object) (more bool) {
		if endpoint, ok := k.DecodeEndpoint(o); ok {
			removeOthers(versions, []registry.Endpoint{endpoint})
		}
		return len(versions) > 0
	})
	k.Log.Info().Uint64("as_of", text.AsOf.Revision()).Int("stored", len(text.Versions)).Int("unchanged", len(versions)).
		Err(err).Msg("stored versions of fleets read")
	if err != nil {
		return
	}
	for fleet, version := range versions {
		k.Table.AddOnly(k.Now(), fleet, version)
	}
	k.loadDestinations(ctx, text)
}

// loadDestinations learns which destinations of routes have been in force for longer than streams may be resumed: those of which that
// is stored and that each configuration since has.
func (k *Keeper) loadDestinations(ctx context.Context, text onlyText) {
	destinations := text.Destinations
	if k.DecodeDestinations == nil || len(destinations) == 0 {
		return
	}
	err := k.replay(ctx, objectstore.KindConfiguration, text.AsOf, func(o objectstore.Object) (more bool) {
		if next, ok := k.DecodeDestinations(o); ok {
			destinations = slices.DeleteFunc(destinations, func(l route.Destination) bool { return !slices.Contains(next, l) })
		}
		return len(destinations) > 0
	})
	k.Log.Info().Int("stored", len(text.Destinations)).Int("unchanged", len(destinations)).Err(err).Msg("stored destinations of routes read")
	if err == nil {
		k.Table.AddDestinations(k.Now(), destinations)
	}
}

// awaitEndpoints waits for the list of endpoints. What changes after that, this host sees. It returns false if
// the context ends.
func (k *Keeper) awaitEndpoints(ctx context.Context) bool {
	for asOf, _ := k.Endpoints(); asOf == 0; asOf, _ = k.Endpoints() {
		if !backoff.Pause(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// errManyChanges means that there were too many changes to read them all.
var errManyChanges = errors.New("origin keeper: too many changes")

// replay reads the objects of a kind that were written since a version, and passes them on until that wants no more. It
// repeats calls that are not answered.
func (k *Keeper) replay(
	ctx context.Context, kind objectstore.Kind, after objectstore.Version, written func(objectstore.Object) (more bool),
) error {
	timeout := minReplayTimeout
	for range maxReplays {
		events, next, err := k.changes(ctx, kind, after, timeout)
		switch {
		case errors.Is(err, objectstore.ErrCompacted) || ctx.Err() != nil:
			return err
		case err != nil:
			timeout = min(2*timeout, maxReplayTimeout)
			if !backoff.Pause(ctx, minRetry) {
				return ctx.Err()
			}
			continue
		case len(events) == 0:
			return nil
		}
		for _, e := range events {
			// What was there before is known, so that deletions show no other version.
			if !e.Deleted && !written(e.Object) {
				return nil
			}
		}
		after = max(after, next)
	}
	return errManyChanges
}

func (k *Keeper) changes(
	ctx context.Context, kind objectstore.Kind, after objectstore.Version, timeout time.Duration,
) ([]objectstore.Event, objectstore.Version, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	events, next, err := k.Store.Watch(call, kind, after)
	if !errors.Is(err, objectstore.ErrCompacted) {
		k.observe(ctx, err)
	}
	return events, next, err
}
