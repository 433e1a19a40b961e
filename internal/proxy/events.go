package proxy

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
)

// Telemetry logs and counts what is decided about requests. Each decision has one method.
type Telemetry struct {
	log     *log.Logger
	metrics *metrics
	// quiet drops the lines of requests that went as they should, beyond a rate.
	quiet *lineBudget
}

// NewEvents logs to the logger and registers the metrics.
func NewEvents(logger *log.Logger, registry prometheus.Registerer) *Telemetry {
	return &Telemetry{
		log:     logger,
		metrics: newMetrics(registry),
		quiet:   &lineBudget{perSecond: maxOrdinaryLines},
	}
}

// maxOrdinaryLines bounds the lines a second for requests that went as they should;
// refusals, failures and repeats are all logged.
const maxOrdinaryLines = 100

// entry begins the line of a request.
func (e *Telemetry) entry(level log.Level, x *exchange) *log.Entry {
	line := e.log.WithLevel(level)
	line = line.Str("request", x.ask.ID)
	if x.route != nil {
		line = line.Str("route", x.route.Name).Str("fleet", x.fleet)
	}
	if x.organisation != nil {
		line = line.Str("organisation", x.organisation.Name)
	}
	if x.table != nil {
		line = line.Uint64("generation", uint64(x.table.Generation()))
	}
	return line
}

// Sent tells that an endpoint was chosen and why. First sendings are logged within the
// rate of ordinary lines, repeats always.
func (e *Telemetry) Sent(x *exchange, c *balancer.Choice) {
	if x.sends == 0 && !e.ordinary(clock.Now(), lineSent) {
		return
	}
	e.entry(log.InfoLevel, x).
		Str("endpoint", c.Endpoint.ID).
		Int("sends", x.sends).
		Float64("quota_tokens", x.cost).
		Int("in_flight", c.InFlight).
		Int("uncached_tokens", c.UncachedTokens).
		Int("fetched_tokens", c.FetchTokens).
		Int64("expected_ms", c.FirstEvent.Milliseconds()).
		Int64("likely_ms", c.CorrectedFirstEvent.Milliseconds()).
		Int64("left_ms", x.deadline.Sub(clock.Now()).Milliseconds()).
		Msg("request sent")
}

// Attempted tells how an attempt ended that did not answer the caller.
func (e *Telemetry) Attempted(x *exchange, a *attempt, out outcome, result balancer.Result) {
	e.metrics.attempts.WithLabelValues(out.String()).Inc()
	if out == outcomeDone && result != balancer.ResultCancelled {
		return
	}
	e.entry(log.WarnLevel, x).
		Str("endpoint", a.choice.Endpoint.ID).
		Str("outcome", out.String()).
		Int("status", a.status).
		Err(a.err).
		Str("after_event", x.ask.LastEventID).
		Int64("took_ms", clock.Now().Sub(a.sentAt).Milliseconds()).
		Msg("attempt ended without an answer")
}

// HealthChanged tells that an endpoint is believed lost or regained.
func (e *Telemetry) HealthChanged(endpoint string, j balancer.HealthChange) {
	switch {
	case j.EjectedFor > 0:
		e.metrics.setAside.Inc()
		e.log.Warn().Str("endpoint", endpoint).Float64("failure_rate", j.FailureRate).
			Int64("for_ms", j.EjectedFor.Milliseconds()).Msg("endpoint set aside")
	case j.Recovered:
		e.log.Info().Str("endpoint", endpoint).Msg("endpoint regained")
	}
}

// Answered tells that the caller has a complete answer of an endpoint.
func (e *Telemetry) Answered(x *exchange, a *attempt, now time.Time) {
	total := now.Sub(x.arrived)
	first := total
	if !a.firstEventAt.IsZero() {
		first = a.firstEventAt.Sub(x.arrived)
	}
	e.metrics.answered(x, a.status, first, total)
	if !e.ordinary(now, lineAnswered) {
		return
	}
	e.entry(log.InfoLevel, x).
		Str("endpoint", a.choice.Endpoint.ID).
		Int("status", a.status).
		Int64("first_ms", first.Milliseconds()).
		Int64("total_ms", total.Milliseconds()).
		Msg("request answered")
}

