package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/heartbeat"
)

const (
	// reportedUsageWindows are told to the peers, so that lost reports do no harm.
	reportedUsageWindows = 3
	// usageEvery is the time between two reports that tell the usage of many hosts.
	usageEvery = time.Second
	// readsToldFor is how long a prompt that was read is told: messages may be lost. Among many
	// hosts it is told about once.
	readsToldFor     = 700 * time.Millisecond
	readsToldForMany = 300 * time.Millisecond
	// maxReadsTold bounds the prompts in one digest, which goes to many: the newest are told.
	maxReadsTold = 80
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

// sendReports tells the peers of this host some times a second.
func (n *Node) sendReports(ctx context.Context) {
	for awaitNews(ctx, jittered(n.peers.Interval(clock.Now())), minReadGap, n.reportNow) {
		now := clock.Now()
		n.countPeers(now)
		n.sendMessages(now)
	}
}

// countPeers sets this host's part of what all share, and whom it follows.
func (n *Node) countPeers(now time.Time) {
	if n.lease != nil {
		_, held := n.lease.Valid(now)
		n.peers.SetHoldsLease(held)
	}
	n.follow(now)
	heard, known := n.peers.HostCounts(now)
	n.quota.SetReachableShare(now, float64(heard)/float64(known))
	n.repeats.SetHosts(known)
	n.quota.SetPropagationDelay(known-1, n.peers.PropagationDelay(now))
	for name, silence := range n.peers.NewlyLost(now) {
		n.Log.Warn().Str("peer", name).Int64("silent_ms", silence.Milliseconds()).
			Int("heard", heard).Int("known", known).Msg("peer lost")
	}
}

// follow forgets what was heard from others once this host has another lead, who tells
// everything anew.
func (n *Node) follow(now time.Time) {
	lead := n.peers.Leader(now)
	n.leadMu.Lock()
	defer n.leadMu.Unlock()
	if lead == n.lead {
		return
	}
	n.Log.Info().Str("from", n.lead).Str("to", lead).Msg("lead changed")
	n.lead = lead
	n.quota.ForgetAll()
	n.balancer.ForgetPeerLoads()
}

// sendMessages sends a report to the lead or to the other leads, and a digest to the followers.
func (n *Node) sendMessages(now time.Time) {
	to := n.peers.Recipients(now)
	if len(to.Reports) > 0 {
		n.send(n.report(now), to.Reports)
	}
	if len(to.Digests) > 0 {
		n.send(heartbeat.Datagram{Digest: n.digest(now)}, to.Digests)
	}
}

// sayGoodbye tells everybody that this host has ended its last request.
func (n *Node) sayGoodbye(now time.Time) {
	to := n.peers.Recipients(now)
	n.send(n.report(now), append(to.Reports, to.Digests...))
}

func (n *Node) send(d heartbeat.Datagram, addresses []string) {
	text, err := peerudp.Encode(d)
	if errors.Is(err, peerudp.ErrTooLarge) {
		n.Log.Warn().Err(err).Msg("peer message shortened")
		text, err = peerudp.Encode(shortened(d))
	}
	if err != nil {
		n.Log.Error().Err(err).Msg("peer message not sent")
		return
	}
	n.peerBytes.Add(uint64(len(text) * len(addresses)))
	for _, address := range addresses {
		// A lost message is made good by the next.
		if err := n.socket.Send(address, text); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// maxLoadsTold is the number of endpoints whose loads fit a message that has to be shortened.
const maxLoadsTold = 1000

// shortened leaves out what others can do without: which prompts were read, changes of
// endpoints, which the store shows as well, and the loads of the least busy endpoints.
func shortened(d heartbeat.Datagram) heartbeat.Datagram {
	if d.Report != nil {
		r := *d.Report
		r.Prefills = nil
		r.Loads = busiest(r.Loads, maxLoadsTold)
		return heartbeat.Datagram{Report: &r}
	}
	short := *d.Digest
	short.Prefills = nil
	short.Loads = busiest(short.Loads, maxLoadsTold)
	short.Endpoints.Changes = nil
	short.Endpoints.Since = short.Endpoints.AsOf
	return heartbeat.Datagram{Digest: &short}
}

// busiest are the endpoints with most requests.
func busiest(loads []balancer.Load, n int) []balancer.Load {
	if len(loads) <= n {
		return loads
	}
	sorted := slices.SortedFunc(slices.Values(loads), func(a, b balancer.Load) int { return cmp.Compare(b.InFlight, a.InFlight) })
	return sorted[:n]
}

func (n *Node) report(now time.Time) heartbeat.Datagram {
	r := &heartbeat.Report{
		Peer:           n.self(),
		Number:         n.reports.Add(1),
		Leader:         n.peers.Leader(now),
		IntervalMillis: n.peers.Interval(now).Milliseconds(),
		WallMillis:     time.Now().UnixMilli(),
		Leaving:        n.gone.Load(),
		HoldsLease:     n.peers.GroupHoldsLease(now),
		Quota:          n.quota.SpendingReport(now),
		Loads:          n.balancer.Loads(now, balancer.ScopeGroup),
		Prefills:       n.proxy.Prefills(n.readsSince(now), balancer.ScopeGroup),
		Demand:         n.demandOf(now, false),
	}
	if n.lease != nil {
		r.LeaseVersion = n.lease.HeldVersion(now)
	}
	r.Members, r.Left = n.peers.Members(now)
	r.Usage = n.reportedUsage(now, r.Members)
	r.ConfigurationVersion = n.configurationVersion()
	_, r.EndpointsVersion = n.endpoints.Versions()
	n.sent.Add(r.Number, heartbeat.SentReport{At: now, Spent: r.Quota.Spent, Loads: r.Loads})
	return heartbeat.Datagram{Report: r}
}

func (n *Node) configurationVersion() uint64 {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	return n.appliedVersion
}

func (n *Node) readsSince(now time.Time) time.Time {
	if n.peers.IsFullMesh(now) {
		return now.Add(-readsToldFor)
	}
	return now.Add(-readsToldForMany)
}

// reportedUsage lists what the group counted, by host.
func (n *Node) reportedUsage(now time.Time, members []string) []heartbeat.HostUsage {
	if !n.peers.IsFullMesh(now) && now.Sub(time.Unix(0, n.usageToldAt.Load())) < usageEvery {
		return nil
	}
	n.usageToldAt.Store(now.UnixNano())
	self := n.self()
	out := []heartbeat.HostUsage{{Source: self.Source(), Windows: n.usage.OwnCounts(reportedUsageWindows)}}
	for source, windows := range n.usage.CountsOf(members, reportedUsageWindows) {
		out = append(out, heartbeat.HostUsage{Source: source, Windows: windows})
	}
	return out
}

func (n *Node) digest(now time.Time) *heartbeat.Digest {
	// The instants are read before what they confirm: what is newer then is newer still.
	configuration, endpoints := n.proxy.ConfirmedAt(), n.endpoints.ConfirmedAt()
	heard, known := n.peers.HostCounts(now)
	reads := n.proxy.Prefills(n.readsSince(now), balancer.ScopeAll)
	return &heartbeat.Digest{
		Peer:                 n.self(),
		Number:               n.reports.Add(1),
		IntervalMillis:       n.peers.Interval(now).Milliseconds(),
		TrueMillis:           n.trueTime.At(now).UnixMilli(),
		Acks:                 n.peers.Acks(now, configuration, endpoints),
		Heard:                heard,
		Known:                known,
		ConfigurationVersion: n.configurationVersion(),
		Endpoints:            n.endpoints.Delta(now),
		Levels:               n.quota.SpendingReport(now).Level,
		Loads:                n.balancer.Loads(now, balancer.ScopeAll),
		Prefills:             reads[max(len(reads)-maxReadsTold, 0):],
	}
}
