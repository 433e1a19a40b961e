package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/backoff"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/fleet"
)

const (
	// shareInterval is how often the room of fleets is shared out between organisations, and maxShareInterval the
	// longest time between two times.
	shareInterval    = 100 * time.Millisecond
	maxShareInterval = 500 * time.Millisecond
	// sharePauses is how much longer than it takes the pause after it is.
	sharePauses = 100
	// leaderChange is how long a host may hear no other after its leader is gone.
	leaderChange = 2 * time.Second
	// minHeardPart is the part of the known hosts of which fewer are heard only then, or if this host is cut off.
	minHeardPart = 1.0 / 3
)

// shareRoom shares out the room of fleets with recent requests until the context ends.
func (n *Node) shareRoom(ctx context.Context) {
	pause := shareInterval
	var heard heardPart
	for backoff.Pause(ctx, pause) {
		now := clock.Now()
		n.shareRoomOnce(now, heard.update(now, n.peers.HostCounts))
		pause = min(max(sharePauses*clock.Now().Sub(now), shareInterval), maxShareInterval)
	}
}

// heardPart is the part of the known hosts that this one hears.
type heardPart struct {
	// at is when it was last minHeardPart or more.
	at time.Time
}

// update returns the part now. A follower whose leader has just changed hears no host until the first digest of the
// new one: until leaderChange has passed, all count as heard.
func (h *heardPart) update(now time.Time, counts func(time.Time) (reachable, known int)) float64 {
	reachable, known := counts(now)
	part := float64(reachable) / float64(max(known, 1))
	switch {
	case part >= minHeardPart:
		h.at = now
	case now.Sub(h.at) < leaderChange:
		return 1
	}
	return part
}

func (n *Node) shareRoomOnce(now time.Time, part float64) {
	for _, name := range n.shares.Active(now) {
		change, changed := n.shares.SetRoom(now, name, sharedRoom(n.balancer.Room(now, name), part))
		if changed {
			n.logShortage(&change)
		}
	}
}

func (n *Node) logShortage(c *fairshare.Change) {
	message := "fleet has room again"
	if c.Short {
		message = "fleet is short of room"
	}
	n.Log.Info().Str("fleet", c.Fleet).Str("kind", c.Kind.String()).Float64("fullness", c.Fullness).
		Float64("level", c.Level).Int("limited", c.Limited).Int64("after_ms", c.After.Milliseconds()).Msg(message)
}

// sharedRoom converts the room of a fleet.
func sharedRoom(r balancer.Room, reachablePart float64) fairshare.Room {
	out := fairshare.Room{ReachablePart: reachablePart}
	out.Capacity = fairshare.Cost{float64(r.Slots), r.PromptTokensPerSecond, float64(r.CacheTokens)}
	used := fairshare.Cost{
		float64(r.InFlight), float64(r.PendingTokens) / fairshare.MaxPromptBacklog.Seconds(), float64(r.MemoryTokens),
	}
	for k, capacity := range out.Capacity {
		if capacity > 0 {
			out.Fullness[k] = used[k] / capacity
		}
	}
	return out
}

// configureShares sets the organisations and the fleets between and in which room is shared.
func (n *Node) configureShares(c *fleet.Configuration) {
	organisations := make([]fairshare.Organisation, len(c.Organisations))
	for i := range c.Organisations {
		organisations[i] = fairshare.Organisation{Name: c.Organisations[i].Name, Weight: c.Organisations[i].Weight}
	}
	fleets := make([]string, len(c.Fleets))
	for i := range c.Fleets {
		fleets[i] = c.Fleets[i].Name
	}
	n.shares.Configure(organisations, fleets)
}

// shareCollector exports the shares as metrics.
type shareCollector struct{ shares *fairshare.Table }

var (
	descOrganisationRequests = prometheus.NewDesc("rattanchute_organisation_requests_total",
		"Requests of an organisation on whose share was decided, by outcome.", []string{"fleet", "organisation", "outcome"}, nil)
	descOrganisationGranted = prometheus.NewDesc("rattanchute_organisation_granted_ratio",
		"Part of an organisation's demand over all hosts that its share grants.", []string{"fleet", "organisation"}, nil)
	descFleetShort = prometheus.NewDesc("rattanchute_fleet_short",
		"1 while the fleet's room is short and shared between organisations.", []string{"fleet"}, nil)
	descFleetLevel = prometheus.NewDesc("rattanchute_fleet_share_level",
		"Part of the room that an organisation of weight one is granted while the fleet is short.", []string{"fleet"}, nil)
)

// Describe implements prometheus.Collector.
func (c shareCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descOrganisationRequests, descOrganisationGranted, descFleetShort, descFleetLevel} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c shareCollector) Collect(out chan<- prometheus.Metric) {
	fleets, shares := c.shares.Snapshot(clock.Now())
	for _, f := range fleets {
		short := 0.0
		if f.Short {
			short = 1
		}
		out <- prometheus.MustNewConstMetric(descFleetShort, prometheus.GaugeValue, short, f.Fleet)
		out <- prometheus.MustNewConstMetric(descFleetLevel, prometheus.GaugeValue, f.Level, f.Fleet)
	}
	for _, s := range shares {
		out <- prometheus.MustNewConstMetric(descOrganisationRequests, prometheus.CounterValue, float64(s.Admitted), s.Fleet, s.Organisation, "granted")
		out <- prometheus.MustNewConstMetric(descOrganisationRequests, prometheus.CounterValue, float64(s.Refused), s.Fleet, s.Organisation, "refused")
		out <- prometheus.MustNewConstMetric(descOrganisationGranted, prometheus.GaugeValue, s.Granted, s.Fleet, s.Organisation)
	}
}
