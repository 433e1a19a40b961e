package node

import (
	"context"
	"fmt"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/duty"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/lease"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/proxy"
	"rattanchute/internal/quota"
	"rattanchute/internal/registry"
	"rattanchute/internal/retrybudget"
	"rattanchute/internal/usage"
)

// Dependencies are what the platform's adapter provides.
type Dependencies struct {
	Settings    Settings
	Store       objectstore.Store
	Duties      duty.Platform
	HeaderCodec proxy.HeaderCodec
	Decode      Decoders
	Log         *log.Logger
	// LogDropped is the number of lines that the log has dropped.
	LogDropped func() uint64
	// ReloadSettings reads the settings file again.
	ReloadSettings func() (Settings, error)
}

const (
	// endpointDialTimeout is long for a connection within a region.
	endpointDialTimeout = 400 * time.Millisecond
	// endpointUserTimeout ends connections to endpoints that fell silent.
	endpointUserTimeout = 2 * time.Second
	// endpointIdle is how long an unused connection is kept if the endpoint says nothing.
	endpointIdle = 4 * time.Second
	// memoryShare of the process's limit is where the runtime begins to collect hard.
	memoryShare = 0.7
	// bodyShare of the limit may be taken by callers' bodies.
	bodyShare = 0.15
	// keyMargin is taken off the time within which removed keys may be used.
	keyMargin = 300 * time.Millisecond
	// denyMaxAge is how old a configuration may be for saying that something is unknown.
	denyMaxAge = 2500 * time.Millisecond
	// leaseExtra is how much longer a lease lasts than holders must not take turns: a holder
	// goes on with its duties while the store is away for some seconds.
	leaseExtra = 3 * time.Second
	// leaseMargin is how much earlier its holder stops acting.
	leaseMargin = 1200 * time.Millisecond
	// lastCallsArrive is how long after a host's restart the last calls of its earlier run may
	// still arrive.
	lastCallsArrive = 700 * time.Millisecond
	// dutyCallTimeout bounds one call of the duties; it is below leaseMargin.
	dutyCallTimeout = time.Second
)

// Node is one entry host.
type Node struct {
	Dependencies
	incarnation int64
	startedAt   time.Time
	registry    *prometheus.Registry

	proxy     *proxy.Proxy
	server    *proxy.Server
	balancer  *balancer.Table
	quota     *quota.Ledger
	repeats   *retrybudget.Budget
	usage     *usage.Ledger
	trueTime  *clock.ClusterClock
	endpoints *registry.View
	peers     *heartbeat.Table
	sent      *heartbeat.History
	socket    *peerudp.Socket
	lease     *lease.Runner
	duties    *duty.Runner

	// ready is what the balancer is told, unless the host is leaving; gone is set when its
	// last request has ended.
	ready      atomic.Bool
	leaving    atomic.Bool
	gone       atomic.Bool
	reports    atomic.Uint64
	peerBytes  atomic.Uint64
	storeCalls *storeCalls
	health     storeHealth
	// applyMu orders the application of configurations; appliedVersion is the store's.
	applyMu        sync.Mutex
	appliedVersion uint64
	malformed      malformedNotes
	// usageToldAt is when the peers were last told of the usage, in nanoseconds since boot.
	usageToldAt atomic.Int64
	// lead is the host that this one was last seen to follow.
	leadMu sync.Mutex
	lead   string
	// newConfiguration and newEndpoints wake the reads after news of peers; reportNow has
	// news sent at once.
	newConfiguration chan struct{}
	newEndpoints     chan struct{}
	reportNow        chan struct{}
	tasks            sync.WaitGroup
}

