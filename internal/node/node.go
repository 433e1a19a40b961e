package node

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/backoff"
	"rattanchute/internal/backpressure"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/contain"
	"rattanchute/internal/duty"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/lease"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
	originkeeper "rattanchute/internal/origin/keeper"
	"rattanchute/internal/proxy"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/keeper"
	"rattanchute/internal/quota"
	"rattanchute/internal/reachability"
	"rattanchute/internal/registry"
	"rattanchute/internal/retrybudget"
	"rattanchute/internal/rollout"
	"rattanchute/internal/usage"
)

// Dependencies are provided by the platform's adapter.
type Dependencies struct {
	Settings Settings
	Store    objectstore.Store
	// StoreEras is the tracker of the eras of Store.
	StoreEras   *objectstore.EraTracker
	Duties      duty.Platform
	HeaderCodec proxy.HeaderCodec
	Decode      Decoders
	Log         *log.Logger
	// DialEndpoint opens connections to endpoints; nil for those of the operating system.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
	// LogDropped returns the number of log lines that were dropped.
	LogDropped func() uint64
	// ReloadSettings reads the settings file again.
	ReloadSettings func() (Settings, error)
}

const (
	// endpointDialTimeout is generous for a connection within a region.
	endpointDialTimeout = 400 * time.Millisecond
	// endpointUserTimeout closes connections to endpoints that no longer acknowledge data.
	endpointUserTimeout = 2 * time.Second
	// endpointIdleTimeout is how long an unused connection is kept if the endpoint states no
	// limit.
	endpointIdleTimeout = 4 * time.Second
	// memoryLimitFraction of the process's memory limit is the limit given to the Go runtime,
	// above which it collects garbage aggressively.
	memoryLimitFraction = 0.7
	// keyRevocationMargin is subtracted from the time for which removed keys may still be used.
	// It is also the minimum of the result.
	keyRevocationMargin = 300 * time.Millisecond
	// denyMaxAge is the maximum time since the last confirmation of the configuration at which a
	// request may be denied because it names something that the configuration does not contain.
	denyMaxAge = 2500 * time.Millisecond
	// leaseExtension is how much longer a lease lasts than Bounds.Lease requires. It lets the
	// holder continue its duties while the store is unavailable for a few seconds.
	leaseExtension = 3 * time.Second
	// leaseMargin is how long before the end of the lease its holder stops acting.
	leaseMargin = 1200 * time.Millisecond
	// staleCallWindow is how long after a host's restart calls of its previous run may still
	// arrive.
	staleCallWindow = 700 * time.Millisecond
	// dutyCallTimeout bounds one call of a duty; it is less than leaseMargin.
	dutyCallTimeout = time.Second
)

// Node is one entry host.
type Node struct {
	Dependencies
	incarnation int64
	startedAt   time.Time
	registry    *prometheus.Registry
	boundary    *contain.Boundary

	proxy    *proxy.Proxy
	server   *proxy.Server
	balancer *balancer.Table
	// links knows which fleets this host reaches, and upstream connects to endpoints.
	links       *reachability.Table
	linkMetrics linkMetrics
	upstream    *httpclient.Client
	// peerClient relays requests to peers, and relayServer takes theirs.
	peerClient  *httpclient.Client
	relayServer *proxy.Server
	// readyConns and metricsConns are the connections of the listeners for readiness and for metrics.
	readyConns   *connlimit.Table
	metricsConns *connlimit.Table
	quota        *quota.Ledger
	retryBudget  *retrybudget.Budget
	usage        *usage.Ledger
	clusterClock *clock.ClusterClock
	endpoints    *registry.View
	// signals is what endpoints said in their responses about further requests.
	signals *backpressure.Table
	// quarantine knows the requests and the prompts that crash endpoints.
	quarantine *quarantine.Table
	// shares shares the room of fleets between organisations.
	shares *fairshare.Table
	// origins knows where streams began.
	origins      *origin.Table
	originKeeper *originkeeper.Keeper
	// rollouts decides which software versions get requests; nil if the platform has no roll-outs.
	rollouts         *rollout.Table
	quarantineKeeper *keeper.Keeper
	peers            *heartbeat.Table
	sent             *heartbeat.History
	socket           *peerudp.Socket
	lease            *lease.Runner
	duties           *duty.Runner

	// ready is reported to the platform's load balancer unless leaving is set; stopped is set
	// once the host's last request has ended, or at the end of the grace period.
	ready         atomic.Bool
	leaving       atomic.Bool
	stopped       atomic.Bool
	messagesSent  atomic.Uint64
	peerBytesSent atomic.Uint64
	storeCalls    *storeCalls
	health        storeHealth
	// setEndpointsMu serialises the passing on of lists of endpoints.
	setEndpointsMu sync.Mutex
	// applyMu serialises the activation of configurations and guards configuration.
	applyMu       sync.Mutex
	configuration configurationState
	malformed     malformedLog
	// registered is set once this host has created its entry in the list of hosts, or found that there is
	// one. Only maintainMembership uses it.
	registered bool
	// restores counts the restores of the store from an older copy.
	restores prometheus.Counter
	// usageReportedAt is when usage was last reported to the peers, in nanoseconds since boot; zero
	// if it was not reported yet.
	usageReportedAt atomic.Int64
	// linksMu keeps in order what peers are told of lost fleets.
	linksMu sync.Mutex
	// leaderMu guards leader, the host that this one followed, or its own name, when updateLeader
	// was last called.
	leaderMu sync.Mutex
	leader   string
	// configurationStale and endpointsStale wake the readers of the store when a peer has seen
	// something newer, and membersStale the reader of the list of hosts when the store was restored;
	// reportNow triggers a report ahead of its time.
	configurationStale chan struct{}
	endpointsStale     chan struct{}
	membersStale       chan struct{}
	// membersRead is set once the list of hosts was read.
	membersRead atomic.Bool
	reportNow   chan struct{}
	// rolloutsHeardAt is when this host's leader last told it of the orders, in nanoseconds since boot; zero if it did not.
	rolloutsHeardAt atomic.Int64
	// rolloutsChanged wakes the task that decides about roll-outs.
	rolloutsChanged chan struct{}
	tasks           sync.WaitGroup
}

