package node

import (
	"context"
	"fmt"
	"time"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
	"rattanchute/internal/origin/keeper"
	"rattanchute/internal/registry"
	"rattanchute/internal/route"
)

const (
	// originsReportedIntervals is the number of messages that repeat where a stream began: messages may be lost.
	originsReportedIntervals = 3
	// originsMaxEndpointsAge is the age up to which the list of endpoints is stored as evidence of versions. Who reads
	// it there looks at the changes since.
	originsMaxEndpointsAge = 2500 * time.Millisecond
	// confirmationTimeout bounds the wait for a confirmation by the store. It has room for a read of a follower,
	// followerReadInterval after the one before.
	confirmationTimeout       = 800 * time.Millisecond
	confirmationCheckInterval = 20 * time.Millisecond
	// originsLoadTimeout is how long a host that starts waits for the stored origins before it says that it is
	// ready.
	originsLoadTimeout = time.Second
)

func (n *Node) newOriginKeeper() *keeper.Keeper {
	return keeper.New(keeper.Config{
		Writer:      fmt.Sprintf("%s.%d", n.Settings.Name, n.incarnation),
		Table:       n.origins,
		Store:       n.Store,
		Now:         clock.Now,
		ClusterTime: n.clusterClock.At,
		Writes:      func() bool { return n.peers.IsLeader(clock.Now()) },
		Sweeps:      func() bool { return n.peers.IsFirstLeader(clock.Now()) },
		Endpoints:   n.confirmedEndpoints,
		DecodeEndpoint: func(o objectstore.Object) (registry.Endpoint, bool) {
			e, ok := n.decodeEndpoint(o)
			return e.Endpoint, ok
		},
		DecodeDestinations: n.decodeDestinations,
		OnCall:             func(err error) { n.recordStoreCall("origins", err) },
		Log:                n.Log,
	})
}

// decodeDestinations reads where the routes of streams of a configuration lead. One that cannot be read is never in force.
func (n *Node) decodeDestinations(o objectstore.Object) ([]route.Destination, bool) {
	if o.Name != n.Decode.ConfigurationName {
		return nil, false
	}
	c, err := n.Decode.Configuration(o.Value)
	if err != nil {
		return nil, false
	}
	return route.Compile(c).Destinations(), true
}

// originsReport returns what this host tells others of origins. Where routes lead it tells only while its configuration
// is confirmed.
func (n *Node) originsReport(now time.Time, own bool) *origin.Report {
	r := n.origins.Report(now, n.originsSince(now), own)
	if r != nil && n.proxy.ConfigurationAge(now) > originsMaxEndpointsAge {
		r.Destinations = nil
	}
	return r
}

// confirmedEndpoints returns the list of endpoints, and a version of the store that it is as new as; zero if
// the list may be too old to show all versions.
func (n *Node) confirmedEndpoints() (objectstore.Version, []registry.Endpoint) {
	if clock.Now().Sub(n.endpoints.ConfirmedAt()) > originsMaxEndpointsAge {
		return 0, nil
	}
	asOf, _ := n.endpoints.Versions()
	var endpoints []registry.Endpoint
	for _, known := range n.endpoints.Known() {
		endpoints = append(endpoints, known.Endpoint)
	}
	return asOf, endpoints
}

// awaitOrigins waits until the stored origins are read, but no longer than originsLoadTimeout. It returns false
// if the context ends.
func (n *Node) awaitOrigins(ctx context.Context) bool {
	return await(ctx, originsLoadTimeout, n.originKeeper.Loaded)
}

// originsSince returns the time after which streams must have begun to be reported.
func (n *Node) originsSince(now time.Time) time.Time {
	return now.Add(-originsReportedIntervals * n.peers.Interval(now))
}

// onlyVersion returns the version at which all streams of a fleet began that callers could resume at a time; false if
// there may be several. It waits until the list of endpoints and the configuration are known to have been the newest
// at that time, as other hosts may have begun streams by newer ones before.
func (n *Node) onlyVersion(at time.Time, fleet string) (string, bool) {
	if _, only := n.origins.OnlyVersion(clock.Now(), fleet); !only || !n.awaitConfirmation(at) {
		return "", false
	}
	return n.origins.OnlyVersion(clock.Now(), fleet)
}

// awaitConfirmation waits until the list of endpoints that the origins know, and the configuration, are confirmed as of
// a time, but no longer than confirmationTimeout.
func (n *Node) awaitConfirmation(at time.Time) bool {
	confirmed := func() bool {
		return !n.origins.ConfirmedAt().Before(at) && !n.proxy.ConfirmedAt().Before(at)
	}
	for deadline := clock.Now().Add(confirmationTimeout); !confirmed(); {
		if !clock.Now().Before(deadline) {
			return false
		}
		wake(n.endpointsStale)
		wake(n.configurationStale)
		time.Sleep(confirmationCheckInterval)
	}
	return true
}
