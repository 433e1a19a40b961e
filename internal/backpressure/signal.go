package backpressure

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Signal is what a response says about further requests to its endpoint. The zero value says nothing.
type Signal struct {
	// Leaving means that the endpoint is about to end and accepts no more requests.
	Leaving bool
	// RetryAfter is how long the endpoint wants no requests from this host; zero if it did not say.
	RetryAfter time.Duration
	// Limit is the rate limit that the endpoint states.
	Limit Limit
	// RejectionLimit is the rejection limit that the endpoint states.
	RejectionLimit RejectionLimit
}

// Headers are the parts of a response's header that hold a signal.
type Headers struct {
	Status int
	// Leaving are the values of the header that says whether the endpoint leaves; Yes and No are its words.
	Leaving []string
	Yes, No string
	// RetryAfter are the values of the Retry-After header, which counts only with status 503.
	RetryAfter []string
	// Date is the value of the Date header.
	Date string
	// Limit are the values of the header that states a rate limit.
	Limit []string
	// RejectionLimit are the values of the header that states a rejection limit.
	RejectionLimit []string
}

// Decode returns what a response says, and an error if a part of it is malformed and says nothing.
func Decode(h Headers) (s Signal, err error) {
	s.Leaving, err = h.leaving()
	var limitErr error
	s.Limit, limitErr = ParseLimit(h.Limit)
	var rejectionErr error
	s.RejectionLimit, rejectionErr = ParseRejectionLimit(h.RejectionLimit)
	err = errors.Join(err, limitErr, rejectionErr)
	if h.Status != http.StatusServiceUnavailable {
		return s, err
	}
	retryAfter, retryErr := longestRetryAfter(h.RetryAfter, h.Date)
	s.RetryAfter = retryAfter
	return s, errors.Join(err, retryErr)
}

// leaving reports whether a value, or an element of one that is a list, says that the endpoint leaves.
func (h *Headers) leaving() (leaving bool, err error) {
	for _, value := range h.Leaving {
		for word := range strings.SplitSeq(value, ",") {
			word = strings.TrimSpace(word)
			switch {
			case strings.EqualFold(word, h.Yes):
				leaving = true
			case !strings.EqualFold(word, h.No):
				err = fmt.Errorf("%w: %q", errMalformedLeaving, word)
			}
		}
	}
	return leaving, err
}

// errMalformedLeaving means that the value of a header that says whether an endpoint leaves is neither of
// its words.
var errMalformedLeaving = errors.New("malformed statement whether the endpoint leaves")

// MaxRetryAfter bounds a stated time. It is longer than the life of most endpoints, whose end also ends
// the time.
const MaxRetryAfter = 24 * time.Hour

// errMalformedRetryAfter means that a value is neither a number of seconds nor a date.
var errMalformedRetryAfter = errors.New("malformed Retry-After")

// ParseRetryAfter parses the value of a Retry-After header: seconds, which may have a fraction, or an
// HTTP date. A date counts from the value of the same response's Date header, because the clocks of two
// hosts may differ; without one it is an error. Zero and a date in the past are no time at all. A time
// over MaxRetryAfter, however large, counts as MaxRetryAfter.
func ParseRetryAfter(value, date string) (time.Duration, error) {
	value = strings.TrimSpace(value)
	if isDecimal(value) {
		return parseSeconds(value), nil
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errMalformedRetryAfter, value)
	}
	sent, err := http.ParseTime(strings.TrimSpace(date))
	if err != nil {
		return 0, fmt.Errorf("%w: the response of %q has no date", errMalformedRetryAfter, value)
	}
	return min(max(until.Sub(sent), 0), MaxRetryAfter), nil
}

// isDecimal reports whether the text consists of digits, with at most one point between them.
func isDecimal(text string) bool {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	return isDigits(whole) && (!hasPoint || isDigits(fraction))
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// parseSeconds returns the duration of a decimal number of seconds, rounded up to a millisecond.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds >= MaxRetryAfter.Seconds() {
		// The only possible error is a number out of range.
		return MaxRetryAfter
	}
	d := time.Duration(seconds * float64(time.Second))
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// longestRetryAfter parses each value of a repeated Retry-After header and returns the longest time. It
// returns the first error if a value is malformed, together with the longest of the others.
func longestRetryAfter(values []string, date string) (longest time.Duration, err error) {
	for _, value := range values {
		d, parseErr := ParseRetryAfter(value, date)
		longest = max(longest, d)
		if err == nil {
			err = parseErr
		}
	}
	return longest, err
}
