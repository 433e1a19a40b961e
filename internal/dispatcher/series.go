package dispatcher

import (
	"rattanchute/internal/outcome"
	"rattanchute/internal/quarantine/verify"
	"rattanchute/internal/reclaim"
)

// The label values that exist from the start, so that the first event shows as an increase from
// zero.
var (
	outcomeSeries  = []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Unknown, outcome.InProgress}
	kindSeries     = []string{"chat", "call"}
	resultSeries   = []string{"ok", "failed", "ended"}
	presenceSeries = []verify.Presence{verify.Present, verify.Gone, verify.Unknown}
	strategySeries = []reclaim.Strategy{reclaim.Finish, reclaim.Transfer, reclaim.Recompute}
	codeSeries     = []string{"no_endpoint", "no_answer", "organisation_limit", "overloaded", "deadline",
		"shutting_down", "too_many_streams", "claim_refused", "outcome_unknown"}
)

// initSeries creates the series before their first event.
func (m *Metrics) initSeries() {
	for _, kind := range kindSeries {
		for _, o := range outcomeSeries {
			m.Requests.WithLabelValues(kind, string(o))
		}
	}
	for _, code := range codeSeries {
		m.Refused.WithLabelValues(code)
	}
	for _, result := range resultSeries {
		m.Attempts.WithLabelValues(result)
	}
	for _, presence := range presenceSeries {
		m.EndChecks.WithLabelValues(presence.String())
	}
	for _, strategy := range strategySeries {
		m.Moves.WithLabelValues(string(strategy))
	}
}

// allowRetry asks the retry budgets of the organisation and the endpoint, and counts a refusal.
func (s *Service) allowRetry(organisation, endpoint string) bool {
	if s.limiter.AllowRetry(s.now(), organisation, endpoint) {
		return true
	}
	s.metrics.RetriesRefused.Inc()
	return false
}
