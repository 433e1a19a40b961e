package backpressure

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values    string // separated by "|"
		want      Limit
		malformed bool
	}{
		{"1", Limit{true, 1}, false},
		{"1.5", Limit{true, 1.5}, false},
		{" 0.2 ", Limit{true, .2}, false},
		{"0", Limit{true, 0}, false},
		{"007", Limit{true, 7}, false},
		{strings.Repeat("9", 400), Limit{true, maxLimit}, false},
		{"3|2", Limit{true, 2}, false},
		{"3, 2.5", Limit{true, 2.5}, false},
		{"nonsense|4", Limit{true, 4}, true},
		{"", Limit{}, true},
		{"-1", Limit{}, true},
		{"+1", Limit{}, true},
		{"1e3", Limit{}, true},
		{"NaN", Limit{}, true},
		{"Inf", Limit{}, true},
		{"0x10", Limit{}, true},
		{".5", Limit{}, true},
		{"1.", Limit{}, true},
		{"1 per second", Limit{}, true},
	} {
		t.Run(c.values, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseLimit(strings.Split(c.values, "|"))
			is.Equal(got, c.want)
			is.Equal(err != nil, c.malformed)
		})
	}
	is := is.New(t)
	got, err := ParseLimit(nil)
	is.NoErr(err)
	is.Equal(got, Limit{})
}
