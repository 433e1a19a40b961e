package app

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// state is what readiness depends on.
type state struct {
	draining     atomic.Bool
	platformDown atomic.Bool
}

// platformReached notes whether the last call to the platform was answered.
func (s *state) platformReached(ok bool) { s.platformDown.Store(!ok) }

const (
	// deregisterDelay is how long a stopping daemon still takes requests while the
	// balancer learns that it is not ready.
	deregisterDelay = time.Second
	// leaveTimeout bounds the farewell to peers and platform.
	leaveTimeout = 5 * time.Second
	// backlogTimeout bounds the wait for reports that the platform has not taken yet.
	backlogTimeout = 10 * time.Second
)

// Drain makes the daemon not ready; it goes on serving what reaches it.
func (a *App) Drain() {
	if a.state.draining.CompareAndSwap(false, true) {
		a.log.Info().Str("node", a.settings.Node).Msg("draining")
	}
}

// shutdown stops gracefully: requests in flight end first, for as long as the grace
// period lasts; what is still open then is ended with a resume token.
func (a *App) shutdown() error {
	a.Drain()
	time.Sleep(deregisterDelay)
	a.service.StopAccepting()
	grace, cancel := context.WithTimeout(context.Background(), a.settings.ShutdownGrace.Std())
	defer cancel()
	drainErr := a.service.Drain(grace)
	if drainErr != nil {
		drainErr = errors.Join(drainErr, a.service.EndStreams(leaveTimeout))
	}
	a.flushClaims()
	err := a.leave()
	a.log.Info().Str("node", a.settings.Node).Msg("stopped")
	return errors.Join(drainErr, err)
}

// flushClaims waits until the claims' reports are stored, for a bounded time.
func (a *App) flushClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), backlogTimeout)
	defer cancel()
	if err := a.claims.Flush(ctx); err != nil {
		a.log.Warn().Int("reports", a.claims.Backlog()).Msg("claims' reports lost at the stop; their keys stay unknown")
	}
}

func (a *App) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	close(a.stop)
	a.tasks.Wait()
	a.claims.Close()
	return errors.Join(
		a.callers.Shutdown(ctx),
		a.operators.ShutdownWithContext(ctx),
		a.gossip.Leave(ctx),
		a.peers.Shutdown(ctx),
	)
}
