package app

import (
	"context"
	"fmt"
	"time"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/route"
)

// Version is the version of the running program. It is set by the linker in releases.
var Version = "dev"

// explainPromptTokens is the prompt size that Explain assumes.
const explainPromptTokens = 256

// backend implements operators.Backend for the daemon.
type backend struct {
	app     *App
	started time.Time
}

// Configuration implements operators.Backend. It returns the error of the store only if no
// configuration is in force that it could return instead. Whether the store could be read decides
// what Status reports about the platform.
func (b *backend) Configuration(ctx context.Context) (api.Configuration, error) {
	stored, err := configstore.Read(ctx, b.app.store)
	if err == nil {
		b.app.state.setPlatformReachable(true)
		return api.Configuration{Generation: stored.Generation, Text: stored.Text}, nil
	}
	b.app.state.setPlatformReachable(false)
	generation, text := b.app.gossip.Configuration()
	if generation == 0 {
		return api.Configuration{}, err
	}
	return api.Configuration{Generation: generation, Text: string(text)}, nil
}

// Apply implements operators.Backend. It passes an accepted change to gossip, so that it is
// put in force on this daemon and reaches the peers without waiting for a watch of the
// store.
func (b *backend) Apply(ctx context.Context, c configstore.Change) (configstore.Accepted, error) {
	accepted, err := configstore.Accept(ctx, b.app.store, c, time.Now())
	if err != nil {
		return configstore.Accepted{}, err
	}
	b.app.log.Info().Str("operator", c.Operator).Uint64("from", uint64(accepted.Entry.From)).
		Uint64("to", uint64(accepted.Entry.To)).Msg("configuration accepted")
	b.app.gossip.ObserveConfiguration(accepted.Entry.To, []byte(c.Text))
	return accepted, nil
}

// Audit implements operators.Backend.
func (b *backend) Audit(ctx context.Context, limit int) ([]configstore.Entry, error) {
	return configstore.AuditTrail(ctx, b.app.store, limit)
}

// Status implements operators.Backend.
func (b *backend) Status() api.Status {
	ready, reason := b.app.ready()
	generation, _ := b.app.gossip.Configuration()
	return api.Status{
		Node:              b.app.settings.Node,
		DataCentre:        b.app.settings.DataCentre,
		Region:            b.app.settings.Region,
		Version:           Version,
		Generation:        generation,
		Ready:             ready,
		Draining:          b.app.state.draining.Load(),
		NotReady:          reason,
		OpenRequests:      b.app.service.InFlight(),
		OpenStreams:       b.app.service.OpenStreams(),
		PlatformReachable: !b.app.state.platformDown.Load(),
		StartedAt:         b.started,
	}
}

// Quarantines implements operators.Backend.
func (b *backend) Quarantines() api.Quarantines {
	list := api.Quarantines{Quarantines: []api.Quarantine{}}
	for _, e := range b.app.quarantine.Entries(time.Now()) {
		list.Quarantines = append(list.Quarantines, api.Quarantine{
			Fleet: e.Fleet, Parts: e.Parts, Fingerprint: e.Fingerprint,
			Crashes: e.Crashes, LastCrash: e.LastCrash, ProbeAt: e.ProbeAt(),
		})
	}
	return list
}

// Release implements operators.Backend. The other daemons are told of it as they are of a complete response.
func (b *backend) Release(operator string, r api.ReleaseRequest) {
	b.app.quarantine.Release(time.Now(), quarantine.Request{Fleet: r.Fleet, Parts: r.Parts, Fingerprint: r.Fingerprint})
	b.app.log.Warn().Str("operator", operator).Str("fleet", r.Fleet).Strs("parts", r.Parts).
		Str("fingerprint", r.Fingerprint).Msg("quarantine released by an operator")
}

// Explain implements operators.Backend.
func (b *backend) Explain(r api.ExplainRequest) api.Explanation {
	table := b.app.router.Table()
	target, ok := fleetFor(table, r)
	e := api.Explanation{Generation: table.Generation(), Fleet: target.Name}
	if !ok {
		e.Refused = "no fleet serves this model or path to the organisation"
		return e
	}
	e.Idempotent = target.Kind == fleet.FleetModel || table.Idempotent(r.Method, r.Path)
	decision := b.app.router.Explain(time.Now(), route.Query{
		Organisation: r.Organisation,
		Fleet:        target.Name,
		PromptTokens: explainPromptTokens,
	})
	e.Refused = decision.Error
	e.Chosen = decision.Choice.Endpoint.Name
	for _, d := range decision.Endpoints {
		e.Endpoints = append(e.Endpoints, newDecision(d))
	}
	return e
}

func fleetFor(table *route.Table, r api.ExplainRequest) (fleet.Fleet, bool) {
	if r.Model != "" {
		return table.FleetForModel(r.Organisation, r.Model)
	}
	return table.FleetForPath(r.Path)
}

func newDecision(d route.EndpointDecision) api.EndpointDecision {
	return api.EndpointDecision{
		Endpoint:                 d.Endpoint,
		DataCentre:               d.DataCentre,
		Priority:                 d.Priority,
		Reason:                   string(d.Reason),
		ExpectedFirstTokenMillis: float64(d.ExpectedFirstToken) / float64(time.Millisecond),
		Load:                     d.Load,
		CachedTokens:             d.CachedTokens,
		PricePerHourMilli:        d.PricePerHour,
	}
}

// ready reports whether the load balancer should send requests to this daemon and, if not,
// the reason.
func (a *App) ready() (bool, string) {
	if a.state.draining.Load() {
		return false, "draining"
	}
	select {
	case <-a.gossip.Ready():
	default:
		return false, "neither the platform nor a peer has been heard"
	}
	if a.router.Table().Generation() == 0 {
		return false, fmt.Sprintf("no configuration is in force on %s", a.settings.Node)
	}
	return true, ""
}
