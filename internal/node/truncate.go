package node

import (
	"cmp"
	"errors"
	"slices"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/heartbeat"
)

// encodeWithinLimit encodes a message. If it does not fit into a datagram, it leaves out what the receivers
// can best do without, and says what that is.
func encodeWithinLimit(d heartbeat.Datagram) (encoded []byte, dropped string, err error) {
	encoded, err = peerudp.Encode(d)
	for _, t := range truncations {
		if !errors.Is(err, peerudp.ErrTooLarge) {
			break
		}
		d, dropped = t.apply(d), t.name
		encoded, err = peerudp.Encode(d)
	}
	return encoded, dropped, err
}

// truncation leaves out a part of a message, in addition to those before it in truncations.
type truncation struct {
	name  string
	apply func(heartbeat.Datagram) heartbeat.Datagram
}

// truncations are ordered by what their loss costs the receivers. Without the changes to endpoints, each
// follower has to read the whole list from the store, so those go last.
var truncations = []truncation{
	{"prefills", withoutPrefills},
	{"loads of the less busy endpoints", withLoads(1000)},
	{"shares of organisations", withoutShares},
	{"loads of most endpoints", withLoads(250)},
	{"slowness of endpoints", withoutSpeeds},
	{"rate limits of endpoints", withoutLimits},
	{"requests that crash endpoints", withoutQuarantine},
	{"origins of streams", withoutOrigins},
	{"changes to endpoints", withoutEndpointChanges},
}

func withoutSpeeds(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(r *heartbeat.Report) { r.Speeds = nil }, func(g *heartbeat.Digest) { g.Speeds = nil })
}

func withoutLimits(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(r *heartbeat.Report) { r.LimitedEndpoints = nil }, func(g *heartbeat.Digest) { g.LimitedEndpoints = nil })
}

func withoutShares(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(r *heartbeat.Report) { r.Shares = nil }, func(g *heartbeat.Digest) { g.Shares = nil })
}

func withoutQuarantine(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(r *heartbeat.Report) { r.Quarantine = nil }, func(g *heartbeat.Digest) { g.Quarantine = nil })
}

func withoutOrigins(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(r *heartbeat.Report) { r.Origins = nil }, func(g *heartbeat.Digest) { g.Origins = nil })
}

func withoutPrefills(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(r *heartbeat.Report) { r.Prefills = nil }, func(g *heartbeat.Digest) { g.Prefills = nil })
}

// withLoads keeps the loads of the n endpoints with the most requests.
func withLoads(n int) func(heartbeat.Datagram) heartbeat.Datagram {
	return func(d heartbeat.Datagram) heartbeat.Datagram {
		return edited(d,
			func(r *heartbeat.Report) { r.Loads = busiest(r.Loads, n) },
			func(g *heartbeat.Digest) { g.Loads = busiest(g.Loads, n) })
	}
}

func withoutEndpointChanges(d heartbeat.Datagram) heartbeat.Datagram {
	return edited(d, func(*heartbeat.Report) {}, func(g *heartbeat.Digest) {
		g.Endpoints.Changes = nil
		g.Endpoints.Since = g.Endpoints.AsOf
	})
}

// edited returns a copy of a message after an edit of its report or its digest.
func edited(d heartbeat.Datagram, report func(*heartbeat.Report), digest func(*heartbeat.Digest)) heartbeat.Datagram {
	if d.Report != nil {
		r := *d.Report
		report(&r)
		return heartbeat.Datagram{Report: &r}
	}
	g := *d.Digest
	digest(&g)
	return heartbeat.Datagram{Digest: &g}
}

// busiest returns the loads of the n endpoints with the most requests.
func busiest(loads []balancer.Load, n int) []balancer.Load {
	if len(loads) <= n {
		return loads
	}
	sorted := slices.SortedFunc(slices.Values(loads), func(a, b balancer.Load) int { return cmp.Compare(b.InFlight, a.InFlight) })
	return sorted[:n]
}
