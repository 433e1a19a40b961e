package app

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"rattanchute/internal/claim"
	"rattanchute/internal/membership"
)

// writerSeparator separates the daemon's name from its incarnation in a writer name.
const writerSeparator = "/"

func (a *App) buildClaims() error {
	self := a.gossip.Self()
	metrics := new(claim.Metrics)
	if err := metrics.Register(a.registry); err != nil {
		return fmt.Errorf("claims' metrics: %w", err)
	}
	a.claims = claim.NewService(claim.Config{
		Member:      self.Name,
		Writer:      writerName(self),
		Store:       a.store,
		Owner:       a.shardOwner,
		Forward:     claimForwarder{a},
		WriterEnded: a.writerEnded,
		Metrics:     metrics,
		Logger:      a.log,
	})
	return nil
}

func (a *App) shardOwner(shard int) string {
	owner, ok := a.gossip.Owner(membership.Duty("claims-" + strconv.Itoa(shard)))
	if !ok {
		return a.settings.Node
	}
	return owner.Name
}

func writerName(m membership.Member) string {
	return m.Name + writerSeparator + strconv.FormatUint(m.Incarnation, 10)
}

// writerEnded reports whether the incarnation of a daemon that wrote a claim has ended:
// either a later incarnation of the same name is known, or no daemon of this name is live.
// The result only decides whether a caller gets "in progress" or "unknown"; neither makes
// a call run again.
func (a *App) writerEnded(writer string) bool {
	name, text, ok := strings.Cut(writer, writerSeparator)
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil {
		return false
	}
	for _, m := range a.gossip.Members() {
		if m.Name == name {
			return m.Incarnation > incarnation
		}
	}
	return true
}

// claimForwarder sends claim operations to the daemon that owns their shard.
type claimForwarder struct {
	app *App
}

// Forward implements claim.Forwarder.
func (f claimForwarder) Forward(ctx context.Context, owner string, op claim.Op) (claim.Result, error) {
	for _, m := range f.app.gossip.Members() {
		if m.Name != owner {
			continue
		}
		var result claim.Result
		err := f.app.peerHTTP.Post(ctx, m.Address, pathClaim, op, &result)
		return result, err
	}
	return claim.Result{}, fmt.Errorf("claims: owner %s is not a live member", owner)
}
