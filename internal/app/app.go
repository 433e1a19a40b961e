package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rattanchute/internal/adapter/callers"
	"rattanchute/internal/adapter/cloudhttp"
	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/adapter/operators"
	"rattanchute/internal/adapter/peerhttp"
	"rattanchute/internal/adapter/platformhttp"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/claim"
	"rattanchute/internal/cloud"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/contain"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/gossip"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/keeper"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
	"rattanchute/internal/settings"
)

// App is a daemon. New builds it, and Run, called once, runs it.
type App struct {
	settings settings.Settings
	log      *log.Logger
	registry *prometheus.Registry

	store objectstore.Store
	cloud cloud.Client
	// lastNotice is the highest sequence number of the notices read, zero before the first.
	// Only readNotices uses it.
	lastNotice uint64
	engines    *enginehttp.Client
	router     *route.Router
	limiter    *ratelimit.Limiter
	claims     *claim.Service
	service    *dispatcher.Service
	gossip     *gossip.Runner
	// quarantine knows the requests and the prompts that crash endpoints.
	quarantine       *quarantine.Table
	quarantineKeeper *keeper.Keeper
	quarantineRound  int
	callers          *callers.Server
	operators        *operators.Server
	peers            *peerhttp.Server
	peerHTTP         *peerhttp.Client
	pool             pond.Pool
	tls              tlsReloaders

	stop    chan struct{}
	tasks   sync.WaitGroup
	state   state
	metrics *controlMetrics
	// boundary contains panics of requests.
	boundary *contain.Boundary
	// bodies bounds the memory of the bodies of all listeners.
	bodies *bodybudget.Budget
}

// controlWorkers bounds the load polls that run at the same time.
const controlWorkers = 64

// New builds a daemon. It does not listen or send anything before Run is called.
func New(s settings.Settings, logger *log.Logger) (*App, error) {
	a := &App{
		settings: s,
		log:      logger,
		registry: prometheus.NewRegistry(),
		router:   route.NewRouter(s.DataCentre),
		limiter:  ratelimit.NewLimiter(s.Node),
		pool:     pond.NewPool(controlWorkers),
		stop:     make(chan struct{}),

		quarantine: quarantine.NewTable(s.Node, time.Now().UnixMilli()),
	}
	a.bodies = bodybudget.New(s.Limits.BodyMemory(), 0)
	a.engines = enginehttp.New(enginehttp.Options{Signals: a.router, Room: newEngineRoom(a.bodies)})
	a.router.SetSignalLog(signalLog{a.log})
	a.handleInvariantViolations()
	a.store = newStore(s.Platform, logger)
	a.cloud = newCloud(s.Platform)
	a.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	a.metrics = newControlMetrics(a.registry)
	a.boundary = contain.NewBoundary(a.log, a.registry)
	steps := []func() error{a.limitMemory, a.buildTLS, a.buildPeers, a.buildGossip, a.buildClaims, a.buildQuarantine, a.buildService, a.buildOperators}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	a.registry.MustRegister(a.bodies.Collector(), connlimit.Collector(map[string]*connlimit.Table{
		"callers": a.callers.Conns(), "peers": a.peers.Conns(), "operators": a.operators.Conns(),
	}))
	return a, nil
}

func newStore(p settings.Platform, logger *log.Logger) objectstore.Store {
	return platformhttp.New(platformhttp.Options{
		Address: hostPort(p.URL),
		Token:   p.Token.Secret.Reveal(),
		Timeout: p.Timeout.Std(),
		OnMalformed: objectstore.ReportMalformedOnce(func(kind objectstore.Kind, err error) {
			logger.Warn().Str("kind", string(kind)).Err(err).Msg("store entry skipped")
		}),
	})
}

// newCloud returns a client of the cloud API, which is at the platform's address.
func newCloud(p settings.Platform) cloud.Client {
	return cloudhttp.New(cloudhttp.Options{
		Address: hostPort(p.URL),
		Token:   p.Token.Secret.Reveal(),
	})
}

