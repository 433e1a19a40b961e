package proxy

import (
	"github.com/phuslu/log"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/clock"
)

// SignalObserved counts and logs what a response says about further requests to its endpoint, if that
// changes what this host believes, and what of it was ignored.
func (t *Telemetry) SignalObserved(a *attempt, info *ResponseInfo, change backpressure.Change) {
	x := a.exchange
	if change.Left {
		t.metrics.signals.WithLabelValues(signalLeaving).Inc()
		t.entry(log.WarnLevel, x).Str("endpoint", a.choice.Endpoint.ID).Int("status", a.status).
			Msg("endpoint says that it leaves")
	}
	if !change.OpensAt.IsZero() {
		t.metrics.signals.WithLabelValues(signalClosed).Inc()
		t.entry(log.WarnLevel, x).Str("endpoint", a.choice.Endpoint.ID).Int("status", a.status).
			Int64("retry_after_ms", info.Signal.RetryAfter.Milliseconds()).
			Int64("opens_in_ms", change.OpensAt.Sub(clock.Now()).Milliseconds()).
			Msg("endpoint closed")
	}
	if info.Signal.Limit.Stated {
		t.metrics.signals.WithLabelValues(signalLimit).Inc()
	}
	if info.SignalErr != nil {
		t.metrics.signals.WithLabelValues(signalIgnored).Inc()
		if t.allowRoutine(clock.Now(), lineSignal) {
			t.entry(log.WarnLevel, x).Str("endpoint", a.choice.Endpoint.ID).Int("status", a.status).
				Err(info.SignalErr).Msg("endpoint's signal ignored")
		}
	}
}

// LimitChanged logs that an endpoint states another rate limit than before, or none any more.
func (t *Telemetry) LimitChanged(a *attempt, l backpressure.Limit) {
	t.entry(log.WarnLevel, a.exchange).Str("endpoint", a.choice.Endpoint.ID).Int("status", a.status).
		Bool("limited", l.Stated).Float64("per_second", l.PerSecond).Msg("endpoint states a rate limit")
}

// The kinds of signals in metrics.
const (
	signalLeaving        = "leaving"
	signalClosed         = "closed"
	signalLimit          = "limit"
	signalRejectionLimit = "rejection_limit"
	signalIgnored        = "ignored"
)

// Reopened logs the first request to an endpoint after it was closed.
func (t *Telemetry) Reopened(a *attempt) {
	t.entry(log.InfoLevel, a.exchange).Str("endpoint", a.choice.Endpoint.ID).Msg("endpoint open again")
}

// RejectionLimitStated counts and logs that an endpoint states a rejection limit, the first of its fleet for some
// time.
func (t *Telemetry) RejectionLimitStated(a *attempt, l backpressure.RejectionLimit) {
	t.metrics.signals.WithLabelValues(signalRejectionLimit).Inc()
	t.entry(log.WarnLevel, a.exchange).Str("endpoint", a.choice.Endpoint.ID).Int("per_second", l.PerSecond).
		Msg("endpoint states a rejection limit")
}
