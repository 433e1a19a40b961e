package gossip

import (
	"context"
	"errors"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"rattanchute/internal/fleet"
)

// Bounds of a runner's sending.
const (
	// sendTimeout is how long a peer may take to answer a message.
	sendTimeout = 2 * time.Second
	// urgentWorkers send only news of leaving hosts.
	urgentWorkers = 16
	normalWorkers = 32
	// sendQueue is the number of messages that may wait for a worker.
	sendQueue = 1024
)

func (r *Runner) sendAll(sends []Send) {
	for _, s := range sends {
		pool := r.normal
		if s.Urgent {
			pool = r.urgent
		}
		err := pool.Go(func() { r.deliver(r.ctx, s) })
		if err != nil && !errors.Is(err, pond.ErrPoolStopped) {
			r.metrics.dropped.Inc()
			r.with(func(now time.Time) Output { return r.machine.HandleSendDropped(now, s) })
		}
	}
}

func (r *Runner) deliver(ctx context.Context, s Send) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := r.settings.Transport.Send(ctx, s.To, s.Message)
	r.metrics.sent.WithLabelValues(string(s.Message.Kind), resultOf(err)).Inc()
	if r.ctx.Err() != nil {
		return
	}
	r.with(func(now time.Time) Output {
		if err != nil {
			return r.machine.HandleSendFailure(now, r.rnd, s)
		}
		return r.machine.HandleReply(now, r.rnd, s, reply)
	})
}

func (r *Runner) dispatchLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		}
		r.mu.Lock()
		events := r.events
		r.events = nil
		r.mu.Unlock()
		for _, e := range events {
			r.report(e)
		}
	}
}

func (r *Runner) report(e Event) {
	switch e := e.(type) {
	case ConfigurationInForce:
		log.Info().Uint64("generation", uint64(e.Generation)).Msg("configuration in force")
	case MemberChanged:
		log.Info().Str("member", e.Member.Name).Str("state", e.Member.State.String()).Bool("live", e.Live).Msg("member changed")
	case HostStateChanged:
		if e.State.Phase == fleet.PhaseLive {
			break
		}
		log.Info().Str("host", e.State.Host).Str("instance", e.State.Instance).Int("phase", int(e.State.Phase)).Msg("host state changed")
	}
	if r.settings.OnEvent != nil {
		r.settings.OnEvent(e)
	}
}
