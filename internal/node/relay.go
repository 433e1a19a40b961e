package node

import (
	"time"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/proxy"
	"rattanchute/internal/relay"
)

const (
	// peerDialTimeout bounds the time to connect to a peer.
	peerDialTimeout = 200 * time.Millisecond
	// peerUserTimeout closes connections to peers that no longer acknowledge data.
	peerUserTimeout = time.Second
)

// buildPeers returns what the proxy needs to pass requests on. Connections come from the address by which peers
// know this host.
func (n *Node) buildPeers() proxy.Peers {
	n.peerClient = httpclient.New(httpclient.Options{
		DialTimeout: peerDialTimeout, TCPUserTimeout: peerUserTimeout, LocalIP: n.Settings.IP,
	})
	return proxy.Peers{
		Self:       n.Settings.Name,
		Client:     n.peerClient,
		Picker:     relay.NewPicker(n.Settings.DataCentre),
		Candidates: n.peers.RelayPeers,
	}
}