// Refused tells that the gateway answered on its own: that the request has not run, or that
// it failed and may have.
func (e *Telemetry) Refused(x *exchange, v *verdict) {
	message := "request refused"
	if v.status >= fasthttp.StatusInternalServerError && v.status != fasthttp.StatusServiceUnavailable {
		message = "request failed"
	}
	e.metrics.verdicts.WithLabelValues(string(v.reason)).Inc()
	line := e.entry(log.WarnLevel, x)
	if v.quota != nil {
		line = line.Float64("quota_tokens", v.tokens).Float64("quota_left", v.quota.Level).
			Float64("quota_per_second", v.quota.PerSecond)
	}
	if v.offer != nil {
		line = line.Str("endpoint", v.offer.Endpoint.ID).Int("in_flight", v.offer.InFlight).
			Int64("expected_ms", v.offer.CorrectedFirstEvent.Milliseconds())
	}
	line.
		Str("reason", string(v.reason)).
		Int("status", v.status).
		Int("sends", x.sends).
		Bool("may_have_run", x.began).
		Int64("retry_after_ms", v.retryAfter.Milliseconds()).
		Int64("configuration_age_ms", x.proxy.ConfigurationAge(clock.Now()).Milliseconds()).
		Int64("took_ms", clock.Now().Sub(x.arrived).Milliseconds()).
		Msg(message)
}

// StreamBroken tells that a stream was cut after a part of it was relayed.
func (e *Telemetry) StreamBroken(x *exchange, v *verdict) {
	e.metrics.verdicts.WithLabelValues("stream_broken").Inc()
	e.entry(log.WarnLevel, x).
		Str("reason", string(v.reason)).
		Str("after_event", x.ask.LastEventID).
		Int("sends", x.sends).
		Int64("took_ms", clock.Now().Sub(x.arrived).Milliseconds()).
		Msg("stream broken")
}

// CallerLeft tells that the caller went away before its answer was complete.
func (e *Telemetry) CallerLeft(x *exchange) {
	e.metrics.verdicts.WithLabelValues("caller_left").Inc()
	e.entry(log.InfoLevel, x).
		Int("sends", x.sends).
		Bool("may_have_run", x.began).
		Int64("took_ms", clock.Now().Sub(x.arrived).Milliseconds()).
		Msg("caller left")
}

// AcceptFailed tells that a connection could not be accepted.
func (e *Telemetry) AcceptFailed(err error) {
	if e.ordinary(clock.Now(), lineAccept) {
		e.log.Error().Err(err).Msg("accept failed")
	}
}

// String names the outcome in logs and metrics.
func (o outcome) String() string {
	switch o {
	case outcomeDone:
		return "done"
	case outcomeNotSent:
		return "not_sent"
	case outcomeNotExecuted:
		return "not_executed"
	default:
		return "failed"
	}
}

// The kinds of lines that are bounded by rate.
const (
	lineSent     = "sent"
	lineAnswered = "answered"
	lineAccept   = "accept_failed"
)

// ordinary reports whether a line within the rate of ordinary lines may be written, and
// counts it if not.
func (e *Telemetry) ordinary(now time.Time, kind string) bool {
	if e.quiet.take(now, kind) {
		return true
	}
	e.metrics.leftOut[kind].Inc()
	return false
}

// ObserveEventInterval counts the time between two events of a stream.
func (e *Telemetry) ObserveEventInterval(d time.Duration) { e.metrics.pause.Observe(d.Seconds()) }

// lineBudget bounds log lines by rate. The first line of each kind in a second is always
// within it.
type lineBudget struct {
	perSecond int
	mu        sync.Mutex
	second    int64
	used      int
	kinds     map[string]bool
}

func (b *lineBudget) take(now time.Time, kind string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second || b.kinds == nil {
		b.second = second
		b.used = 0
		b.kinds = map[string]bool{}
	}
	if !b.kinds[kind] {
		b.kinds[kind] = true
		return true
	}
	b.used++
	return b.used <= b.perSecond
}
