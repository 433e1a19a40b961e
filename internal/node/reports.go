package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/fleet"
	"rattanchute/internal/heartbeat"
)

const (
	// reportedUsageWindows is the number of usage windows in a report that includes usage.
	// Several windows are repeated, so that lost reports do no harm.
	reportedUsageWindows = 3
	// usageReportInterval is the minimum time between two reports that include usage if there
	// are too many hosts for a full mesh.
	usageReportInterval = time.Second
	// prefillsReportedFor is how long a prefill is repeated in reports and digests, because
	// messages may be lost. If there are too many hosts for a full mesh, it is included only for
	// prefillsReportedForMany, about once.
	prefillsReportedFor     = 700 * time.Millisecond
	prefillsReportedForMany = 300 * time.Millisecond
	// maxReportedPrefills limits the number of prefills in a digest, which goes to many hosts.
	// The newest ones are included.
	maxReportedPrefills = 80
)

func (n *Node) self() heartbeat.Peer {
	return heartbeat.Peer{
		Name:        n.Settings.Name,
		Incarnation: n.incarnation,
		Address:     n.peerAddress(),
		DataCentre:  n.Settings.DataCentre,
		MemoryBytes: n.Settings.MemoryBytes,
	}
}

// sendReports sends reports and digests at the interval that the table of peers states, or earlier
// when a change is announced.
func (n *Node) sendReports(ctx context.Context) {
	for waitForWake(ctx, jittered(n.peers.Interval(clock.Now())), minReadInterval, n.reportNow) {
		now := clock.Now()
		n.updatePeerState(now)
		n.quarantineKeeper.LogChanges()
		n.sendMessages(now)
	}
}

// updatePeerState updates what depends on the number of hosts, on whether this host holds the
// lease and on its leader, and logs the peers that are no longer reachable.
func (n *Node) updatePeerState(now time.Time) {
	if n.lease != nil {
		_, held := n.lease.Valid(now)
		n.peers.SetHoldsLease(held)
	}
	n.updateLeader(now)
	n.signals.SetHosts(now, n.peers.Sharing(now))
	reachable, known := n.peers.HostCounts(now)
	n.quota.SetReachableShare(now, float64(reachable)/float64(known))
	n.retryBudget.SetHosts(known)
	n.quota.SetPropagationDelay(known-1, n.peers.PropagationDelay(now))
	for name, silence := range n.peers.NewlyLost(now) {
		n.Log.Warn().Str("peer", name).Int64("silent_ms", silence.Milliseconds()).
			Int("heard", reachable).Int("known", known).Msg("peer lost")
	}
}

// updateLeader discards the spending and the loads received from other hosts when this host
// changes its leader, because it will receive all of them again: from the new leader or, if it now
// follows none, from the other hosts themselves.
func (n *Node) updateLeader(now time.Time) {
	leader := n.peers.Leader(now)
	n.leaderMu.Lock()
	defer n.leaderMu.Unlock()
	if leader == n.leader {
		return
	}
	n.Log.Info().Str("from", n.leader).Str("to", leader).Msg("lead changed")
	n.leader = leader
	n.quota.ForgetAll()
	n.balancer.ForgetPeerLoads()
	n.shares.ForgetPeers()
}

// sendMessages sends a report and a digest, each to the recipients that the table of peers states.
func (n *Node) sendMessages(now time.Time) {
	to := n.peers.Recipients(now)
	if len(to.Reports) > 0 {
		n.send(n.report(now), to.Reports)
	}
	if len(to.Digests) > 0 {
		n.send(heartbeat.Datagram{Digest: n.digest(now)}, to.Digests)
	}
}

// sendLeaving sends a last report, which says that this host is leaving, to the recipients of its
// reports and digests.
func (n *Node) sendLeaving(now time.Time) {
	to := n.peers.Recipients(now)
	n.send(n.report(now), append(to.Reports, to.Digests...))
}

