package backpressure

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const responseDate = "Fri, 04 Dec 2026 08:00:00 GMT"

func TestParseRetryAfter(t *testing.T) {
	for _, c := range []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"0", 0, true},
		{"7", 7 * time.Second, true},
		{" 7 ", 7 * time.Second, true},
		{"007", 7 * time.Second, true},
		{"1.5", 1500 * time.Millisecond, true},
		{"0.0001", time.Millisecond, true},
		{"86400", MaxRetryAfter, true},
		{strings.Repeat("9", 400), MaxRetryAfter, true},
		{"Fri, 04 Dec 2026 08:00:05 GMT", 5 * time.Second, true},
		{"Fri, 04 Dec 2026 07:59:00 GMT", 0, true},
		{"Fri, 04 Dec 2099 08:00:00 GMT", MaxRetryAfter, true},
		{"", 0, false},
		{"-1", 0, false},
		{"+1", 0, false},
		{"1e3", 0, false},
		{"0x10", 0, false},
		{"1.", 0, false},
		{".5", 0, false},
		{"1.2.3", 0, false},
		{"5 s", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"tomorrow", 0, false},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseRetryAfter(c.value, responseDate)
			is.Equal(err == nil, c.ok)
			is.Equal(got, c.want)
		})
	}
}

func TestDateWithoutTheDateOfTheResponseIsMalformed(t *testing.T) {
	is := is.New(t)
	_, err := ParseRetryAfter("Fri, 04 Dec 2026 08:00:05 GMT", "")
	is.True(err != nil)
}

func TestLongestOfRepeatedValuesCounts(t *testing.T) {
	is := is.New(t)
	d, err := longestRetryAfter([]string{"2", "nonsense", "5", "1"}, responseDate)
	is.True(err != nil)
	is.Equal(d, 5*time.Second)
	d, err = longestRetryAfter(nil, responseDate)
	is.NoErr(err)
	is.Equal(d, time.Duration(0))
}
