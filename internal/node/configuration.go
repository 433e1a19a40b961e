package node

import (
	"context"
	"errors"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/route"
)

var errOldConfiguration = errors.New("older than the one in force")

// pollConfiguration confirms the newest configuration again and again.
func (n *Node) pollConfiguration(ctx context.Context) {
	for {
		err := n.readConfiguration(ctx)
		if err != nil && pause(ctx, jittered(retryEvery)) {
			continue
		}
		if !n.awaitStale(ctx, n.proxy.ConfirmedAt, n.newConfiguration) {
			return
		}
	}
}

func (n *Node) readConfiguration(ctx context.Context) error {
	asked := clock.Now()
	object, err := n.Store.Get(ctx, objectstore.KindConfiguration, n.Decode.ConfigurationName)
	n.called("configuration", err)
	if err != nil {
		return err
	}
	if err := n.applyConfiguration(object); err != nil {
		return err
	}
	// What was read was the newest at some time after the question was asked.
	n.proxy.ConfirmConfiguration(asked)
	return nil
}

// applyConfiguration puts a configuration in force unless it is not newer.
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
		n.Log.Error().Uint64("version", object.Version).Err(err).Msg("configuration not understood")
		return err
	}
	now := clock.Now()
	n.balancer.Configure(c)
	n.quota.Configure(now, c.Organisations)
	n.proxy.SetTable(route.Compile(c))
	n.appliedVersion = object.Version
	n.announce()
	n.Log.Info().Uint64("generation", uint64(c.Generation)).Uint64("version", object.Version).
		Int("routes", len(c.Routes)).Int("organisations", len(c.Organisations)).Msg("configuration in force")
	return nil
}

// watchConfiguration applies changes as they are made.
func (n *Node) watchConfiguration(ctx context.Context) {
	if !pause(ctx, watchDelay) {
		return
	}
	for {
		n.applyMu.Lock()
		from := n.appliedVersion
		n.applyMu.Unlock()
		if from == 0 || !n.peers.IsLeader(clock.Now()) {
			if !pause(ctx, retryEvery) {
				return
			}
			continue
		}
		n.followConfiguration(ctx, from)
		if !pause(ctx, jittered(retryEvery)) {
			return
		}
	}
}

func (n *Node) followConfiguration(ctx context.Context, from uint64) {
	for n.peers.IsLeader(clock.Now()) {
		events, asOf, err := n.Store.Watch(ctx, objectstore.KindConfiguration, from)
		if err != nil {
			if ctx.Err() == nil {
				n.called("configuration watch", err)
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
