package node

import (
	"context"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/backpressure"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
)

// pollEndpoints reads the list of endpoints whenever its confirmation as the newest is too old or
// a peer has seen a newer one.
func (n *Node) pollEndpoints(ctx context.Context) {
	retry := newRetryBackoff()
	for {
		_, err := n.listEndpoints(ctx)
		if err == nil {
			retry.Reset()
		} else if !backoff.Pause(ctx, retry.Next()) {
			return
		}
		if !n.waitUntilStale(ctx, n.endpoints.ConfirmedAt, n.endpointsInterval, n.endpointsStale) {
			return
		}
	}
}

func (n *Node) listEndpoints(ctx context.Context) (objectstore.Version, error) {
	requestedAt := clock.Now()
	objects, asOf, err := n.Store.List(ctx, objectstore.KindEndpoint)
	n.recordStoreCall("endpoints", err)
	if err != nil {
		n.endpoints.StoreFailed()
		return 0, err
	}
	entries := make([]registry.Entry, 0, len(objects))
	for _, o := range objects {
		if e, ok := n.decodeEndpoint(o); ok {
			entries = append(entries, e)
		}
	}
	now := clock.Now()
	changes := n.endpoints.Replace(now, entries, asOf)
	n.endpoints.Confirm(requestedAt)
	n.endpointsChanged(changes)
	n.confirmOrigins()
	return asOf, nil
}

func (n *Node) decodeEndpoint(o objectstore.Object) (registry.Entry, bool) {
	e, err := n.Decode.Endpoint(o.Name, o.Value)
	if err != nil {
		n.malformed.logOnce(n.Log, o.Name, o.Version, err)
		return registry.Entry{}, false
	}
	return registry.Entry{Endpoint: e, Version: o.Version}, true
}

// removeMissingEndpoints removes endpoints that are still missing some time after a store
// outage.
func (n *Node) removeMissingEndpoints(ctx context.Context) {
	for backoff.Pause(ctx, missingCheckInterval) {
		n.endpointsChanged(n.endpoints.RemoveMissing(clock.Now()))
	}
}

// watchEndpoints applies changes to endpoints as they are written, while this host is a leader.
func (n *Node) watchEndpoints(ctx context.Context) {
	if !backoff.Pause(ctx, watchDelay) {
		return
	}
	n.watchAsLeader(ctx, n.listEndpoints, n.watchEndpointsFrom)
}

// watchEndpointsFrom watches until a call fails or this host is no longer a leader, and reports whether a
// call has succeeded.
func (n *Node) watchEndpointsFrom(ctx context.Context, from objectstore.Version) (responded bool) {
	for n.peers.IsLeader(clock.Now()) {
		events, asOf, err := n.Store.Watch(ctx, objectstore.KindEndpoint, from)
		if err != nil {
			if ctx.Err() == nil {
				n.recordStoreCall("endpoint watch", err)
				n.endpoints.StoreFailed()
			}
			return responded
		}
		responded = true
		n.endpoints.StoreResponded(clock.Now())
		var changes []registry.Change
		for _, e := range events {
			changes = append(changes, n.applyEndpointEvent(e, asOf)...)
		}
		n.endpointsChanged(changes)
		from = max(from, asOf)
		if len(events) > 0 && !backoff.Pause(ctx, watchPause) {
			return responded
		}
	}
	return responded
}

func (n *Node) applyEndpointEvent(e objectstore.Event, asOf objectstore.Version) []registry.Change {
	now := clock.Now()
	if e.Deleted {
		return n.endpoints.Delete(now, e.Object.Name, max(asOf, e.Object.Version))
	}
	entry, ok := n.decodeEndpoint(e.Object)
	if !ok {
		return nil
	}
	return n.endpoints.Put(now, entry)
}

// endpointsChanged logs changes, passes the new list of endpoints to the balancer, and announces
// the change to the followers. It does nothing if there are no changes.
func (n *Node) endpointsChanged(changes []registry.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Kind == registry.ChangeAdded {
			// It may be gone again from the list.
			n.origins.SawVersion(clock.Now(), c.Endpoint.Fleet, c.Endpoint.Version)
		}
		n.Log.Info().Str("endpoint", c.Endpoint.ID).Str("fleet", c.Endpoint.Fleet).
			Str("change", string(c.Kind)).Str("address", c.Endpoint.Address).Str("endpoint_version", c.Endpoint.Version).
			Str("data_centre", c.Endpoint.DataCentre).Bool("reclaimable", c.Endpoint.Reclaimable).
			Int64("leaves_in_ms", c.Endpoint.LeavesIn.Milliseconds()).
			Uint64("version", c.Version.Revision()).Msg("endpoint changed")
	}
	n.setEndpoints()
	n.announceChange()
}

// confirmOrigins tells the origins which endpoints there are, and when that was last known to be the newest.
func (n *Node) confirmOrigins() {
	n.setEndpointsMu.Lock()
	defer n.setEndpointsMu.Unlock()
	// Read before the list, which may only be newer than that.
	confirmedAt := n.endpoints.ConfirmedAt()
	n.origins.SetEndpoints(clock.Now(), n.endpoints.Known())
	n.origins.Confirm(confirmedAt)
}

// setEndpoints passes the list of endpoints to the balancer. Lists are passed in the order in which they are read.
func (n *Node) setEndpoints() {
	n.setEndpointsMu.Lock()
	defer n.setEndpointsMu.Unlock()
	known := n.endpoints.Known()
	n.balancer.SetEndpoints(known)
	n.origins.SetEndpoints(clock.Now(), known)
	n.setRolloutEndpoints(known)
	listed := make([]backpressure.Instance, 0, len(known))
	for i := range known {
		listed = append(listed, balancer.InstanceOf(&known[i].Endpoint))
	}
	n.signals.Retain(listed)
}

// knownEndpoints returns the listed endpoints. Those that have told a host that they leave are leaving,
// whatever the store says of them.
func (n *Node) knownEndpoints() []registry.Known {
	known := n.endpoints.Known()
	for i := range known {
		e := &known[i].Endpoint
		e.Leaving = e.Leaving || n.signals.IsLeaving(balancer.InstanceOf(e))
	}
	return known
}

// applyLeavingReports records and logs which endpoints another host reports to leave, and passes them on.
func (n *Node) applyLeavingReports(now time.Time, from string, reports []backpressure.LeavingReport) {
	unknown := n.signals.ApplyReports(now, reports)
	for _, l := range unknown {
		n.Log.Info().Str("endpoint", l.ID).Str("address", l.Address).Str("peer", from).
			Str("source", l.Source).Int64("age_ms", l.AgeMillis).Msg("endpoint said to a peer that it leaves")
	}
	if len(unknown) > 0 {
		n.announceChange()
	}
}

// applyLimitReports records and logs which rate limits of endpoints another host reports, and passes them on.
func (n *Node) applyLimitReports(now time.Time, from string, reports []backpressure.LimitReport) {
	news := n.signals.ApplyLimitReports(now, reports)
	for _, l := range news {
		n.Log.Info().Str("endpoint", l.ID).Str("peer", from).Bool("limited", !l.Ended).
			Float64("per_second", l.PerSecond).Int64("age_ms", l.AgeMillis).Msg("endpoint stated a rate limit to a peer")
	}
	if len(news) > 0 {
		n.announceChange()
	}
}
