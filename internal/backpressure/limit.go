package backpressure

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limit is a rate limit that an endpoint states: how many requests a second it accepts from all hosts
// together. The zero value is no limit.
type Limit struct {
	Stated    bool
	PerSecond float64
}

// maxLimit is the largest rate limit; a higher one is the same.
const maxLimit = 1e6

// errMalformedLimit means that a value is not a decimal number of requests a second.
var errMalformedLimit = errors.New("malformed rate limit")

// ParseLimit parses the values of a header that states a rate limit: decimal numbers, also several in one
// value, of which the lowest counts. It returns an error if one is malformed, together with the lowest of
// the others.
func ParseLimit(values []string) (lowest Limit, err error) {
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			text = strings.TrimSpace(text)
			if !isDecimal(text) {
				err = fmt.Errorf("%w: %q", errMalformedLimit, text)
				continue
			}
			// The only possible error is a number out of range, which is returned as infinite.
			perSecond, _ := strconv.ParseFloat(text, 64)
			perSecond = min(perSecond, maxLimit)
			if !lowest.Stated || perSecond < lowest.PerSecond {
				lowest = Limit{Stated: true, PerSecond: perSecond}
			}
		}
	}
	return lowest, err
}

const (
	// limitRefresh is how much later a limit must have been stated again for a host to record it. Reports of one
	// statement differ by less, by the delays of messages.
	limitRefresh = time.Second
	// endedRetention is how long hosts tell each other that a limit has ended, and statedRetention how long
	// after its last statement that there is one.
	endedRetention  = 10 * time.Second
	statedRetention = 2 * time.Minute
	// maxLimitReports bounds the limits of one message.
	maxLimitReports = 64
)

// LimitReport is the message of a host that an endpoint states a rate limit, or does so no more.
type LimitReport struct {
	Instance
	PerSecond float64 `json:"per_second"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMillis is how long ago the endpoint said so.
	AgeMillis int64 `json:"age_ms"`
}

// ObserveLimit records what a response that arrived now says about the rate limit; sentAt is when its request
// was sent. It ends a limit only if that is after the limit was last stated: of earlier responses, it is not
// known which was written first. It reports whether the limit is another one now. share returns this host's
// part of a limit, from 0 to 1.
func (e *Endpoint) ObserveLimit(now, sentAt time.Time, l Limit, share func(Limit) float64) bool {
	if !l.Stated && !e.restricted.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.bucket.limit
	if !l.Stated && (!known.Stated || !sentAt.After(e.bucket.statedAt)) {
		return false
	}
	e.setLimitLocked(now, now, l, share)
	return l != known
}

func (e *Endpoint) setLimitLocked(now, statedAt time.Time, l Limit, share func(Limit) float64) {
	e.bucket.statedAt = statedAt
	if !l.Stated {
		e.bucket = bucket{statedAt: statedAt}
	} else {
		e.bucket.set(now, l, share(l))
	}
	e.updateRestrictedLocked()
}

// Limit returns the rate limit that the endpoint states.
func (e *Endpoint) Limit() Limit {
	if !e.restricted.Load() {
		return Limit{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bucket.limit
}

// UpdateShare works out this host's share of the limit again.
func (e *Endpoint) UpdateShare(now time.Time, share func(Limit) float64) {
	if !e.restricted.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bucket.limit.Stated {
		e.bucket.set(now, e.bucket.limit, share(e.bucket.limit))
	}
}

// applyLimit records the report of another host that was stated at a time, and reports whether the limit is
// another one now.
func (e *Endpoint) applyLimit(now, statedAt time.Time, l Limit, share func(Limit) float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.bucket.limit
	later := statedAt.Sub(e.bucket.statedAt)
	if later <= 0 || l == known && later < limitRefresh {
		return false
	}
	e.setLimitLocked(now, statedAt, l, share)
	return l != known
}

// shareOf returns the function with which this host's share of an endpoint's limits is worked out.
func (t *Table) shareOf(i Instance) func(Limit) float64 {
	return func(l Limit) float64 { return t.hosts.Load().Share(i.ID, l.PerSecond) }
}

// Limit returns the rate limit that an endpoint states.
func (t *Table) Limit(i Instance) Limit {
	t.mu.Lock()
	e := t.endpoints[i]
	t.mu.Unlock()
	if e == nil {
		return Limit{}
	}
	return e.Limit()
}

// SetHosts sets the hosts that share the limits.
func (t *Table) SetHosts(now time.Time, h Hosts) {
	t.hosts.Store(&h)
	for i, e := range t.all() {
		e.UpdateShare(now, t.shareOf(i))
	}
}

// ObserveLimit records what a response that arrived now says about the rate limit of its endpoint, and
// reports whether the limit is another one now. sentAt is when its request was sent.
func (t *Table) ObserveLimit(now, sentAt time.Time, i Instance, l Limit) bool {
	return t.Endpoint(i).ObserveLimit(now, sentAt, l, t.shareOf(i))
}

// ApplyLimitReports records the reports of another host, and returns those that change a limit.
func (t *Table) ApplyLimitReports(now time.Time, reports []LimitReport) []LimitReport {
	var news []LimitReport
	for _, r := range reports {
		if r.ID == "" || r.AgeMillis < 0 || !(r.PerSecond >= 0) {
			continue
		}
		age := time.Duration(min(r.AgeMillis, MaxRetryAfter.Milliseconds())) * time.Millisecond
		l := Limit{Stated: !r.Ended, PerSecond: min(r.PerSecond, maxLimit)}
		if r.Ended {
			l = Limit{}
		}
		if t.Endpoint(r.Instance).applyLimit(now, now.Add(-age), l, t.shareOf(r.Instance)) {
			news = append(news, r)
		}
	}
	return news
}

// LimitReports returns what to tell the other hosts: the limits in force and those that ended lately, the
// newest first.
func (t *Table) LimitReports(now time.Time) []LimitReport {
	var reports []LimitReport
	for i, e := range t.all() {
		if r, ok := e.limitReport(now); ok {
			r.Instance = i
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b LimitReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.ID, b.ID))
	})
	return reports[:min(len(reports), maxLimitReports)]
}

// limitReport returns the report without the instance; false if there is nothing to tell.
func (e *Endpoint) limitReport(now time.Time) (LimitReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.bucket
	age := now.Sub(b.statedAt)
	retention := statedRetention
	if !b.limit.Stated {
		retention = endedRetention
	}
	if b.statedAt.IsZero() || age >= retention {
		return LimitReport{}, false
	}
	return LimitReport{PerSecond: b.limit.PerSecond, Ended: !b.limit.Stated, AgeMillis: age.Milliseconds()}, true
}
