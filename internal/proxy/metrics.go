package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/quarantine/verify"
)

type metrics struct {
	responses     *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	terminated    *prometheus.CounterVec
	streamEnds    *prometheus.CounterVec
	endChecks     *prometheus.CounterVec
	signals       *prometheus.CounterVec
	ejections     prometheus.Counter
	probes        prometheus.Counter
	relayed       prometheus.Counter
	unbuffered    prometheus.Counter
	first         *prometheus.HistogramVec
	total         *prometheus.HistogramVec
	eventInterval prometheus.Histogram
	// suppressedLines counts the log lines that were left out because of the rate limit, by kind.
	// The counters are looked up once at the start, because every request may use them.
	suppressedLines map[string]prometheus.Counter
}

// secondsBuckets are the histogram buckets in seconds, from a short plain response to a long stream.
var secondsBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 1.5, 2.5, 5, 10, 20}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_answers_total", Help: "Endpoints' answers passed on, by route and status.",
		}, []string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_refusals_total", Help: "Answers of the gateway's own, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_attempts_total", Help: "Sendings to endpoints, by outcome.",
		}, []string{"outcome"}),
		terminated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_attempts_terminated_total",
			Help: "Sendings whose connection the endpoint closed or reset, by what had arrived.",
		}, []string{"progress"}),
		streamEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_stream_ends_total", Help: "Ends of endpoints' streams, by framing and how they ended.",
		}, []string{"framing", "end"}),
		endChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_end_checks_total",
			Help: "Responses that ended with their connection, by whether their endpoint was still there.",
		}, []string{"presence"}),
		signals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rattanchute_gateway_endpoint_signals_total",
			Help: "What responses said about further requests to their endpoint: leaving, closed for some time, or ignored.",
		}, []string{"signal"}),
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanchute_gateway_endpoints_set_aside_total", Help: "Times that an endpoint was set aside for its failures.",
		}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanchute_gateway_quarantine_probes_total", Help: "Quarantined requests sent to find out whether they still crash endpoints.",
		}),
		unbuffered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanchute_gateway_unbuffered_total", Help: "Plain answers passed on as they came, because there was too little memory to hold them.",
		}),
		relayed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanchute_gateway_relayed_total", Help: "Times that a request was relayed to a peer that reaches its endpoints.",
		}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rattanchute_gateway_first_event_seconds", Help: "Time to the first event or the whole plain answer.",
			Buckets: secondsBuckets,
		}, []string{"route"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rattanchute_gateway_answer_seconds", Help: "Time to the end of the answer.",
			Buckets: secondsBuckets,
		}, []string{"route"}),
		eventInterval: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rattanchute_gateway_event_pause_seconds", Help: "Time between events of a stream that arrived apart.",
			Buckets: secondsBuckets,
		}),
		suppressedLines: map[string]prometheus.Counter{},
	}
	suppressedLines := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rattanchute_gateway_log_lines_left_out_total", Help: "Lines of ordinary requests beyond the bound, by kind.",
	}, []string{"kind"})
	registry.MustRegister(m.responses, m.refusals, m.attempts, m.terminated, m.streamEnds, m.endChecks, m.signals, m.ejections, m.probes, m.relayed, m.unbuffered, m.first, m.total, m.eventInterval,
		suppressedLines)
	for _, kind := range []string{lineSent, lineAnswered, lineAccept, lineSignal, lineClosed, lineRefused} {
		m.suppressedLines[kind] = suppressedLines.WithLabelValues(kind)
	}
	m.initLabels()
	return m
}

// initLabels exports the counters of what may not happen for a long time, as zero.
func (m *metrics) initLabels() {
	for _, signal := range []string{signalLeaving, signalClosed, signalLimit, signalRejectionLimit, signalIgnored} {
		m.signals.WithLabelValues(signal)
	}
	for _, progress := range []string{progressNoResponse, progressNoEvent, progressEvents} {
		m.terminated.WithLabelValues(progress)
	}
	for _, presence := range []verify.Presence{verify.Present, verify.Gone, verify.Unknown} {
		m.endChecks.WithLabelValues(presence.String())
	}
	for _, framing := range []httpclient.Framing{httpclient.FramingLength, httpclient.FramingChunked, httpclient.FramingClose} {
		for _, end := range []string{endWhole, endInsideEvent, endNoEvent, endCut, endGone} {
			m.streamEnds.WithLabelValues(string(framing), end)
		}
	}
}

// responded counts a response and records the times to its first event and to its end.
func (m *metrics) responded(x *exchange, status int, first, total time.Duration) {
	m.responses.WithLabelValues(x.route.Name, strconv.Itoa(status)).Inc()
	m.first.WithLabelValues(x.route.Name).Observe(first.Seconds())
	m.total.WithLabelValues(x.route.Name).Observe(total.Seconds())
}