func (a *App) buildService() error {
	keys := make([][]byte, 0, len(a.settings.ResumeTokens.Keys))
	for _, k := range a.settings.ResumeTokens.Keys {
		keys = append(keys, []byte(k.Secret.Reveal()))
	}
	signer, err := resumetoken.NewSigner(keys...)
	if err != nil {
		return err
	}
	limits := dispatcher.DefaultSettings()
	limits.MaxStreams = a.settings.Limits.MaxOpenStreams
	limits.ChunkBuffer = a.settings.Limits.StreamBufferChunks
	a.service = dispatcher.New(dispatcher.Dependencies{
		Settings:  limits,
		Router:    a.router,
		Limiter:   a.limiter,
		Claims:    a.claims,
		Engines:   a.engines,
		Signer:    signer,
		Metrics:   dispatcher.NewMetrics(a.registry),
		MoveRates: dispatcher.DefaultMoveRates(),

		Quarantine: a.quarantine,
		MayProbe:   a.mayProbe,
		Accepts:    a.engines.Accepts,
		Listens:    a.engines.Listens,
	})
	a.callers = callers.New(a.service, a.router, callerLimits(a.settings.Limits), callers.Process{
		Bodies: a.bodies, Boundary: a.boundary, Log: a.log,
	})
	return nil
}

func (a *App) buildOperators() error {
	b := &backend{app: a, started: time.Now()}
	handler := operators.NewHandler(b, a.settings.Operators, a.bodies, a.registry, a.log)
	a.operators = operators.NewServer(handler, a.settings.Limits, a.boundary)
	a.peers.Handle(pathStatus, b.handleStatus)
	a.peers.Handle(pathDrain, b.handleDrain)
	return nil
}

func callerLimits(l settings.Limits) callers.Limits {
	limits := callers.DefaultLimits()
	limits.MaxBodyBytes = int(l.MaxBodyBytes)
	limits.MaxHeaderBytes = int(l.MaxHeaderBytes)
	limits.ReadTimeout = l.ReadHeaderTimeout.Std()
	limits.MaxConnections = min(limits.MaxConnections, descriptorsFor(callerFraction))
	return limits
}

// Run serves until ctx is done or a listener fails, and then shuts down gracefully. If an
// address cannot be listened on, it returns the error without serving.
func (a *App) Run(ctx context.Context) error {
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	failures := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { failures <- l.serve(l.listener) }()
	}
	a.membersChanged()
	a.gossip.Start()
	a.startTasks()
	a.log.Info().Str("node", a.settings.Node).Msg("started")
	select {
	case <-ctx.Done():
		return a.shutdown()
	case err := <-failures:
		return errors.Join(err, a.shutdown())
	}
}

// receiveBytes is the size of the operating system's receive buffer of a connection.
const receiveBytes = 16 << 10

// boundListener is a listener with the function that serves it.
type boundListener struct {
	listener net.Listener
	serve    func(net.Listener) error
}

func (a *App) listen() ([]boundListener, error) {
	specs := []struct {
		address string
		serve   func(net.Listener) error
	}{
		{a.settings.Listen.Callers, func(l net.Listener) error { return a.callers.Serve(l, a.tls.callers()) }},
		{a.settings.Listen.Peers, a.peers.Serve},
		{a.settings.Listen.Operators, a.operators.Serve},
	}
	list := make([]boundListener, 0, len(specs))
	for _, w := range specs {
		l, err := connlisten.Listen(w.address, receiveBytes)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", w.address, err)
		}
		list = append(list, boundListener{l, w.serve})
	}
	return list, nil
}

// startTasks starts the periodic tasks, which run until a.stop is closed.
func (a *App) startTasks() {
	a.runEvery(pollInterval, a.pollEndpoints)
	a.runEvery(noticeInterval, a.readNotices)
	a.runEvery(shareRequestInterval, a.requestShares)
	a.runEvery(quarantineInterval, a.shareQuarantine)
	a.keepQuarantine()
	a.tls.run(a.settings.TLS.ReloadInterval.Std(), a.stop)
}

func (a *App) runEvery(interval time.Duration, work func()) {
	a.tasks.Add(1)
	go func() {
		defer a.tasks.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				work()
			case <-a.stop:
				return
			}
		}
	}()
}
