package node

import (
	"context"
	"errors"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/route"
)

var errOldConfiguration = errors.New("configuration is older than the active one")

// pollConfiguration reads the configuration whenever its confirmation as the newest is too old or
// a peer has seen a newer one, and activates what it reads if it is newer.
func (n *Node) pollConfiguration(ctx context.Context) {
	retry := newRetryBackoff()
	for {
		err := n.readConfiguration(ctx)
		if err == nil {
			retry.Reset()
		} else if !backoff.Pause(ctx, retry.Next()) {
			return
		}
		if !n.waitUntilStale(ctx, n.proxy.ConfirmedAt, n.configurationInterval, n.configurationStale) {
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
	n.confirmRead(requestedAt)
	return nil
}

// confirmRead records that the store held the configuration that was read last at some time after the
// given one. A host that has just started takes its confirmations back if that is older than what a peer has.
func (n *Node) confirmRead(at time.Time) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.configuration.readAt = at
	n.confirmLocked(at, n.configuration.stored)
	if n.configuration.refuted(at) && n.proxy.WithdrawConfirmation() {
		n.Log.Warn().Uint64("generation", uint64(n.configuration.stored)).Uint64("newest", uint64(n.configuration.newest)).
			Int64("started_ms_ago", clock.Now().Sub(n.startedAt).Milliseconds()).Msg("configuration no longer confirmed")
	}
}

// confirmReported records that this host's leader found a generation in the store at some time after the
// given one.
func (n *Node) confirmReported(at time.Time, g fleet.Generation) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.confirmLocked(at, g)
}

func (n *Node) confirmLocked(at time.Time, stored fleet.Generation) {
	if n.configuration.confirmed(at, stored) {
		n.proxy.ConfirmConfiguration(at)
	}
}

// hearGeneration records the generation that a peer has in force, and triggers a read of the store if
// this host lacks it. What this host has read while it waited for a peer is confirmed otherwise.
func (n *Node) hearGeneration(g fleet.Generation) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	awaited := n.configuration.awaitsPeer(clock.Now())
	outdated := n.configuration.heard(g)
	switch {
	case outdated:
		wake(n.configurationStale)
	case awaited:
		n.confirmLocked(n.configuration.readAt, n.configuration.stored)
	}
}

// applyConfiguration activates a configuration if it is newer than the active one. It returns
// errOldConfiguration if it was read at an older store version than another one.
func (n *Node) applyConfiguration(object objectstore.Object) error {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if object.Version == n.configuration.version {
		return nil
	}
	if object.Version < n.configuration.version {
		return errOldConfiguration
	}
	c, err := n.Decode.Configuration(object.Value)
	if err != nil {
		n.Log.Error().Uint64("version", object.Version.Revision()).Err(err).Msg("cannot decode configuration")
		return err
	}
	active := n.configuration.active
	if !n.configuration.read(object.Version, c.Generation) {
		n.logStoredConfiguration(object.Version, c.Generation, active)
		return nil
	}
	now := clock.Now()
	n.balancer.Configure(c)
	n.configureShares(c)
	n.quota.Configure(now, c.Organisations)
	table := route.Compile(c)
	n.proxy.SetTable(table)
	n.origins.SetRoutes(now, table.Destinations())
	n.announceChange()
	n.logInForce(object.Version, c)
	return nil
}

// logInForce logs a configuration that is used from now on, and how many of its routes need no key or take no requests.
func (n *Node) logInForce(version objectstore.Version, c *fleet.Configuration) {
	public, incomplete := 0, 0
	for i := range c.Routes {
		switch r := &c.Routes[i]; {
		case !r.Complete():
			incomplete++
		case r.Public:
			public++
		}
	}
	n.Log.Info().Uint64("generation", uint64(c.Generation)).
		Uint64("era", version.Era()).Uint64("version", version.Revision()).
		Int("routes", len(c.Routes)).Int("public_routes", public).Int("incomplete_routes", incomplete).
		Int("organisations", len(c.Organisations)).Msg("configuration in force")
}

// logStoredConfiguration logs that the store holds a configuration that is older than the active one.
func (n *Node) logStoredConfiguration(version objectstore.Version, stored, active fleet.Generation) {
	if stored == active {
		return
	}
	n.Log.Warn().Uint64("generation", uint64(stored)).Uint64("active", uint64(active)).
		Uint64("era", version.Era()).Uint64("version", version.Revision()).Msg("older configuration in the store ignored")
}

// watchConfiguration applies new configurations as they are written, while this host is a leader
// and has a configuration to start from.
func (n *Node) watchConfiguration(ctx context.Context) {
	if !backoff.Pause(ctx, watchDelay) {
		return
	}
	retry := newRetryBackoff()
	for {
		n.applyMu.Lock()
		from := n.configuration.version
		n.applyMu.Unlock()
		if from == 0 || !n.peers.IsLeader(clock.Now()) {
			if !backoff.Pause(ctx, retryDelay) {
				return
			}
			continue
		}
		if n.watchConfigurationFrom(ctx, from) {
			retry.Reset()
		}
		if !backoff.Pause(ctx, retry.Next()) {
			return
		}
	}
}

// watchConfigurationFrom watches until a call fails or this host is no longer a leader, and reports whether
// a call has succeeded.
func (n *Node) watchConfigurationFrom(ctx context.Context, from objectstore.Version) (responded bool) {
	for n.peers.IsLeader(clock.Now()) {
		events, asOf, err := n.Store.Watch(ctx, objectstore.KindConfiguration, from)
		if err != nil {
			if ctx.Err() == nil {
				n.recordStoreCall("configuration watch", err)
			}
			return responded
		}
		responded = true
		for _, e := range events {
			if e.Deleted || e.Object.Name != n.Decode.ConfigurationName {
				continue
			}
			if err := n.applyConfiguration(e.Object); err != nil && !errors.Is(err, errOldConfiguration) {
				return responded
			}
		}
		from = max(from, asOf)
	}
	return responded
}
