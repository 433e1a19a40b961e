package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
)

// Decoders translate what the store holds.
type Decoders struct {
	// ConfigurationName is the name of the operator's configuration object.
	ConfigurationName string
	Configuration     func(text []byte) (*fleet.Configuration, error)
	Endpoint          func(id string, entry json.RawMessage) (registry.Endpoint, error)
}

const (
	// pollEvery is the time between two confirmations of what the watches show: a watch
	// that says nothing proves nothing.
	pollEvery = time.Second
	// followerPoll is how old what a lead confirms may become before a follower asks the store
	// itself.
	followerPoll = 2000 * time.Millisecond
	// minReadGap is the least time between two reads that news of peers ask for; of the many
	// followers each reads less often.
	minReadGap      = 200 * time.Millisecond
	followerReadGap = 500 * time.Millisecond
	// watchGap is the pause after a watch has shown a change: changes come in groups, and each
	// answer of a watch costs a call.
	watchGap = 100 * time.Millisecond
	// watchDelay is how long after its start a host begins to watch: it knows its peers by
	// then, and whether it follows one of them.
	watchDelay = 1500 * time.Millisecond
	// settleEvery is the time between two looks for endpoints that are missing for long.
	settleEvery = 500 * time.Millisecond
	// retryEvery is the pause after a failed store call.
	retryEvery = 200 * time.Millisecond
	// jitter spreads the hosts' calls.
	jitter = 0.2
)

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter/2 + jitter*rand.Float64()))
}

// storeHealth logs when the store is lost and regained.
type storeHealth struct {
	mu   sync.Mutex
	lost bool
}

// called notes how a store call went.
func (n *Node) called(what string, err error) {
	n.health.mu.Lock()
	defer n.health.mu.Unlock()
	bad := err != nil && !errors.Is(err, objectstore.ErrNotFound) && !errors.Is(err, objectstore.ErrCompacted)
	if bad == n.health.lost {
		return
	}
	n.health.lost = bad
	if bad {
		n.Log.Warn().Str("call", what).Err(err).Msg("store lost")
		return
	}
	n.Log.Info().Str("call", what).Msg("store regained")
}

// pollInterval is the time between two confirmations.
func (n *Node) pollInterval() time.Duration {
	if n.peers.IsLeader(clock.Now()) {
		return pollEvery
	}
	return followerPoll
}

// readGap is the least time between two reads.
func (n *Node) readGap() time.Duration {
	if n.peers.IsLeader(clock.Now()) {
		return minReadGap
	}
	return followerReadGap
}

// announce has the peers told of a change at once by the hosts that watch for them.
func (n *Node) announce() {
	if n.peers.IsLeader(clock.Now()) {
		tell(n.reportNow)
	}
}

// awaitNews waits for some time, or for news of a peer.
func awaitNews(ctx context.Context, wait, gap time.Duration, news <-chan struct{}) bool {
	gap = min(wait, gap)
	if !pause(ctx, gap) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-news:
	case <-time.After(wait - gap):
	}
	return true
}

// awaitStale waits until a confirmation is older than the interval, or for news of a peer.
func (n *Node) awaitStale(ctx context.Context, confirmedAt func() time.Time, news <-chan struct{}) bool {
	if !pause(ctx, n.readGap()) {
		return false
	}
	for {
		interval := jittered(n.pollInterval())
		wait := interval - clock.Now().Sub(confirmedAt())
		if wait <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-news:
			return true
		case <-time.After(wait):
		}
	}
}

// tell wakes whoever waits for news.
func tell(news chan<- struct{}) {
	select {
	case news <- struct{}{}:
	default:
	}
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }
