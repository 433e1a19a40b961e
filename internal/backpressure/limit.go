package backpressure

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
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
