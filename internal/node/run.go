package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/bodyhttp"
	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
)

const (
	// readyDelay is how long after it has a configuration and endpoints a host reports that it
	// is ready. By then it has normally received its peers' reports.
	readyDelay = 300 * time.Millisecond
	// confirmationWait bounds how long a host that could be ready waits for the first confirmation of its configuration.
	confirmationWait = 500 * time.Millisecond
	// memberRemovalTimeout bounds the removal of this host's entry at the end of a stop, and taskEndTimeout the wait for
	// the tasks. Both are shorter if the grace period ends before.
	memberRemovalTimeout = 300 * time.Millisecond
	taskEndTimeout       = 200 * time.Millisecond
	// probeTimeout bounds the arrival of a probe or of a request for metrics and the write of the response, and
	// probeHeaderBytes the size of its header.
	probeTimeout     = 3 * time.Second
	probeHeaderBytes = 8 << 10
)

// Run serves requests until the context ends, and then stops gracefully and returns nil. It returns
// an error if it cannot listen. At each signal on reloads it calls reload.
func (n *Node) Run(ctx context.Context, reloads <-chan os.Signal) error {
	if err := n.listen(); err != nil {
		return err
	}
	n.Log.Info().Str("data_centre", n.Settings.DataCentre).
		Int64("incarnation", n.incarnation).Bool("first_start", n.Settings.FirstStart).Msg("started")
	work, endWork := context.WithCancel(context.Background())
	defer endWork()
	duties, endDuties := context.WithCancel(work)
	defer endDuties()
	go n.server.Serve()
	go n.relayServer.Serve()
	n.startTasks(work)
	n.startDuties(duties)
	for {
		select {
		case <-reloads:
			n.reload()
		case <-ctx.Done():
			// Another host takes over the duties while this one finishes its open requests.
			endDuties()
			n.stop(endWork)
			return nil
		}
	}
}

// reload reads the settings again and logs whether they differ. The settings are fixed for a run:
// differences take effect at the next start.
func (n *Node) reload() {
	s, err := n.ReloadSettings()
	if err != nil {
		n.Log.Error().Err(err).Msg("cannot reload settings")
		return
	}
	n.Log.Info().Bool("changed", !reflect.DeepEqual(s, n.Settings)).
		Bool("bounds_changed", s.Bounds != n.Settings.Bounds).Msg("settings read again")
}

func (n *Node) listen() error {
	server, err := n.proxy.Listen(n.Settings.FrontAddress)
	if err != nil {
		return err
	}
	n.server = server
	if n.relayServer, err = n.proxy.ListenRelay(n.peerAddress(), n.peers.IsPeerAddress); err != nil {
		return err
	}
	n.registerConns()
	if err := n.serveReady(); err != nil {
		return err
	}
	if err := n.serveMetrics(); err != nil {
		return err
	}
	n.socket, err = peerudp.Listen(n.peerAddress())
	return err
}

// serveReady serves the platform load balancer's readiness checks.
func (n *Node) serveReady() error {
	listener, err := listenTCP(n.Settings.ReadyAddress)
	if err != nil {
		return fmt.Errorf("readiness listener: %w", err)
	}
	server := &fasthttp.Server{
		Handler:               connlisten.Handler(n.handleReady),
		NoDefaultServerHeader: true,
		ReadBufferSize:        probeHeaderBytes,
		ReadTimeout:           probeTimeout,
		WriteTimeout:          probeTimeout,
		IdleTimeout:           10 * time.Second,
	}
	server.ConnState = connlisten.StateOf(server)
	bodyhttp.Configure(server, bodyhttp.Options{Idle: probeTimeout}) // a probe has no body
	limited := connlisten.NewListener(listener, n.readyConns, maxProbeConns)
	go func() {
		if err := server.Serve(limited); err != nil {
			n.Log.Error().Err(err).Msg("readiness listener failed")
		}
	}()
	return nil
}

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if !n.ready.Load() || n.leaving.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func (n *Node) serveMetrics() error {
	if n.Settings.MetricsPort == 0 {
		return nil
	}
	listener, err := listenTCP(fmt.Sprintf("%s:%d", n.Settings.IP, n.Settings.MetricsPort))
	if err != nil {
		return fmt.Errorf("metrics listener: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	server := &http.Server{
		Handler:        connlisten.HTTPHandler(mux),
		ConnState:      connlisten.HTTPStateOf,
		ConnContext:    connlisten.HTTPContext,
		ReadTimeout:    probeTimeout,
		WriteTimeout:   probeTimeout,
		IdleTimeout:    10 * time.Second,
		MaxHeaderBytes: probeHeaderBytes,
	}
	limited := connlisten.NewListener(listener, n.metricsConns, maxProbeConns)
	go func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			n.Log.Error().Err(err).Msg("metrics listener failed")
		}
	}()
	return nil
}

