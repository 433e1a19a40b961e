package node

import (
	"errors"
	"net"
	"time"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/contain"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/quota"
)

// maxAckAge is the maximum age of the report that a digest acknowledges. A digest that
// acknowledges only an older report was held up, for instance because this host or its leader was
// suspended, and its contents are out of date. It is not applied.
const maxAckAge = 2500 * time.Millisecond

// receiveMessages processes messages from peers until the socket is closed.
func (n *Node) receiveMessages() {
	buffer := make([]byte, peerudp.BufferBytes)
	for {
		d, err := n.socket.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.malformed.logOnce(n.Log, "peer message", 0, err)
			continue
		}
		n.boundary.Run(contain.WorkMessage, func() { n.handleMessage(&d) })
	}
}

func (n *Node) handleMessage(d *heartbeat.Datagram) {
	if d.Report != nil {
		n.handleReport(d.Report)
	}
	if d.Digest != nil {
		n.handleDigest(d.Digest)
	}
}

// handlePeerJoined logs that a peer is reachable for the first time, or again after its loss, and
// updates what depends on the number of hosts.
func (n *Node) handlePeerJoined(now time.Time, p *heartbeat.Peer) {
	n.Log.Info().Str("peer", p.Name).Int64("incarnation", p.Incarnation).Msg("peer heard")
	n.origins.Repeat(now)
	n.updatePeerState(now)
}

func (n *Node) handleReport(r *heartbeat.Report) {
	now := clock.Now()
	receipt := n.peers.HandleReport(now, r)
	if !receipt.New {
		return
	}
	if receipt.Joined {
		n.handlePeerJoined(now, &r.Peer)
	}
	if n.lease != nil && r.LeaseVersion > 0 {
		n.lease.OnReport(r.LeaseVersion, now)
	}
	n.applyLeavingReports(now, r.Name, r.LeavingEndpoints)
	n.applyLimitReports(now, r.Name, r.LimitedEndpoints)
	n.applyQuarantine(now, r.Name, r.Quarantine)
	n.balancer.ApplyRejectionLimitReports(now, r.RejectionLimits, receipt.Role == heartbeat.RoleFollower)
	n.balancer.ApplySpeedReport(now, r.Speeds, receipt.Role == heartbeat.RoleFollower)
	n.origins.Apply(now, r.Origins, receipt.Role == heartbeat.RoleFollower)
	n.applyRollouts(now, r, receipt.Role)
	n.observeStoreOf(now, r)
	if receipt.Role == heartbeat.RoleUnrelated {
		// The host that it follows reports what it spends.
		n.quota.Forget(r.Name)
		return
	}
	follower := receipt.Role == heartbeat.RoleFollower
	n.refreshIfOutdated(r)
	n.quota.OnReport(now, quota.SpendingSource{Name: r.Name, Incarnation: r.Incarnation}, r.Quota, follower)
	for _, u := range r.Usage {
		if u.Name != n.Settings.Name {
			n.usage.OnReport(u.Source, u.Windows)
		}
	}
	for window, total := range r.FinalUsage {
		n.usage.Finalize(window, total)
	}
	n.clusterClock.OnReport(now, time.Now(), r.Name, time.UnixMilli(r.WallMillis))
	n.balancer.SetPeerLoads(now, r.Name, follower, r.Loads)
	n.shares.Apply(now, r.Name, follower, r.Shares)
	for _, prefill := range r.Prefills {
		n.proxy.ObservePrefill(now, prefill, follower)
	}
}

// observeStoreOf records when the store last responded to a peer.
func (n *Node) observeStoreOf(now time.Time, r *heartbeat.Report) {
	if r.EndpointsAgeMillis > 0 {
		n.endpoints.PeerConfirmed(now.Add(-time.Duration(r.EndpointsAgeMillis) * time.Millisecond))
	}
}

// refreshIfOutdated triggers reads of the store if a report shows that a peer has a newer
// configuration or has seen a newer change to the endpoints.
func (n *Node) refreshIfOutdated(r *heartbeat.Report) {
	n.hearGeneration(r.Generation)
	if asOf, _ := n.endpoints.Versions(); r.EndpointsVersion > asOf {
		wake(n.endpointsStale)
	}
}

// handleDigest applies the leader's view of all hosts and of the store. Digests of other hosts, and
// those that acknowledge no recent report of this host, are not applied.
func (n *Node) handleDigest(d *heartbeat.Digest) {
	now := clock.Now()
	receipt := n.peers.HandleDigest(now, d)
	if receipt.Joined {
		n.handlePeerJoined(now, &d.Peer)
	}
	if receipt.Role != heartbeat.RoleLeader {
		return
	}
	// That an endpoint leaves is final, so that this holds however old the digest is.
	n.applyLeavingReports(now, d.Name, d.LeavingEndpoints)
	n.applyLimitReports(now, d.Name, d.LimitedEndpoints)
	n.applyQuarantine(now, d.Name, d.Quarantine)
	n.balancer.ApplyRejectionLimitReports(now, d.RejectionLimits, false)
	n.balancer.ApplySpeedReport(now, d.Speeds, false)
	n.origins.Apply(now, d.Origins, false)
	ack := d.Acks[n.Settings.Name]
	sent, ok := n.sent.At(ack.Included)
	if !ok || now.Sub(sent.At) > maxAckAge {
		return
	}
	n.quota.Adopt(now, d.Levels, sent.Spent)
	n.balancer.SetPeerLoads(now, d.Name, false, balancer.SubtractLoads(d.Loads, sent.Loads))
	n.shares.Apply(now, d.Name, false, fairshare.Subtract(d.Shares, sent.Shares))
	for _, prefill := range d.Prefills {
		n.proxy.ObservePrefill(now, prefill, false)
	}
	n.clusterClock.Adopt(now, time.UnixMilli(d.TrueMillis))
	n.applyStoreState(now, d, ack)
	n.applyRolloutDigest(now, d, ack)
}

// applyStoreState applies the changes to the endpoints that the leader has seen, and confirms this
// host's own state or triggers reads of the store. If the leader confirmed a version as the newest
// after it had received a report of this host, that version was the newest at some time after the
// report was sent.
func (n *Node) applyStoreState(now time.Time, d *heartbeat.Digest, ack heartbeat.Ack) {
	n.hearGeneration(d.Generation)
	if sent, ok := n.sent.At(ack.Configuration); ok {
		n.confirmReported(sent.At, d.Generation)
	}
	confirmed := time.Time{}
	if sent, ok := n.sent.At(ack.Endpoints); ok {
		confirmed = sent.At
	}
	changes, complete := n.endpoints.Apply(now, d.Endpoints, confirmed)
	if !complete {
		wake(n.endpointsStale)
		return
	}
	n.endpointsChanged(changes)
	n.confirmOrigins()
}
