package objectstore

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestMalformedEntryIsReportedOnce guards against a line for each read of a list with an entry that stays malformed.
func TestMalformedEntryIsReportedOnce(t *testing.T) {
	is := is.New(t)
	reports := 0
	report := ReportMalformedOnce(func(Kind, error) { reports++ })
	for range 3 {
		report(KindEndpoint, []byte("a"), errors.New("odd"))
		report(KindEndpoint, []byte("b"), errors.New("odd"))
	}
	is.Equal(reports, 2)
	for i := range 3 * maxMalformedTexts {
		report(KindEndpoint, fmt.Append(nil, i), errors.New("odd"))
	}
	is.Equal(reports, 2+3*maxMalformedTexts)
}
