package servebench

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestArrivalsAreReproducibleAndMatchRate(t *testing.T) {
	is := is.New(t)
	const n = 20000
	a, b := newArrivals(7, 100), newArrivals(7, 100)
	var last time.Duration
	for range n {
		last = a.next()
		is.Equal(last, b.next())
	}
	is.True(math.Abs(n/last.Seconds()-100) < 3)
}

func TestGoodRequiresCompleteAnswerInTime(t *testing.T) {
	is := is.New(t)
	due := time.Unix(1000, 0)
	spec := requestSpec{intended: due, tokens: 3, deadline: 2 * time.Second}
	r := result{requestSpec: spec, receivedTokens: 3, completed: true, firstToken: due.Add(firstTokenTarget), ended: due.Add(spec.deadline)}
	is.True(r.good())
	late := r
	late.ended = late.ended.Add(time.Millisecond)
	is.True(!late.inTime())
	slow := r
	slow.firstToken = slow.firstToken.Add(time.Millisecond)
	is.True(slow.inTime() && !slow.good())
	incomplete := r
	incomplete.completed = false
	is.True(!incomplete.good())
}

func TestParseUsage(t *testing.T) {
	is := is.New(t)
	u, err := parseUsage([]byte("# HELP x\nprocess_cpu_seconds_total 1.5\nprocess_resident_memory_bytes 2e+07\n"))
	is.NoErr(err)
	is.Equal(u, usage{cpu: 1500 * time.Millisecond, resident: 2e7})
	_, err = parseUsage([]byte("process_cpu_seconds_total_other 1\n"))
	is.True(err != nil)
}
