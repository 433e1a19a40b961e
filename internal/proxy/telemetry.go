package proxy

import (
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/quarantine"
)

// Telemetry logs and counts the decisions about requests. Each kind of decision has one method.
type Telemetry struct {
	log     *log.Logger
	metrics *metrics
	// routineLimit limits the rate of routine lines: those of requests sent and answered, and of
	// failed accepts.
	routineLimit *lineLimiter
}

// NewTelemetry returns a Telemetry that logs to the logger, and registers its metrics. It panics if
// the registry already contains them.
func NewTelemetry(logger *log.Logger, registry prometheus.Registerer) *Telemetry {
	return &Telemetry{
		log:          logger,
		metrics:      newMetrics(registry),
		routineLimit: &lineLimiter{perSecond: maxRoutineLinesPerSecond},
	}
}

// entry begins a log line about a request.
func (t *Telemetry) entry(level log.Level, x *exchange) *log.Entry {
	line := t.log.WithLevel(level)
	line = line.Str("request", x.info.ID)
	if x.route != nil {
		line = line.Str("route", x.route.Name).Str("fleet", x.fleet)
	}
	if x.organisation != nil {
		line = line.Str("organisation", x.organisation.Name)
	}
	if x.relayed != nil {
		line = line.Str("relayed_from", x.from())
	}
	if x.table != nil {
		line = line.Uint64("generation", uint64(x.table.Generation()))
	}
	return line
}

// Sent logs which endpoint was chosen and why. It falls under the rate limit for routine lines
// until an attempt has reached an endpoint; later attempts are always logged.
func (t *Telemetry) Sent(x *exchange, a *attempt) {
	c := &a.choice
	if a.peer != nil {
		t.relayed(x, a)
		return
	}
	if x.sends == 0 && !t.allowRoutine(clock.Now(), lineSent) {
		return
	}
	t.entry(log.InfoLevel, x).
		Str("endpoint", c.Endpoint.ID).
		Str("endpoint_version", c.Endpoint.Version).
		Str("after_event", x.info.LastEventID).
		Str("resumes", x.info.Resumes).
		Str("stream_version", x.origin.Version).
		Int("sends", x.sends).
		Float64("quota_tokens", x.tokenCost).
		Int("in_flight", c.InFlight).
		Int("uncached_tokens", c.UncachedTokens).
		Str("prompt_parts", partsLabel(x.info.Parts)).
		Str("fingerprint", x.fingerprint()).
		Int("fetched_tokens", c.FetchTokens).
		Int64("expected_ms", c.FirstEvent.Milliseconds()).
		Int64("likely_ms", c.CorrectedFirstEvent.Milliseconds()).
		Float64("lasting_slowness", c.LastingSlowness).
		Float64("moment_slowness", c.MomentSlowness).
		Int64("left_ms", x.deadline.Sub(clock.Now()).Milliseconds()).
		Msg("request sent")
}

// Attempted counts an attempt, and logs it if it did not end with a complete response to the caller.
// A failed write of a response that is not a stream is not logged.
func (t *Telemetry) Attempted(x *exchange, a *attempt, out outcome, result balancer.Result) {
	t.metrics.attempts.WithLabelValues(out.String()).Inc()
	if a.terminated {
		t.metrics.terminated.WithLabelValues(a.progress()).Inc()
	}
	if out == outcomeDone && result != balancer.ResultCancelled {
		return
	}
	t.entry(log.WarnLevel, x).
		Str("endpoint", a.choice.Endpoint.ID).
		Str("peer", a.via()).
		Str("outcome", out.String()).
		Int("sends", x.sends).
		Bool("terminated", a.terminated).
		Str("prompt_parts", partsLabel(x.info.Parts)).
		Str("fingerprint", x.fingerprint()).
		Int("status", a.status).
		Str("framing", string(a.framing)).
		Int("events", a.events).
		Int("partial_bytes", a.partialBytes).
		Err(a.err).
		Str("after_event", x.info.LastEventID).
		Int64("took_ms", clock.Now().Sub(a.sentAt).Milliseconds()).
		Msg("attempt ended without an answer")
}

