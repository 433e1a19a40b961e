package proxy

import (
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/clock"
	"rattanchute/internal/connlimit"
)

// relayed counts and logs that a request is relayed to a peer because this host cannot reach its endpoints.
// It falls under the rate limit for routine lines.
func (t *Telemetry) relayed(x *exchange, a *attempt) {
	t.metrics.relayed.Inc()
	if !t.allowRoutine(clock.Now(), lineSent) {
		return
	}
	t.entry(log.InfoLevel, x).
		Str("peer", a.peer.Name).
		Strs("failed_peers", x.failedPeers).
		Bool("fleet_lost", x.proxy.Links.Table.Lost(x.fleet)).
		Int("sends", x.sends).
		Str("after_event", x.info.LastEventID).
		Int64("left_ms", x.deadline.Sub(clock.Now()).Milliseconds()).
		Msg("request relayed to a peer")
}

// RelayRejected logs, within the rate limit for routine lines, a connection or a request on the relay listener
// that is not served.
func (t *Telemetry) RelayRejected(err error) {
	if t.allowRoutine(clock.Now(), lineAccept) {
		t.log.Warn().Err(err).Msg("relayed request rejected")
	}
}

// ConnectionDecided logs, within the rate limit for routine lines, that a connection was closed for others or not taken.
func (t *Telemetry) ConnectionDecided(now time.Time, listener string, d connlimit.Decision, u connlimit.Usage) {
	kind := lineClosed
	if d == connlimit.Refused {
		kind = lineRefused
	}
	if t.allowRoutine(now, kind) {
		connlisten.LogDecision(t.log.Warn(), listener, d, u)
	}
}

// from returns the host that has relayed the request; empty if it comes from its caller.
func (x *exchange) from() string {
	if x.relayed == nil {
		return ""
	}
	return x.relayed.From
}

// via returns the peer that the request is relayed to; empty if it is sent to the endpoint itself.
func (a *attempt) via() string {
	if a.peer == nil {
		return ""
	}
	return a.peer.Name
}
