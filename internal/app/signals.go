package app

import (
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/backpressure"
)

// signalLog logs what endpoints say about further requests. It implements route.SignalLog.
type signalLog struct{ log *log.Logger }

// SignalChanged implements route.SignalLog.
func (l signalLog) SignalChanged(endpoint string, c backpressure.Change) {
	line := l.log.Warn().Str("endpoint", endpoint).Bool("leaving", c.Left)
	if !c.OpensAt.IsZero() {
		line = line.Int64("opens_in_ms", time.Until(c.OpensAt).Milliseconds())
	}
	line.Msg("endpoint accepts no requests")
}

// LimitChanged implements route.SignalLog.
func (l signalLog) LimitChanged(endpoint string, limit backpressure.Limit) {
	l.log.Warn().Str("endpoint", endpoint).Bool("limited", limit.Stated).Float64("per_second", limit.PerSecond).
		Msg("endpoint states a rate limit")
}

// SignalIgnored implements route.SignalLog.
func (l signalLog) SignalIgnored(endpoint string, err error) {
	l.log.Warn().Str("endpoint", endpoint).Err(err).Msg("endpoint's signal ignored")
}