// The progress of an attempt when its endpoint terminated it, in metrics.
const (
	progressNoResponse = "no_response"
	progressNoEvent    = "no_event"
	progressEvents     = "events"
)

// progress returns how far the endpoint had answered.
func (a *attempt) progress() string {
	switch {
	case a.status == 0:
		return progressNoResponse
	case a.events == 0:
		return progressNoEvent
	}
	return progressEvents
}

// Probing logs that a quarantined request is sent to find out whether it still crashes endpoints.
func (t *Telemetry) Probing(x *exchange, e *quarantine.Entry) {
	t.metrics.probes.Inc()
	t.entry(log.WarnLevel, x).Strs("quarantined_parts", e.Parts).Str("fingerprint", e.Fingerprint).Int("crashes", e.Crashes).
		Msg("quarantined request probed")
}

// maxLoggedParts limits the parts of a prompt that a line names.
const maxLoggedParts = 8

// partsLabel returns the IDs of a prompt's first parts, which tell requests with a common part from others.
func partsLabel(parts []Part) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// HealthChanged logs that an endpoint was ejected as an outlier, which it also counts, or returned
// to use. It does nothing if neither is the case.
func (t *Telemetry) HealthChanged(endpoint string, change balancer.HealthChange) {
	switch {
	case change.EjectedFor > 0:
		t.metrics.ejections.Inc()
		t.log.Warn().Str("endpoint", endpoint).Float64("failure_rate", change.FailureRate).
			Int64("for_ms", change.EjectedFor.Milliseconds()).Msg("endpoint set aside")
	case change.Recovered:
		t.log.Info().Str("endpoint", endpoint).Msg("endpoint regained")
	}
}

// Responded counts a complete response of an endpoint, and logs it within the rate limit for routine
// lines. A response that is not a stream counts even if writing it to the caller failed.
func (t *Telemetry) Responded(x *exchange, a *attempt, now time.Time) {
	total := now.Sub(x.arrived)
	first := total
	if !a.firstEventAt.IsZero() {
		first = a.firstEventAt.Sub(x.arrived)
	}
	t.metrics.responded(x, a.status, first, total)
	if !t.allowRoutine(now, lineAnswered) {
		return
	}
	t.entry(log.InfoLevel, x).
		Str("endpoint", a.choice.Endpoint.ID).
		Str("peer", a.via()).
		Int("status", a.status).
		Str("framing", string(a.framing)).
		Int("events", a.events).
		Int("partial_bytes", a.partialBytes).
		Int64("first_ms", first.Milliseconds()).
		Int64("total_ms", total.Milliseconds()).
		Msg("request answered")
}

// Unbuffered counts, and logs within the rate limit for routine lines, that a response is forwarded as it comes, because there
// is too little memory to hold more of it than what has come.
func (t *Telemetry) Unbuffered(x *exchange, a *attempt, held int) {
	t.metrics.unbuffered.Inc()
	if !t.allowRoutine(clock.Now(), lineAnswered) {
		return
	}
	u := x.proxy.Bodies.Usage()
	t.entry(log.WarnLevel, x).Str("endpoint", a.choice.Endpoint.ID).Str("peer", a.via()).
		Int("held_bytes", held).Int64("bodies_held", u.Held).Int64("bodies_limit", u.Limit).
		Msg("response passed on as it comes, no memory to hold it")
}