// New builds a node that does nothing until Run.
func New(p Dependencies) (*Node, error) {
	now, wall := clock.Now(), time.Now()
	s := &p.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	n := &Node{
		Dependencies: p,
		incarnation:  wall.UnixMilli(),
		startedAt:    now,
		registry:     prometheus.NewRegistry(),
		balancer:     balancer.NewTable(s.DataCentre),
		quota: quota.NewLedger(quota.Tolerance{
			Window: s.Bounds.QuotaWindow, Overrun: s.Bounds.QuotaOverrun, Slack: s.Bounds.QuotaSlack,
		}, !s.FirstStart),
		usage:     usage.NewLedger(max(s.Bounds.UsageWindow, time.Second)),
		trueTime:  clock.NewTrueTime(now, wall),
		endpoints: registry.NewView(),

		newConfiguration: make(chan struct{}, 1),
		newEndpoints:     make(chan struct{}, 1),
		reportNow:        make(chan struct{}, 1),
	}
	n.registry.MustRegister(collectors.NewGoCollector())
	n.repeats = retrybudget.NewBudget(retrybudget.Limits{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow,
	})
	n.peers = heartbeat.NewTable(now, n.self())
	n.sent = heartbeat.NewHistory()
	n.lead = s.Name
	n.storeCalls = n.newStoreCalls()
	n.Store = objectstore.Instrumented{Store: p.Store, OnCall: n.storeCalls.called}
	n.buildGateway()
	n.buildDuties()
	n.registerGauges()
	return n, nil
}

func (n *Node) peerAddress() string {
	return fmt.Sprintf("%s:%d", n.Settings.IP, n.Settings.PeerPort)
}

func (n *Node) buildGateway() {
	s := &n.Settings
	parts := proxy.Dependencies{
		HeaderCodec: n.HeaderCodec,
		Upstream: httpclient.New(httpclient.Options{
			DialTimeout:    endpointDialTimeout,
			IdleTimeout:    endpointIdle,
			TCPUserTimeout: endpointUserTimeout,
		}),
		Balancer:     n.balancer,
		Quota:        n.quota,
		RetryBudget:  n.repeats,
		Telemetry:    proxy.NewEvents(n.Log, n.registry),
		OnStarted:    n.began,
		DenyMaxAge:   denyMaxAge,
		MaxBodyBytes: int64(bodyShare * float64(max(s.MemoryBytes, 64<<20))),
	}
	if s.Bounds.FailClosed {
		parts.KeyMaxAge = max(s.Bounds.RevocationDelay-keyMargin, keyMargin)
	}
	n.proxy = proxy.New(parts)
}

// began counts a request towards the usage of its organisation.
func (n *Node) began(at time.Time, organisation string) {
	n.usage.RecordStart(n.trueTime.At(at), organisation)
}

func (n *Node) buildDuties() {
	s := &n.Settings
	if s.DutyAddress == "" || !s.ReportUsage && !s.Scale {
		return
	}
	duration := s.Bounds.Lease + leaseExtra
	n.lease = lease.NewRunner(lease.Config{
		Name:        "duties",
		Self:        s.leaseName(n.incarnation),
		HolderEnded: n.endedHere,
		Store:       n.Store,
		Timing:      lease.Timing{Duration: duration, Margin: leaseMargin},
		Logger:      n.Log,
		Now:         clock.Now,
		HeldElsewhere: func() bool {
			return n.peers.LeaseHolderHeard(clock.Now())
		},
	})
	n.duties = duty.NewRunner(duty.Dependencies{
		Name:          s.Name,
		Lease:         n.lease,
		Platform:      n.Duties,
		Store:         n.Store,
		Usage:         n.usage,
		ClusterClock:  n.trueTime,
		Planner:       duty.NewPlanner(n.planSources()),
		Log:           n.Log,
		ReportUsage:   s.ReportUsage,
		Scale:         s.Scale,
		HandoverDelay: s.Bounds.Lease,
		CallTimeout:   dutyCallTimeout,
	})
}

// leaseName names a run of a host as holder of a lease.
func (s *Settings) leaseName(incarnation int64) string {
	return fmt.Sprintf("%s/%d", s.Name, incarnation)
}

// endedHere reports whether the holder of a lease is an earlier run of this host. What that
// has sent last has arrived some time after this run has started.
func (n *Node) endedHere(holder string) bool {
	name, incarnation, ok := strings.Cut(holder, "/")
	if !ok || name != n.Settings.Name || clock.Now().Sub(n.startedAt) < lastCallsArrive {
		return false
	}
	earlier, err := strconv.ParseInt(incarnation, 10, 64)
	return err == nil && earlier < n.incarnation
}

// start runs a task until the context ends.
func (n *Node) start(ctx context.Context, task func(context.Context)) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		task(ctx)
	}()
}
