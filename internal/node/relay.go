package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/clock"
	"rattanchute/internal/proxy"
	"rattanchute/internal/relay"
)

const (
	// peerDialTimeout bounds the time to connect to a peer.
	peerDialTimeout = 200 * time.Millisecond
	// peerUserTimeout closes connections to peers that no longer acknowledge data.
	peerUserTimeout = time.Second
	// reachTimeout bounds a connection to an endpoint that a peer asks for.
	reachTimeout = 150 * time.Millisecond
	// maxPeersTested is how many peers are asked whether they reach an endpoint.
	maxPeersTested = 2
	// maxPeersAsked is how many peers are asked whether they hear a fleet, and askTimeout bounds the wait for each.
	maxPeersAsked = 2
	askTimeout    = 150 * time.Millisecond
)

// buildPeers returns what the proxy needs to relay requests. Connections come from the address by which peers
// know this host.
func (n *Node) buildPeers() proxy.Peers {
	n.peerClient = httpclient.New(httpclient.Options{
		DialTimeout: peerDialTimeout, TCPUserTimeout: peerUserTimeout, LocalIP: n.Settings.IP,
		MaxConns: n.Settings.maxRelayConns(), // what a peer takes, whose settings are alike
	})
	return proxy.Peers{
		Self:       n.Settings.Name,
		Client:     n.peerClient,
		Picker:     relay.NewPicker(n.Settings.DataCentre),
		Candidates: n.peers.RelayPeers,
		SlotOwners: func(_ time.Time, fleetName string) []relay.Peer {
			return n.peers.RelayPeersNamed(n.balancer.SlotOwners(fleetName))
		},
	}
}

// reaches reports whether a listed endpoint accepts a connection of this host.
func (n *Node) reaches(id string) bool {
	for _, e := range n.endpoints.Known() {
		if e.ID == id {
			ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
			defer cancel()
			return n.upstream.Accepts(ctx, e.Address)
		}
	}
	return false
}

// peerReaches reports whether one of two peers reaches an endpoint.
func (n *Node) peerReaches(ctx context.Context, id string) bool {
	candidates := n.peers.RelayPeers(clock.Now(), n.fleetOf(id))
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = candidates[:min(len(candidates), maxPeersTested)]
	results := make(chan bool, len(candidates))
	for _, peer := range candidates {
		go func() { results <- n.askReaches(ctx, peer, id) }()
	}
	for range candidates {
		if <-results {
			return true
		}
	}
	return false
}

// askHeard begins to ask some peers whether they hear a fleet that is silent here.
func (n *Node) askHeard(ctx context.Context, fleetName string) {
	peers := n.peers.RelayPeers(clock.Now(), fleetName)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxPeersAsked)] {
		n.tasks.Go(func() { n.askPeerHeard(ctx, peer, fleetName) })
	}
}

// askPeerHeard asks a peer whether it hears a fleet, and records the answer.
func (n *Node) askPeerHeard(ctx context.Context, peer relay.Peer, fleetName string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := clock.Now()
	told, err := n.ask(ctx, peer, relay.Request{From: n.Settings.Name, Fleet: fleetName, AsksHeard: true})
	heard := err == nil && told.Result == relay.Heard
	if heard {
		n.links.PeerHeard(fleetName, asked.Add(-told.HeardAgo()))
	}
	n.Log.Info().Str("fleet", fleetName).Str("peer", peer.Name).Bool("heard", heard).Int64("heard_ago_ms", told.HeardAgoMillis).
		Err(err).Msg("peer asked whether it hears a fleet")
}

// fleetOf returns the fleet of a listed endpoint; empty if it is not listed.
func (n *Node) fleetOf(id string) string {
	for _, e := range n.endpoints.Known() {
		if e.ID == id {
			return e.Fleet
		}
	}
	return ""
}

// askReaches asks a peer whether it reaches an endpoint. A peer that does not answer counts as one that does not.
func (n *Node) askReaches(ctx context.Context, peer relay.Peer, id string) bool {
	told, err := n.ask(ctx, peer, relay.Request{From: n.Settings.Name, Test: id})
	if err != nil {
		n.Log.Info().Str("peer", peer.Name).Str("endpoint", id).Err(err).Msg("peer does not say whether it reaches an endpoint")
		return false
	}
	return told.Result == relay.Reached
}

// ask sends a question to a peer, which sends nothing on, and returns its answer.
func (n *Node) ask(ctx context.Context, peer relay.Peer, question relay.Request) (relay.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost(peer.Address)
	req.Header.Set(relay.Header, relay.Encode(question))
	if err := n.peerClient.Do(ctx, peer.Address, req, resp); err != nil {
		return relay.Response{}, err
	}
	return relay.DecodeResponse(resp.Header.Peek(relay.Header))
}
