package proxy

import (
	"errors"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/quarantine/verify"
)

// StreamEnded counts the end of an endpoint's stream, by framing and by how it ended.
func (t *Telemetry) StreamEnded(a *attempt) {
	t.metrics.streamEnds.WithLabelValues(string(a.framing), a.streamEnd()).Inc()
}

// The ways in which streams end, in metrics.
const (
	endWhole       = "whole"
	endInsideEvent = "inside_event"
	endNoEvent     = "no_event"
	endCut         = "cut"
	endGone        = "endpoint_gone"
	endForeign     = "not_continued"
	endNothing     = "nothing_follows"
)

// streamEnd returns how the stream ended, as a metric label.
func (a *attempt) streamEnd() string {
	switch {
	case a.err == nil:
		return endWhole
	case errors.Is(a.err, errCutInsideEvent):
		return endInsideEvent
	case errors.Is(a.err, errNoEvent):
		return endNoEvent
	case errors.Is(a.err, errEndpointGone):
		return endGone
	case errors.Is(a.err, errNothingFollows):
		return endNothing
	case isForeign(a.err):
		return endForeign
	}
	return endCut
}

// EndChecked counts what was found out about the endpoint of a response that ended with its connection, and logs it
// unless the endpoint is there. The cause is why that is unknown.
func (t *Telemetry) EndChecked(a *attempt, leaving bool, cause error) {
	t.metrics.endChecks.WithLabelValues(a.presence.String()).Inc()
	if a.presence == verify.Present {
		return
	}
	t.entry(log.WarnLevel, a.exchange).
		Str("endpoint", a.choice.Endpoint.ID).
		Str("presence", a.presence.String()).
		Bool("leaving", leaving).
		Err(cause).
		Int("events", a.events).
		Msg("response ended with its connection")
}

// EndedAsMarked logs that a stream was ended where its endpoint, which was gone right then, had marked its end.
func (t *Telemetry) EndedAsMarked(x *exchange) {
	t.entry(log.InfoLevel, x).
		Str("after_event", x.info.LastEventID).
		Int("sends", x.sends).
		Msg("stream ended as its endpoint marked it")
}

// ObserveEventInterval records the time between two events of a stream. Events that are relayed
// together count as one.
func (t *Telemetry) ObserveEventInterval(d time.Duration) {
	t.metrics.eventInterval.Observe(d.Seconds())
}
