package app

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// state holds the flags that readiness and status depend on.
type state struct {
	draining     atomic.Bool
	platformDown atomic.Bool
}

// setPlatformReachable records whether the configuration could be read from the platform when an
// operator last requested it. Other calls to the platform are not recorded.
func (s *state) setPlatformReachable(ok bool) { s.platformDown.Store(!ok) }

const (
	// deregisterDelay is how long a stopping daemon still accepts requests, so that the load
	// balancer can learn that the daemon is not ready.
	deregisterDelay = time.Second
	// leaveTimeout bounds the wait for open requests to end, and then again the time to close
	// the listeners and to tell peers and platform that this daemon leaves.
	leaveTimeout = 5 * time.Second
	// claimFlushTimeout bounds the wait for claim reports that the platform has not stored
	// yet.
	claimFlushTimeout = 10 * time.Second
)

// Drain makes the daemon fail its readiness check. It still serves the requests that
// arrive.
func (a *App) Drain() {
	if a.state.draining.CompareAndSwap(false, true) {
		a.log.Info().Str("node", a.settings.Node).Msg("draining")
	}
}

// shutdown stops gracefully. It waits for the requests in flight until the grace period
// ends. If some are still in flight then, it ends the open streams with a resume token and the
// calls with an error response, and returns an error. It also returns the errors of closing the listeners and of telling peers
// and platform that this daemon leaves. Claim reports that could not be stored are only logged.
func (a *App) shutdown() error {
	a.Drain()
	time.Sleep(deregisterDelay)
	a.service.StopAccepting()
	grace, cancel := context.WithTimeout(context.Background(), a.settings.ShutdownGrace.Std())
	defer cancel()
	drainErr := a.service.Drain(grace)
	if drainErr != nil {
		drainErr = errors.Join(drainErr, a.service.EndRequests(leaveTimeout))
	}
	a.flushClaims()
	err := a.leave()
	a.log.Info().Str("node", a.settings.Node).Msg("stopped")
	return errors.Join(drainErr, err)
}

// flushClaims waits until the reports of claims are stored, for at most claimFlushTimeout.
func (a *App) flushClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), claimFlushTimeout)
	defer cancel()
	if err := a.claims.Flush(ctx); err != nil {
		a.log.Warn().Int("reports", a.claims.Backlog()).
			Msg("claim reports not stored before shutdown; the outcome of their keys stays unknown")
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
		a.operators.Shutdown(ctx),
		a.gossip.Leave(ctx),
		a.peers.Shutdown(ctx),
	)
}
