package node

import (
	"errors"
	"net"
	"time"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/quota"
)

// maxEchoAge is how old a report may be that a digest echoes: older digests waited somewhere,
// as if this host or its lead was suspended, and what they say of loads is over.
const maxEchoAge = 2500 * time.Millisecond

// receiveMessages takes in the peers' messages until the socket is closed.
func (n *Node) receiveMessages() {
	buffer := make([]byte, peerudp.BufferBytes)
	for {
		d, err := n.socket.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.malformed.note(n.Log, "peer message", 0, err)
			continue
		}
		if d.Report != nil {
			n.takeReport(d.Report)
		}
		if d.Digest != nil {
			n.takeDigest(d.Digest)
		}
	}
}

func (n *Node) noteJoined(now time.Time, p *heartbeat.Peer) {
	n.Log.Info().Str("peer", p.Name).Int64("incarnation", p.Incarnation).Msg("peer heard")
	n.countPeers(now)
}

func (n *Node) takeReport(r *heartbeat.Report) {
	now := clock.Now()
	standing := n.peers.HandleReport(now, r)
	if !standing.New {
		return
	}
	if standing.Joined {
		n.noteJoined(now, &r.Peer)
	}
	if n.lease != nil && r.LeaseVersion > 0 {
		n.lease.OnReport(r.LeaseVersion, now)
	}
	if standing.Role == heartbeat.RoleUnrelated {
		// What it spends is told by the host that it follows.
		n.quota.Forget(r.Name)
		return
	}
	follower := standing.Role == heartbeat.RoleFollower
	n.takeVersions(r)
	n.quota.OnReport(now, quota.SpendingSource{Name: r.Name, Incarnation: r.Incarnation}, r.Quota, follower)
	for _, u := range r.Usage {
		if u.Name != n.Settings.Name {
			n.usage.OnReport(u.Source, u.Windows)
		}
	}
	n.trueTime.OnReport(now, time.Now(), r.Name, time.UnixMilli(r.WallMillis))
	n.balancer.SetPeerLoads(now, r.Name, follower, r.Loads)
	for _, read := range r.Prefills {
		n.proxy.ObservePrefill(now, read, follower)
	}
}

// takeVersions has the store read if a peer has seen something newer.
func (n *Node) takeVersions(r *heartbeat.Report) {
	if r.ConfigurationVersion > n.configurationVersion() {
		tell(n.newConfiguration)
	}
	if asOf, _ := n.endpoints.Versions(); r.EndpointsVersion > asOf {
		tell(n.newEndpoints)
	}
}

// takeDigest takes over what the lead says of all hosts and of the store.
func (n *Node) takeDigest(d *heartbeat.Digest) {
	now := clock.Now()
	standing := n.peers.HandleDigest(now, d)
	if standing.Joined {
		n.noteJoined(now, &d.Peer)
	}
	if standing.Role != heartbeat.RoleLeader {
		return
	}
	echo := d.Acks[n.Settings.Name]
	sent, ok := n.sent.At(echo.Included)
	if !ok || now.Sub(sent.At) > maxEchoAge {
		return
	}
	n.quota.Adopt(now, d.Levels, sent.Spent)
	n.balancer.SetPeerLoads(now, d.Name, false, balancer.SubtractLoads(d.Loads, sent.Loads))
	for _, read := range d.Prefills {
		n.proxy.ObservePrefill(now, read, false)
	}
	n.trueTime.Adopt(now, time.UnixMilli(d.TrueMillis))
	n.takeStoreNews(now, d, echo)
}

// takeStoreNews takes in what the lead knows of the store. What it knew to be the newest after
// it had a report of this host, was the newest at some time after that report was sent.
func (n *Node) takeStoreNews(now time.Time, d *heartbeat.Digest, echo heartbeat.Ack) {
	switch applied := n.configurationVersion(); {
	case d.ConfigurationVersion > applied:
		tell(n.newConfiguration)
	case d.ConfigurationVersion > 0:
		if sent, ok := n.sent.At(echo.Configuration); ok {
			n.proxy.ConfirmConfiguration(sent.At)
		}
	}
	confirmed := time.Time{}
	if sent, ok := n.sent.At(echo.Endpoints); ok {
		confirmed = sent.At
	}
	changes, complete := n.endpoints.Apply(now, d.Endpoints, confirmed)
	if !complete {
		tell(n.newEndpoints)
		return
	}
	n.endpointsChanged(changes)
}