func (n *Node) startTasks(ctx context.Context) {
	n.start(ctx, n.pollConfiguration)
	n.start(ctx, n.watchConfiguration)
	n.start(ctx, n.pollEndpoints)
	n.start(ctx, n.watchEndpoints)
	n.start(ctx, n.removeMissingEndpoints)
	n.start(ctx, n.maintainMembership)
	n.start(ctx, n.sendReports)
	n.start(ctx, n.watchLinks)
	n.start(ctx, n.becomeReady)
	n.start(ctx, n.quarantineKeeper.Run)
	n.startRollouts(ctx)
	n.start(ctx, n.originKeeper.Run)
	n.start(ctx, n.logState)
	n.start(ctx, n.shareRoom)
	n.tasks.Go(n.receiveMessages)
}

func (n *Node) startDuties(ctx context.Context) {
	if n.lease != nil {
		n.start(ctx, n.lease.Run)
		n.start(ctx, n.duties.Run)
	}
}

// becomeReady waits for the first configuration and the first endpoints, and after readyDelay lets the readiness checks
// succeed, once what it awaits is known or its time is over. A host whose configuration is not confirmed by then serves
// what needs no key.
func (n *Node) becomeReady(ctx context.Context) {
	for n.proxy.Table() == nil || len(n.endpoints.Known()) == 0 {
		if !backoff.Pause(ctx, 20*time.Millisecond) {
			return
		}
	}
	if !backoff.Pause(ctx, readyDelay) || !n.awaitQuarantine(ctx) || !n.awaitRollouts(ctx) || !n.awaitOrigins(ctx) || !n.awaitConfirmed(ctx) {
		return
	}
	n.ready.Store(true)
	n.Log.Info().Uint64("generation", uint64(n.proxy.Table().Generation())).
		Int("endpoints", len(n.endpoints.Known())).Msg("ready")
}

// awaitConfirmed waits for the first confirmation of the configuration, but at most for confirmationWait. It returns
// false if the context ends.
func (n *Node) awaitConfirmed(ctx context.Context) bool {
	for deadline := clock.Now().Add(confirmationWait); isNever(n.proxy.ConfirmedAt()) && clock.Now().Before(deadline); {
		if !backoff.Pause(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// stop waits until the load balancer should no longer send new connections, finishes the open requests as far as
// the grace period allows, and deregisters this host. The caller has already ended the duties.
func (n *Node) stop(endWork context.CancelFunc) {
	began := clock.Now()
	plan := planStop(began, n.Settings.Bounds.StopGrace)
	n.leaving.Store(true)
	n.server.Drain(plan)
	n.relayServer.Drain(plan)
	n.Log.Info().Int64("late_in_ms", plan.Late.Sub(began).Milliseconds()).
		Int64("end_in_ms", plan.End.Sub(began).Milliseconds()).Msg("stopping")
	time.Sleep(plan.Late.Sub(clock.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), plan.End.Sub(clock.Now()))
	defer cancel()
	n.server.Close(ctx)
	n.relayServer.Close(ctx)
	endWork()
	// The host is reported as leaving only now: until its last request ended it spent quota and
	// counted usage like the others, and its reports had to reach them.
	n.stopped.Store(true)
	n.sendLeaving(clock.Now())
	graceEnd := plan.End.Add(exitMargin)
	n.removeMember(leaveTimeout(memberRemovalTimeout, graceEnd.Sub(clock.Now())))
	_ = n.socket.Close()
	wait := leaveTimeout(taskEndTimeout, graceEnd.Sub(clock.Now()))
	if !n.waitForTasks(wait) {
		n.Log.Warn().Int64("waited_ms", wait.Milliseconds()).Msg("tasks still running at the stop")
	}
	n.Log.Info().Int64("took_ms", clock.Now().Sub(began).Milliseconds()).Msg("stopped")
}