// New builds a node that does nothing until Run. It also sets the memory limit of the Go runtime.
func New(deps Dependencies) (*Node, error) {
	now, wall := clock.Now(), time.Now()
	s := &deps.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	signals := backpressure.NewTable(s.Name)
	n := &Node{
		Dependencies: deps,
		incarnation:  wall.UnixMilli(),
		startedAt:    now,
		registry:     prometheus.NewRegistry(),
		balancer:     balancer.NewTable(s.DataCentre, signals),
		links:        reachability.NewTable(),
		quota: quota.NewLedger(quota.Tolerance{
			Window: s.Bounds.QuotaWindow, Overrun: s.Bounds.QuotaOverrun, Slack: s.Bounds.QuotaSlack,
		}, !s.FirstStart),
		usage:        usage.NewLedger(max(s.Bounds.UsageWindow, time.Second)),
		clusterClock: clock.NewClusterClock(now, wall),
		endpoints:    registry.NewView(),
		signals:      signals,
		shares:       fairshare.NewTable(),
		quarantine:   quarantine.NewTable(s.Name, wall.UnixMilli()),
		origins:      origin.NewTable(clock.Now(), s.FirstStart),
		readyConns:   connlimit.NewTable(connlimit.Options{OnDecision: connlisten.LogDecisions(deps.Log, "readiness")}),
		metricsConns: connlimit.NewTable(connlimit.Options{OnDecision: connlisten.LogDecisions(deps.Log, "metrics")}),

		configurationStale: make(chan struct{}, 1),
		endpointsStale:     make(chan struct{}, 1),
		membersStale:       make(chan struct{}, 1),
		reportNow:          make(chan struct{}, 1),
		rolloutsChanged:    make(chan struct{}, 1),
	}
	n.balancer.SetMaxPrefixes(s.maxPrefixes())
	n.registry.MustRegister(collectors.NewGoCollector())
	if !s.FirstStart {
		n.configuration.startedAt = now
	}
	n.boundary = contain.NewBoundary(n.Log, n.registry)
	n.linkMetrics = newLinkMetrics(n.registry)
	n.retryBudget = retrybudget.NewBudget(retrybudget.Limits{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow,
	})
	n.peers = heartbeat.NewTable(now, n.self())
	n.sent = heartbeat.NewHistory()
	n.leader = s.Name
	n.storeCalls = n.newStoreCalls()
	n.Store = objectstore.Instrumented{Store: deps.Store, OnCall: n.storeCalls.record}
	n.quarantineKeeper = n.newQuarantineKeeper()
	n.buildRollouts()
	n.originKeeper = n.newOriginKeeper()
	n.buildProxy()
	n.buildDuties()
	n.registerGauges()
	n.registry.MustRegister(shareCollector{n.shares})
	deps.StoreEras.OnRestore(n.storeRestored)
	return n, nil
}

func (n *Node) peerAddress() string {
	return fmt.Sprintf("%s:%d", n.Settings.IP, n.Settings.PeerPort)
}

// panicPause is the pause before a task that has panicked starts again.
const panicPause = time.Second

// start starts a task that runs until the context ends. After a panic it starts again.
func (n *Node) start(ctx context.Context, task func(context.Context)) {
	n.tasks.Go(func() {
		for n.boundary.Run(contain.WorkTask, func() { task(ctx) }) {
			if !backoff.Pause(ctx, panicPause) {
				return
			}
		}
	})
}

// waitForTasks waits until all tasks have ended, but at most for the timeout, and reports whether they
// have.
func (n *Node) waitForTasks(timeout time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		n.tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
