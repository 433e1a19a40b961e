package backpressure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

func closed(d time.Duration) Signal { return Signal{RetryAfter: d} }

func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	var e Endpoint
	is.True(e.Verdict(epoch).Allowed)
	is.True(e.Observe(epoch, 0, Signal{Leaving: true}, "h").Left)
	is.True(!e.Observe(epoch, 0, Signal{Leaving: true}, "h").Left) // known already
	e.Observe(epoch, 0, Signal{}, "h")
	v := e.Verdict(epoch.Add(1000 * time.Hour))
	is.True(!v.Allowed && v.Leaving)
	permit, _ := e.Acquire(epoch.Add(1000 * time.Hour))
	is.True(permit == nil)
}

func TestClosedUntilTheLatestStatedEnd(t *testing.T) {
	is := is.New(t)
	var e Endpoint
	is.Equal(e.Observe(epoch, 0, closed(4*time.Second), "h").OpensAt, epoch.Add(4*time.Second))
	// A response of an earlier attempt that arrives late ends sooner.
	is.True(e.Observe(epoch.Add(time.Second), 0, closed(time.Second), "h").OpensAt.IsZero())
	is.Equal(e.Observe(epoch.Add(2*time.Second), 0, closed(3*time.Second), "h").OpensAt, epoch.Add(5*time.Second))
	is.True(!e.Verdict(epoch.Add(5*time.Second - 1)).Allowed)
	is.True(e.Verdict(epoch.Add(5 * time.Second)).Allowed)
}

func TestHostsReturnAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	for _, told := range []time.Duration{50 * time.Millisecond, time.Second, 10 * time.Second} {
		var early, late Endpoint
		first := early.Observe(epoch, 0, closed(told), "h").OpensAt
		last := late.Observe(epoch, 0.999, closed(told), "h").OpensAt
		is.Equal(first, epoch.Add(told)) // never before the stated end
		is.True(last.Sub(first) >= minJitter/2)
		is.True(last.Sub(first) <= maxJitter)
	}
}

func TestRequestsReturnOneByOne(t *testing.T) {
	is := is.New(t)
	var e Endpoint
	e.Observe(epoch, 0, closed(time.Second), "h")
	now := epoch.Add(time.Second)
	permits := acquireAll(&e, now)
	is.Equal(len(permits), 1)
	is.True(permits[0].First)
	for _, want := range []int{2, 4, 8, 16, 32} {
		for _, p := range permits {
			p.Release()
		}
		answered, _ := e.Acquire(now)
		is.True(!answered.First)
		answered.Answered()
		is.True(e.restricted.Load()) // the return is not complete
		permits = acquireAll(&e, now)
		is.Equal(len(permits), want)
	}
	permits[0].Answered() // the return is complete
	is.True(!e.restricted.Load())
	permits[1].Release()
	is.Equal(len(acquireAll(&e, now)), maxAcquired)
}

// maxAcquired bounds acquireAll for an endpoint without a limit.
const maxAcquired = 1000

func acquireAll(e *Endpoint, now time.Time) []*Permit {
	var permits []*Permit
	for len(permits) < maxAcquired {
		p, _ := e.Acquire(now)
		if p == nil {
			break
		}
		permits = append(permits, p)
	}
	return permits
}

func TestRequestThatEndsWithoutAResponseGivesItsPlaceBack(t *testing.T) {
	is := is.New(t)
	var e Endpoint
	e.Observe(epoch, 0, closed(time.Second), "h")
	now := epoch.Add(time.Second)
	for range 3 {
		p, _ := e.Acquire(now)
		is.True(p != nil)
		p.Release()
		p.Release()
	}
	is.Equal(len(acquireAll(&e, now)), 1)
}

func TestPermitOfAnEarlierRoundChangesNothing(t *testing.T) {
	is := is.New(t)
	var e Endpoint
	e.Observe(epoch, 0, closed(time.Second), "h")
	now := epoch.Add(time.Second)
	old, _ := e.Acquire(now)
	e.Observe(now, 0, closed(time.Second), "h")
	is.True(!e.Verdict(now).Allowed)
	now = now.Add(time.Second)
	is.Equal(len(acquireAll(&e, now)), 1)
	old.Answered()
	is.Equal(len(acquireAll(&e, now)), 0)
}

func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	var r RetrySchedule
	opens := epoch.Add(3 * time.Second)
	const interval = 10 * time.Millisecond
	is.Equal(r.Next(epoch, opens, interval), 3*time.Second)
	is.Equal(r.Next(epoch, opens, interval), 3*time.Second+interval)
	is.Equal(r.Next(epoch.Add(time.Second), opens, interval), 2*time.Second+2*interval)
	// Later, the earlier callers have returned.
	is.Equal(r.Next(epoch.Add(time.Minute), epoch, interval), time.Duration(0))
	for range 10_000 {
		is.True(r.Next(epoch, opens, interval) <= 3*time.Second+maxScheduleAhead)
	}
}
