package dispatcher

import (
	"rattanchute/internal/outcome"
	"rattanchute/internal/reclaim"
)

// The label values that counters begin with, so that the first event is an increase.
var (
	outcomeSeries = []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Unknown, outcome.InProgress}
	kindSeries    = []string{"chat", "call"}
	resultSeries  = []string{"ok", "failed", "ended"}
	waySeries     = []reclaim.Strategy{reclaim.Finish, reclaim.Transfer, reclaim.Recompute}
	codeSeries    = []string{"no_endpoint", "no_answer", "organisation_limit", "overloaded", "deadline",
		"shutting_down", "too_many_streams", "claim_refused", "outcome_unknown"}
)

// begin makes the series exist before their first event.
func (c *Metrics) begin() {
	for _, kind := range kindSeries {
		for _, o := range outcomeSeries {
			c.Requests.WithLabelValues(kind, string(o))
		}
	}
	for _, code := range codeSeries {
		c.Refused.WithLabelValues(code)
	}
	for _, result := range resultSeries {
		c.Attempts.WithLabelValues(result)
	}
	for _, way := range waySeries {
		c.Moves.WithLabelValues(string(way))
	}
}

// allowRetry asks the retry budgets.
func (s *Service) allowRetry(organisation, endpoint string) bool {
	if s.admitter.AllowRetry(s.now(), organisation, endpoint) {
		return true
	}
	s.counters.RetriesRefused.Inc()
	return false
}
