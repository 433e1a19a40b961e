package node

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/clock"
	"rattanchute/internal/duty"
	"rattanchute/internal/lease"
	"rattanchute/internal/proxy"
)

func (n *Node) buildProxy() {
	s := &n.Settings
	n.upstream = httpclient.New(httpclient.Options{
		DialTimeout:    endpointDialTimeout,
		IdleTimeout:    endpointIdleTimeout,
		TCPUserTimeout: endpointUserTimeout,
		Dial:           n.DialEndpoint,
	})
	deps := proxy.Dependencies{
		HeaderCodec: n.HeaderCodec,
		Upstream:    n.upstream,
		Links:       proxy.Links{Table: n.links, Up: n.linkUp, Failed: n.linkFailed},
		Peers:       n.buildPeers(),
		Reaches:     n.reaches,
		PeerReaches: n.peerReaches,
		Balancer:    n.balancer,
		Quota:       n.quota,
		RetryBudget: n.retryBudget,
		Telemetry:   proxy.NewTelemetry(n.Log, n.registry),
		Boundary:    n.boundary,
		OnStarted:   n.countRequest,
		OnLeaving:   func() { wake(n.reportNow) },
		Shares:      n.shares,
		Quarantine:  n.quarantine,
		MayProbe:    n.mayProbe,
		Origins:     n.origins,
		OnlyVersion: n.onlyVersion,
		Rollouts:    n.rollouts,
		OnRollout:   func() { wake(n.reportNow) },
		OnCrash:     func() { wake(n.reportNow) },
		OnLimit:     func() { wake(n.reportNow) },
		DenyMaxAge:  denyMaxAge,
		Bodies:      s.bodyBudget(),
		MaxConns:    s.maxCallerConns,

		MaxRelayConns: s.maxRelayConns(),
	}
	deps.KeyMaxAge = s.keyMaxAge()
	n.proxy = proxy.New(deps)
}

// keyMaxAge returns how old the confirmation of the configuration may be at the use of a key; zero means
// that it does not matter.
func (s *Settings) keyMaxAge() time.Duration {
	if !s.Bounds.FailClosed {
		return 0
	}
	return max(s.Bounds.RevocationDelay-keyRevocationMargin, keyRevocationMargin)
}

// countRequest counts a request towards the usage of its organisation.
func (n *Node) countRequest(at time.Time, organisation string) {
	n.usage.RecordStart(n.clusterClock.At(at), organisation)
}

func (n *Node) buildDuties() {
	s := &n.Settings
	if s.DutyAddress == "" || !s.ReportUsage && !s.Scale {
		return
	}
	duration := s.Bounds.Lease + leaseExtension
	n.lease = lease.NewRunner(lease.Config{
		Name:        "duties",
		Self:        s.leaseHolder(n.incarnation),
		HolderEnded: n.isPreviousRun,
		Store:       n.Store,
		Eras:        n.StoreEras,
		FirstStart:  s.FirstStart,
		Timing:      lease.Timing{Duration: duration, Margin: leaseMargin},
		Logger:      n.Log,
		Now:         clock.Now,
		HeldElsewhere: func() bool {
			return n.peers.LeaseHolderReachable(clock.Now())
		},
	})
	n.duties = duty.NewRunner(duty.Dependencies{
		Name:          s.Name,
		Lease:         n.lease,
		Platform:      n.Duties,
		Store:         n.Store,
		Eras:          n.StoreEras,
		Usage:         n.usage,
		ClusterClock:  n.clusterClock,
		Planner:       duty.NewPlanner(n.planSources()),
		Log:           n.Log,
		ReportUsage:   s.ReportUsage,
		Scale:         s.Scale,
		HandoverDelay: s.Bounds.Lease,
		CallTimeout:   dutyCallTimeout,
	})
}

// leaseHolder returns the name under which a run of this host holds a lease.
func (s *Settings) leaseHolder(incarnation int64) string {
	return fmt.Sprintf("%s/%d", s.Name, incarnation)
}

// isPreviousRun reports whether the holder of a lease is an earlier run of this host whose last
// calls have arrived. They count as arrived staleCallWindow after New was called for this run.
func (n *Node) isPreviousRun(holder string) bool {
	name, incarnation, ok := strings.Cut(holder, "/")
	if !ok || name != n.Settings.Name || clock.Now().Sub(n.startedAt) < staleCallWindow {
		return false
	}
	earlier, err := strconv.ParseInt(incarnation, 10, 64)
	return err == nil && earlier < n.incarnation
}
