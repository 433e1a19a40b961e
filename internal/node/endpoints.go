package node

import (
	"context"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
)

// pollEndpoints confirms the list of endpoints again and again.
func (n *Node) pollEndpoints(ctx context.Context) {
	for {
		_, err := n.listEndpoints(ctx)
		if err != nil && pause(ctx, jittered(retryEvery)) {
			continue
		}
		if !n.awaitStale(ctx, n.endpoints.ConfirmedAt, n.newEndpoints) {
			return
		}
	}
}

func (n *Node) listEndpoints(ctx context.Context) (uint64, error) {
	asked := clock.Now()
	objects, asOf, err := n.Store.List(ctx, objectstore.KindEndpoint)
	n.called("endpoints", err)
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
	n.endpoints.Confirm(asked)
	n.endpointsChanged(changes)
	return asOf, nil
}

func (n *Node) decodeEndpoint(o objectstore.Object) (registry.Entry, bool) {
	e, err := n.Decode.Endpoint(o.Name, o.Value)
	if err != nil {
		n.malformed.note(n.Log, o.Name, o.Version, err)
		return registry.Entry{}, false
	}
	return registry.Entry{Endpoint: e, Version: o.Version}, true
}

// settleEndpoints removes endpoints that are still missing some time after the store's return.
func (n *Node) settleEndpoints(ctx context.Context) {
	for pause(ctx, settleEvery) {
		n.endpointsChanged(n.endpoints.RemoveMissing(clock.Now()))
	}
}

// watchEndpoints takes in changes as they are made.
func (n *Node) watchEndpoints(ctx context.Context) {
	if !pause(ctx, watchDelay) {
		return
	}
	for {
		if n.peers.IsLeader(clock.Now()) {
			from, err := n.listEndpoints(ctx)
			if err == nil {
				n.followEndpoints(ctx, from)
			}
		}
		if !pause(ctx, jittered(retryEvery)) {
			return
		}
	}
}

func (n *Node) followEndpoints(ctx context.Context, from uint64) {
	for n.peers.IsLeader(clock.Now()) {
		events, asOf, err := n.Store.Watch(ctx, objectstore.KindEndpoint, from)
		if err != nil {
			if ctx.Err() == nil {
				n.called("endpoint watch", err)
				n.endpoints.StoreFailed()
			}
			return
		}
		n.endpoints.StoreAnswered(clock.Now())
		for _, e := range events {
			n.endpointsChanged(n.takeEndpoint(e, asOf))
		}
		from = max(from, asOf)
		if len(events) > 0 && !pause(ctx, watchGap) {
			return
		}
	}
}

func (n *Node) takeEndpoint(e objectstore.Event, asOf uint64) []registry.Change {
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

// endpointsChanged logs the changes and has requests placed accordingly.
func (n *Node) endpointsChanged(changes []registry.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		n.Log.Info().Str("endpoint", c.Endpoint.ID).Str("fleet", c.Endpoint.Fleet).
			Str("change", string(c.Kind)).Str("address", c.Endpoint.Address).
			Str("data_centre", c.Endpoint.DataCentre).Bool("reclaimable", c.Endpoint.Reclaimable).
			Int64("leaves_in_ms", c.Endpoint.LeavesIn.Milliseconds()).
			Uint64("version", c.Version).Msg("endpoint changed")
	}
	n.balancer.SetEndpoints(n.endpoints.Known())
	n.announce()
}
