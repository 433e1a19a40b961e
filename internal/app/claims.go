package app

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"rattanchute/internal/claim"
	"rattanchute/internal/membership"
)

// writerSeparator stands between a daemon's name and its incarnation.
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
		Owner:       a.claimOwner,
		Forward:     claimForwarder{a},
		WriterEnded: a.writerGone,
		Metrics:     metrics,
		Logger:      a.log,
	})
	return nil
}

func (a *App) claimOwner(shard int) string {
	owner, ok := a.gossip.Owner(membership.Duty("claims-" + strconv.Itoa(shard)))
	if !ok {
		return a.settings.Node
	}
	return owner.Name
}

func writerName(m membership.Member) string {
	return m.Name + writerSeparator + strconv.FormatUint(m.Incarnation, 10)
}

// writerGone tells whether the run of a daemon has ended: a later run of the same name
// is known, or the daemon is not live any more. The answer only decides between
// "in progress" and "unknown"; neither runs a call again.
func (a *App) writerGone(writer string) bool {
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

// claimForwarder sends operations to the owner of their shard.
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
		err := f.app.peerCall.Post(ctx, m.Address, pathClaim, op, &result)
		return result, err
	}
	return claim.Result{}, fmt.Errorf("claims: owner %s is not a live member", owner)
}
