package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
	"rattanchute/internal/rollout"
)

// Decoders decode objects of the store.
type Decoders struct {
	// ConfigurationName is the name of the operator's configuration object.
	ConfigurationName string
	Configuration     func(text []byte) (*fleet.Configuration, error)
	Endpoint          func(id string, entry json.RawMessage) (registry.Endpoint, error)
	// Rollout decodes an order to move a fleet to another version, with its status, and RolloutStatus encodes the
	// status. They may be nil if there are no such orders.
	Rollout       func(name string, value, status json.RawMessage) rollout.Entry
	RolloutStatus func(*rollout.Record) (json.RawMessage, error)
}

const (
	// pollInterval is the largest age at which a leader renews the confirmation that its view of the
	// store is the newest. It is needed besides the watches, because the silence of a watch
	// proves nothing.
	pollInterval = time.Second
	// maxFollowerInterval is the largest age of the last confirmation through its leader's digests at
	// which a follower queries the store itself. In a large group, a confirmation can be two seconds
	// old although no message was lost.
	maxFollowerInterval = 3 * time.Second
	// confirmationFraction is the part of the time for which a confirmation may be used after which it
	// is renewed. The rest leaves time for a read that fails and is repeated.
	confirmationFraction = 0.6
	// minReadInterval is the minimum time between two reads that are triggered by peers, and
	// between two reports. For reads, followers use followerReadInterval, which is longer because
	// there are many of them.
	minReadInterval      = 200 * time.Millisecond
	followerReadInterval = 500 * time.Millisecond
	// watchPause is the pause after a watch has returned changes. Changes come in groups, and
	// each response of a watch costs a call.
	watchPause = 100 * time.Millisecond
	// watchDelay is how long after its start a host begins to watch. By then it knows its peers
	// and whether it follows one of them.
	watchDelay = 1500 * time.Millisecond
	// missingCheckInterval is the interval between two checks for endpoints that have been
	// missing for too long.
	missingCheckInterval = 500 * time.Millisecond
	// retryDelay is the pause after the first failed call of a reader or a watch, and between two checks
	// whether this host may watch. It doubles with each further failure, up to maxRetryDelay: a store
	// that refuses calls counts and charges them nevertheless.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// jitterFraction is the width of the random variation of intervals, which spreads the
	// hosts' calls.
	jitterFraction = 0.2
)

func newRetryBackoff() backoff.Backoff {
	return backoff.Backoff{Min: retryDelay, Max: maxRetryDelay}
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction/2 + jitterFraction*rand.Float64()))
}

// storeHealth records whether the store is lost, so that losing and regaining it is logged
// once.
type storeHealth struct {
	mu   sync.Mutex
	lost bool
}

// recordStoreCall records the outcome of a store call. ErrNotFound and ErrCompacted are responses,
// so they do not mean that the store is lost.
func (n *Node) recordStoreCall(call string, err error) {
	n.health.mu.Lock()
	defer n.health.mu.Unlock()
	failed := err != nil && !errors.Is(err, objectstore.ErrNotFound) && !errors.Is(err, objectstore.ErrCompacted)
	if failed == n.health.lost {
		return
	}
	n.health.lost = failed
	if failed {
		n.Log.Warn().Str("call", call).Err(err).Msg("store lost")
		return
	}
	n.Log.Info().Str("call", call).Msg("store regained")
}

// configurationInterval returns the age of the confirmation of the configuration at which this host reads
// it.
func (n *Node) configurationInterval() time.Duration {
	return confirmationInterval(n.peers.IsLeader(clock.Now()), n.Settings.keyMaxAge())
}

// endpointsInterval returns the age of the confirmation of the endpoints at which this host reads them.
func (n *Node) endpointsInterval() time.Duration {
	return confirmationInterval(n.peers.IsLeader(clock.Now()), max(n.Settings.Bounds.Drain, minEndpointsMaxAge))
}

// minEndpointsMaxAge is the least time for which a confirmation of the endpoints may be used. Changes
// reach a host through watches and digests, whatever the age of the confirmation.
const minEndpointsMaxAge = 3500 * time.Millisecond

// confirmationInterval returns the age at which a leader or a follower renews a confirmation that may be
// used for maxAge; zero means without limit.
func confirmationInterval(leader bool, maxAge time.Duration) time.Duration {
	interval := maxFollowerInterval
	if maxAge > 0 {
		interval = min(interval, time.Duration(confirmationFraction*float64(maxAge)))
	}
	if leader {
		return min(interval, pollInterval)
	}
	return interval
}

// readInterval returns the minimum time between the end of a successful read and the next read.
func (n *Node) readInterval() time.Duration {
	if n.peers.IsLeader(clock.Now()) {
		return minReadInterval
	}
	return followerReadInterval
}

// announceChange triggers the next report and digest, as soon as minReadInterval allows, if this
// host is a leader, which watches the store for its followers.
func (n *Node) announceChange() {
	if n.peers.IsLeader(clock.Now()) {
		wake(n.reportNow)
	}
}

// watchAsLeader lists objects and watches them from the version of the list, again and again, while this host is a
// leader, until the context ends. watch reports whether a call has succeeded.
func (n *Node) watchAsLeader(
	ctx context.Context, list func(context.Context) (objectstore.Version, error),
	watch func(context.Context, objectstore.Version) (responded bool),
) {
	retry := newRetryBackoff()
	for {
		if !n.peers.IsLeader(clock.Now()) {
			if !backoff.Pause(ctx, jittered(retryDelay)) {
				return
			}
			continue
		}
		from, err := list(ctx)
		if err == nil && watch(ctx, from) {
			retry.Reset()
		}
		if !backoff.Pause(ctx, retry.Next()) {
			return
		}
	}
}

// waitForWake waits until woken or for maxWait, but at least for minWait unless maxWait is
// shorter. It returns false if the context ends.
func waitForWake(ctx context.Context, maxWait, minWait time.Duration, woken <-chan struct{}) bool {
	minWait = min(maxWait, minWait)
	if !backoff.Pause(ctx, minWait) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-woken:
	case <-time.After(maxWait - minWait):
	}
	return true
}

// waitUntilStale waits until a confirmation is older than an interval, or until woken because
// a peer has seen something newer, but at least for readInterval. It returns false if the context
// ends.
func (n *Node) waitUntilStale(
	ctx context.Context, confirmedAt func() time.Time, maxAge func() time.Duration, woken <-chan struct{},
) bool {
	if !backoff.Pause(ctx, n.readInterval()) {
		return false
	}
	for {
		at := confirmedAt()
		wait := jittered(maxAge()) - clock.Now().Sub(at)
		if wait <= 0 || isNever(at) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-woken:
			return true
		case <-time.After(wait):
		}
	}
}

// isNever reports whether a time of the clock of package clock, on which this host may have booted just now, means that
// something was never confirmed.
func isNever(at time.Time) bool { return at.IsZero() || at.Equal(time.Unix(0, 0)) }

// wake wakes the reader of a channel with room for one value, unless it is already being woken.
func wake(reader chan<- struct{}) {
	select {
	case reader <- struct{}{}:
	default:
	}
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }
