package backpressure

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// RejectionLimit is how many requests a second an endpoint can reject for want of room, of all hosts together,
// without crashing. The zero value is no limit.
type RejectionLimit struct {
	Stated    bool
	PerSecond int
}

// errMalformedRejectionLimit means that a value is not a whole number of requests.
var errMalformedRejectionLimit = errors.New("malformed rejection limit")

// ParseRejectionLimit parses the values of a header that states a rejection limit: whole numbers, also several in
// one value, of which the lowest counts. It returns an error if one is malformed, together with the lowest of the
// others. A number out of range counts as the largest one.
func ParseRejectionLimit(values []string) (lowest RejectionLimit, err error) {
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			text = strings.TrimSpace(text)
			if !isDigits(text) {
				err = fmt.Errorf("%w: %q", errMalformedRejectionLimit, text)
				continue
			}
			n, parseErr := strconv.Atoi(text)
			if parseErr != nil {
				n = math.MaxInt
			}
			if !lowest.Stated || n < lowest.PerSecond {
				lowest = RejectionLimit{Stated: true, PerSecond: n}
			}
		}
	}
	return lowest, err
}
