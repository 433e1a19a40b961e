package heartbeat

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"rattanchute/internal/relay"
)

// maxRelayPeers bounds the hosts with links to endpoints that a message names.
const maxRelayPeers = 12

// SetLostFleets sets the fleets of which this host reaches no endpoint.
func (t *Table) SetLostFleets(fleets []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostFleets = fleets
}

// RelayPeers returns the peers that may send requests to a fleet's endpoints. Those that report that they have
// lost their links are left out.
func (t *Table) RelayPeers(now time.Time, fleetName string) []relay.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if t.leader != t.self.Name && t.leaderDigest.Name == t.leader && len(t.leaderDigest.RelayPeers) > 0 {
		return slices.DeleteFunc(slices.Clone(t.leaderDigest.RelayPeers), func(p relay.Peer) bool { return p.Name == t.self.Name })
	}
	return t.relayPeersLocked(now, fleetName)
}

// RelayPeersNamed returns the known peers with some names.
func (t *Table) RelayPeersNamed(names []string) []relay.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []relay.Peer
	for _, name := range names {
		if peer := t.peers[name]; peer != nil && !peer.leaving {
			peers = append(peers, peer.relayPeer())
		}
	}
	return peers
}

// relayPeersLocked returns the peers that this host hears, and those that they name, without the ones that have
// lost their links to a fleet.
func (t *Table) relayPeersLocked(now time.Time, fleetName string) []relay.Peer {
	var peers []relay.Peer
	named := map[string]bool{t.self.Name: true}
	for _, peer := range t.peers {
		if !peer.reachable(now) || named[peer.Name] {
			continue
		}
		named[peer.Name] = true
		if !slices.Contains(peer.report.LostFleets, fleetName) {
			peers = append(peers, peer.relayPeer())
		}
	}
	for _, peer := range t.peers {
		if !peer.reachable(now) {
			continue
		}
		for _, p := range peer.report.RelayPeers {
			if !named[p.Name] {
				named[p.Name] = true
				peers = append(peers, p)
			}
		}
	}
	return peers
}

func (p *peerState) relayPeer() relay.Peer {
	return relay.Peer{Name: p.Name, Address: p.Address, DataCentre: p.DataCentre}
}

// ReportedRelayPeers returns some hosts of this host's group that have lost no links, for a report to other
// leaders, and whether a host of the group has lost some. There are none to name in a full mesh, in which all
// hosts hear each other, and while nobody has lost links. The random word varies the choice.
func (t *Table) ReportedRelayPeers(now time.Time, random uint64) (peers []relay.Peer, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if t.fullMesh || t.leader != t.self.Name {
		return nil, len(t.lostFleets) > 0
	}
	if !t.anyLostLocked(now) {
		return nil, false
	}
	lost = len(t.lostFleets) > 0
	for _, peer := range t.followersLocked(now) {
		if len(peer.report.LostFleets) > 0 {
			lost = true
			continue
		}
		peers = append(peers, peer.relayPeer())
	}
	return someOf(peers, random), lost
}

// DigestRelayPeers returns some hosts of all groups that have lost no links, for a digest; none while nobody has
// lost links.
func (t *Table) DigestRelayPeers(now time.Time, random uint64) []relay.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.anyLostLocked(now) {
		return nil
	}
	var peers []relay.Peer
	if len(t.lostFleets) == 0 {
		peers = append(peers, relay.Peer{Name: t.self.Name, Address: t.self.Address, DataCentre: t.self.DataCentre})
	}
	for _, peer := range t.peers {
		if !peer.reachable(now) {
			continue
		}
		if len(peer.report.LostFleets) == 0 {
			peers = append(peers, peer.relayPeer())
		}
		peers = append(peers, peer.report.RelayPeers...)
	}
	return someOf(peers, random)
}

// anyLostLocked reports whether a host has lost its links to a fleet, as far as this one hears.
func (t *Table) anyLostLocked(now time.Time) bool {
	if len(t.lostFleets) > 0 {
		return true
	}
	for _, peer := range t.peers {
		if peer.reachable(now) && (len(peer.report.LostFleets) > 0 || peer.report.GroupLostLinks) {
			return true
		}
	}
	return false
}

// someOf returns up to maxRelayPeers of the peers, chosen by a random word.
func someOf(peers []relay.Peer, random uint64) []relay.Peer {
	if len(peers) <= maxRelayPeers {
		return peers
	}
	r := rand.New(rand.NewPCG(random, 0))
	r.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:maxRelayPeers]
}

// IsPeerAddress reports whether an IP address is that of a known host.
func (t *Table) IsPeerAddress(ip string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range t.peers {
		if host, _, err := net.SplitHostPort(peer.Address); err == nil && host == ip {
			return true
		}
	}
	return false
}
