package gossip

import (
	"context"
	"errors"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"rattanchute/internal/fleet"
)

// Limits on sending messages to peers: their duration, concurrency and queue length.
const (
	// sendTimeout bounds one request to a peer, including its reply.
	sendTimeout = 2 * time.Second
	// urgentWorkers send only the pushes by Flush about hosts that are leaving or gone; normalWorkers
	// send all other messages, except that Leave sends its announcement itself.
	urgentWorkers = 16
	normalWorkers = 32
	// sendQueue is the number of messages that can be queued per worker pool. Further ones are
	// dropped.
	sendQueue = 1024
)

func (r *Runner) sendAll(sends []Send) {
	for _, s := range sends {
		pool := r.normalPool
		if s.Urgent {
			pool = r.urgentPool
		}
		err := pool.Go(func() { r.deliver(r.ctx, s) })
		if err != nil && !errors.Is(err, pond.ErrPoolStopped) {
			r.metrics.dropped.Inc()
			r.runStep(func(now time.Time) Output { return r.machine.HandleSendDropped(now, s) })
		}
	}
}

func (r *Runner) deliver(ctx context.Context, s Send) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := r.settings.Transport.Send(ctx, s.To, s.Message)
	r.metrics.sent.WithLabelValues(string(s.Message.Kind), resultLabel(err)).Inc()
	if r.ctx.Err() != nil {
		return
	}
	r.runStep(func(now time.Time) Output {
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
		case <-r.eventsPending:
		}
		r.mu.Lock()
		events := r.events
		r.events = nil
		r.mu.Unlock()
		for _, e := range events {
			r.dispatchEvent(e)
		}
	}
}

func (r *Runner) dispatchEvent(e Event) {
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
