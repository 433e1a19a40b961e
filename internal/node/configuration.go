package node

import (
	"context"
	"errors"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/route"
)

var errOldConfiguration = errors.New("configuration is older than the active one")

// pollConfiguration reads the configuration whenever its confirmation as the newest is too old or
// a peer has seen a newer one, and activates what it reads if it is newer.
func (n *Node) pollConfiguration(ctx context.Context) {
	for {
		err := n.readConfiguration(ctx)
		if err != nil && pause(ctx, jittered(retryDelay)) {
			continue
		}
		if !n.waitUntilStale(ctx, n.proxy.ConfirmedAt, n.configurationStale) {
			return
		}
	}
}

func (n *Node) readConfiguration(ctx context.Context) error {
	requestedAt := clock.Now()
	object, err := n.Store.Get(ctx, objectstore.KindConfiguration, n.Decode.ConfigurationName)
	n.recordStoreCall("configuration", err)
	if err != nil {
		return err
	}
	if err := n.applyConfiguration(object); err != nil {
		return err
	}
	// The configuration that was read was the newest at some time after the request was sent.
	n.proxy.ConfirmConfiguration(requestedAt)
	return nil
}

// applyConfiguration activates a configuration if it is newer than the active one. It returns
// errOldConfiguration if it is older, and nil if it is the active one.
func (n *Node) applyConfiguration(object objectstore.Object) error {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if object.Version <= n.appliedVersion {
		if object.Version == n.appliedVersion {
			return nil
		}
		return errOldConfiguration
	}
	c, err := n.Decode.Configuration(object.Value)
	if err != nil {
		n.Log.Error().Uint64("version", object.Version).Err(err).Msg("cannot decode configuration")
		return err
	}
	now := clock.Now()
	n.balancer.Configure(c)
	n.quota.Configure(now, c.Organisations)
	n.proxy.SetTable(route.Compile(c))
	n.appliedVersion = object.Version
	n.announceChange()
	n.Log.Info().Uint64("generation", uint64(c.Generation)).Uint64("version", object.Version).
		Int("routes", len(c.Routes)).Int("organisations", len(c.Organisations)).Msg("configuration in force")
	return nil
}

// watchConfiguration applies new configurations as they are written, while this host is a leader
// and has a configuration to start from.
func (n *Node) watchConfiguration(ctx context.Context) {
	if !pause(ctx, watchDelay) {
		return
	}
	for {
		n.applyMu.Lock()
		from := n.appliedVersion
		n.applyMu.Unlock()
		if from == 0 || !n.peers.IsLeader(clock.Now()) {
			if !pause(ctx, retryDelay) {
				return
			}
			continue
		}
		n.watchConfigurationFrom(ctx, from)
		if !pause(ctx, jittered(retryDelay)) {
			return
		}
	}
}

func (n *Node) watchConfigurationFrom(ctx context.Context, from uint64) {
	for n.peers.IsLeader(clock.Now()) {
		events, asOf, err := n.Store.Watch(ctx, objectstore.KindConfiguration, from)
		if err != nil {
			if ctx.Err() == nil {
				n.recordStoreCall("configuration watch", err)
			}
			return
		}
		for _, e := range events {
			if e.Deleted || e.Object.Name != n.Decode.ConfigurationName {
				continue
			}
			if err := n.applyConfiguration(e.Object); err != nil && !errors.Is(err, errOldConfiguration) {
				return
			}
		}
		from = max(from, asOf)
	}
}