func (n *Node) send(d heartbeat.Datagram, addresses []string) {
	encoded, dropped, err := encodeWithinLimit(d)
	if dropped != "" {
		n.Log.Warn().Str("dropped", dropped).Msg("peer message truncated")
	}
	if err != nil {
		n.Log.Error().Err(err).Msg("cannot encode peer message")
		return
	}
	n.peerBytesSent.Add(uint64(len(encoded) * len(addresses)))
	for _, address := range addresses {
		// The next message makes up for a lost one.
		if err := n.socket.Send(address, encoded); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

func (n *Node) report(now time.Time) heartbeat.Datagram {
	r := &heartbeat.Report{
		Peer:           n.self(),
		Number:         n.messagesSent.Add(1),
		Leader:         n.peers.Leader(now),
		IntervalMillis: n.peers.Interval(now).Milliseconds(),
		WallMillis:     time.Now().UnixMilli(),
		Leaving:        n.stopped.Load(),
		HoldsLease:     n.peers.GroupHoldsLease(now),
		Quota:          n.quota.SpendingReport(now),
		Loads:          n.balancer.Loads(now, balancer.ScopeGroup),
		Prefills:       n.proxy.Prefills(n.prefillsSince(now), balancer.ScopeGroup),
		Demand:         n.demand(now, false),
	}
	if n.lease != nil {
		r.LeaseVersion = n.lease.HeldVersion(now)
	}
	if r.LeaseVersion > 0 {
		r.FinalUsage = n.usage.Final(reportedUsageWindows)
	}
	r.LeavingEndpoints = n.signals.LeavingReports(now)
	r.LimitedEndpoints = n.signals.LimitReports(now)
	r.Quarantine = n.quarantine.Report(now)
	r.Origins = n.originsReport(now, true)
	r.Rollouts = n.rolloutReport(now)
	r.Shares = n.shares.Report(now, fairshare.ScopeGroup)
	r.RejectionLimits = n.balancer.RejectionLimitReports(now, balancer.ScopeGroup)
	r.PoolsSlots = true
	r.Speeds = n.balancer.SpeedReport(now, balancer.ScopeGroup)
	r.LostFleets = n.links.LostFleets()
	r.RelayPeers, r.GroupLostLinks = n.peers.ReportedRelayPeers(now, rand.Uint64())
	r.Members, r.Left = n.peers.Members(now)
	r.Usage = n.reportedUsage(now, r.Members)
	r.Generation = n.activeGeneration()
	_, r.EndpointsVersion = n.endpoints.Versions()
	if confirmed := n.endpoints.ConfirmedAt(); !confirmed.IsZero() {
		r.EndpointsAgeMillis = max(now.Sub(confirmed).Milliseconds(), 1)
	}
	n.sent.Add(r.Number, heartbeat.SentReport{At: now, Spent: r.Quota.Spent, Loads: r.Loads, Shares: r.Shares})
	return heartbeat.Datagram{Report: r}
}

func (n *Node) activeGeneration() fleet.Generation {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	return n.configuration.active
}

func (n *Node) prefillsSince(now time.Time) time.Time {
	if n.peers.IsFullMesh(now) {
		return now.Add(-prefillsReportedFor)
	}
	return now.Add(-prefillsReportedForMany)
}

// reportedUsage returns the usage counted by the hosts of the group. If there are too many hosts
// for a full mesh, it returns nil within usageReportInterval of the last result.
func (n *Node) reportedUsage(now time.Time, members []string) []heartbeat.HostUsage {
	if !n.peers.IsFullMesh(now) && now.Sub(time.Unix(0, n.usageReportedAt.Load())) < usageReportInterval {
		return nil
	}
	n.usageReportedAt.Store(now.UnixNano())
	self := n.self()
	out := []heartbeat.HostUsage{{Source: self.Source(), Windows: n.usage.OwnCounts(reportedUsageWindows)}}
	for source, windows := range n.usage.CountsOf(members, reportedUsageWindows) {
		out = append(out, heartbeat.HostUsage{Source: source, Windows: windows})
	}
	return out
}

func (n *Node) digest(now time.Time) *heartbeat.Digest {
	// The confirmation times are read before the data that they confirm: if the data changes in
	// between, it is newer than what was confirmed, which does no harm.
	confirmed := heartbeat.Confirmations{
		Configuration: n.proxy.ConfirmedAt(), Endpoints: n.endpoints.ConfirmedAt(), Rollouts: n.rolloutsConfirmedAt(),
	}
	reachable, known := n.peers.HostCounts(now)
	prefills := n.proxy.Prefills(n.prefillsSince(now), balancer.ScopeAll)
	sharing := n.peers.Sharing(now)
	return &heartbeat.Digest{
		Peer:           n.self(),
		Number:         n.messagesSent.Add(1),
		IntervalMillis: n.peers.Interval(now).Milliseconds(),
		TrueMillis:     n.clusterClock.At(now).UnixMilli(),
		Acks:           n.peers.Acks(now, confirmed),
		Reachable:      reachable,
		Known:          known,
		Generation:     n.activeGeneration(),
		Endpoints:      n.endpoints.Delta(now),

		LeavingEndpoints: n.signals.LeavingReports(now),
		LimitedEndpoints: n.signals.LimitReports(now),
		Leaders:          sharing.Groups,
		GroupSizes:       sharing.Sizes,
		RejectionLimits:  n.balancer.RejectionLimitReports(now, balancer.ScopeAll),
		PoolsSlots:       true,
		Speeds:           n.balancer.SpeedReport(now, balancer.ScopeAll),
		RelayPeers:       n.peers.DigestRelayPeers(now, rand.Uint64()),
		Quarantine:       n.quarantine.Report(now),
		Origins:          n.originsReport(now, false),
		Rollouts:         n.rolloutDigest(),

		Shares:   n.shares.Report(now, fairshare.ScopeAll),
		Levels:   n.quota.SpendingReport(now).Level,
		Loads:    n.balancer.Loads(now, balancer.ScopeAll),
		Prefills: prefills[max(len(prefills)-maxReportedPrefills, 0):],
	}
}