// Refused counts and logs an error response of the proxy itself: a refusal, which means that the
// request has not run, or a failure (a status of 500 or more other than 503), after which it may
// have.
func (t *Telemetry) Refused(x *exchange, e *errorResponse) {
	message := "request refused"
	if e.status >= fasthttp.StatusInternalServerError && e.status != fasthttp.StatusServiceUnavailable {
		message = "request failed"
	}
	t.metrics.refusals.WithLabelValues(string(e.reason)).Inc()
	line := t.entry(log.WarnLevel, x)
	if e.quota != nil {
		line = line.Float64("quota_tokens", e.quotaTokens).Float64("quota_left", e.quota.Level).
			Float64("quota_per_second", e.quota.PerSecond)
	}
	if e.quarantine != nil {
		line = line.Strs("quarantined_parts", e.quarantine.Parts).Str("fingerprint", e.quarantine.Fingerprint).
			Int("crashes", e.quarantine.Crashes)
	}
	if e.share != nil {
		line = line.Float64("share_granted", e.share.Granted).Float64("share_level", e.share.Level)
	}
	if e.body != nil {
		usage := x.proxy.Bodies.Usage()
		line = line.Int64("body_held", e.body.Held).Int64("body_received", e.body.Received).
			Int64("bodies_held", usage.Held).Int64("bodies_limit", usage.Limit).Int("bodies_receiving", usage.Receiving)
	}
	if e.estimate != nil {
		line = line.Str("endpoint", e.estimate.Endpoint.ID).Int("in_flight", e.estimate.InFlight).
			Int64("expected_ms", e.estimate.CorrectedFirstEvent.Milliseconds()).
			Int64("backlog_ms", e.estimate.Backlog.Milliseconds())
	}
	if x.info.isResumption() {
		line = line.Str("after_event", x.info.LastEventID).Str("resumes", x.info.Resumes).Str("stream_version", x.origin.Version)
	}
	line.
		Str("reason", string(e.reason)).
		Int("status", e.status).
		Int("sends", x.sends).
		Bool("may_have_run", x.started).
		Int64("retry_after_ms", e.retryAfter.Milliseconds()).
		Int64("configuration_age_ms", x.proxy.ConfigurationAge(clock.Now()).Milliseconds()).
		Int64("took_ms", clock.Now().Sub(x.arrived).Milliseconds()).
		Msg(message)
}

// StreamBroken counts and logs a stream that was cut after part of it had been relayed.
func (t *Telemetry) StreamBroken(x *exchange, e *errorResponse) {
	t.metrics.refusals.WithLabelValues("stream_broken").Inc()
	t.entry(log.WarnLevel, x).
		Str("reason", string(e.reason)).
		Str("no_retry", string(e.noRetry)).
		Str("after_event", x.info.LastEventID).
		Int("sends", x.sends).
		Int64("took_ms", clock.Now().Sub(x.arrived).Milliseconds()).
		Msg("stream broken")
}

// CallerLeft counts and logs a caller whose disconnect was noticed before its response was
// complete. A failed write of a stream is counted and logged by Attempted instead.
func (t *Telemetry) CallerLeft(x *exchange) {
	t.metrics.refusals.WithLabelValues("caller_left").Inc()
	t.entry(log.InfoLevel, x).
		Int("sends", x.sends).
		Bool("may_have_run", x.started).
		Int64("took_ms", clock.Now().Sub(x.arrived).Milliseconds()).
		Msg("caller left")
}

// BodyLimitTooLarge logs that the configuration allows bodies for which there is too little memory: those are refused.
func (t *Telemetry) BodyLimitTooLarge(limit int, memory int64) {
	t.log.Warn().Int("max_body_bytes", limit).Int64("bodies_limit", memory).Msg("bodies are allowed for which there is too little memory")
}

// AcceptFailed logs, within the rate limit for routine lines, that a connection could not be
// accepted.
func (t *Telemetry) AcceptFailed(err error) {
	if t.allowRoutine(clock.Now(), lineAccept) {
		t.log.Error().Err(err).Msg("accept failed")
	}
}

// String returns the outcome's name in logs and metrics.
func (o outcome) String() string {
	switch o {
	case outcomeDone:
		return "done"
	case outcomeNotSent:
		return "not_sent"
	case outcomeWithdrawn:
		return "withdrawn"
	case outcomeNotExecuted:
		return "not_executed"
	default:
		return "failed"
	}
}
