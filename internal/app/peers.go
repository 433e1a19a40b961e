package app

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanchute/internal/adapter/peerhttp"
	"rattanchute/internal/claim"
	"rattanchute/internal/gossip"
	"rattanchute/internal/membership"
	"rattanchute/internal/ratelimit"
)

// The paths of messages between daemons.
const (
	pathGossip = peerhttp.PathGossip
	pathClaim  = "/peer/v1/claim"
	pathShares = "/peer/v1/shares"
)

// shareRequestInterval is the time between two share requests.
const shareRequestInterval = time.Second

// shareRequestTimeout bounds one share request, so that a slow peer does not delay the next.
// If the peer grants a share but its reply is late or lost, neither daemon uses this share until
// the loan ends.
const shareRequestTimeout = 500 * time.Millisecond

func (a *App) buildPeers() error {
	secret := peerhttp.Secret(a.settings.Peers.Secret.Secret.Reveal())
	server, err := peerhttp.NewServer(secret, a.tls.peerServer(), peerhttp.Options{
		Bodies: a.bodies, MaxConns: descriptorsFor(peerFraction), Boundary: a.boundary, Log: a.log,
	})
	if err != nil {
		return fmt.Errorf("peers' listener: %w", err)
	}
	client, err := peerhttp.NewClient(secret, a.tls.peerClient())
	if err != nil {
		return fmt.Errorf("peers' client: %w", err)
	}
	a.peers, a.peerHTTP = server, client
	server.Handle(pathClaim, a.handleClaim)
	server.Handle(pathShares, a.handleShares)
	return nil
}

func (a *App) transport() gossip.Transport { return peerhttp.Transport{Client: a.peerHTTP} }

func (a *App) gossipHandler() peerhttp.Handler {
	return peerhttp.GossipHandler(func(m gossip.Message) gossip.Message { return a.gossip.HandleMessage(m) })
}

// shareMessage carries share requests to a peer. The peer's reply carries grants.
type shareMessage struct {
	ShareRequests []ratelimit.ShareRequest `json:"offers,omitempty"`
	Grants        []ratelimit.ShareGrant   `json:"grants,omitempty"`
}

// requestShares requests from a random peer a part of its share of the rate limits, if this daemon
// needs more than its own. An error is ignored: the next round tries again.
func (a *App) requestShares() {
	requests := a.limiter.ShareRequests(time.Now())
	peer, ok := a.randomPeer()
	if len(requests) == 0 || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareRequestTimeout)
	defer cancel()
	var reply shareMessage
	if err := a.peerHTTP.Post(ctx, peer.Address, pathShares, shareMessage{ShareRequests: requests}, &reply); err != nil {
		return
	}
	a.limiter.ApplyGrants(time.Now(), reply.Grants)
}

func (a *App) randomPeer() (membership.Member, bool) {
	members := a.gossip.Members()
	self := a.gossip.Self().Name
	if len(members) < 2 {
		return membership.Member{}, false
	}
	start := rand.IntN(len(members))
	if members[start].Name == self {
		start = (start + 1) % len(members)
	}
	return members[start], true
}

func (a *App) handleShares(_ context.Context, body []byte) ([]byte, error) {
	var in shareMessage
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	return json.Marshal(shareMessage{Grants: a.limiter.GrantShares(time.Now(), in.ShareRequests)})
}

func (a *App) handleClaim(ctx context.Context, body []byte) ([]byte, error) {
	var op claim.Op
	if err := json.Unmarshal(body, &op); err != nil {
		return nil, err
	}
	result, err := a.claims.Handle(ctx, op)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}
