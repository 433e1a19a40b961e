package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// admitAndRelease returns a function that sends a request, ends it at once if it is admitted, and
// reports whether it was.
func admitAndRelease(t *rapid.T, l *Limiter, now time.Time) func(organisation string, priority int) bool {
	return func(organisation string, priority int) bool {
		d := l.Admit(now, Request{Organisation: organisation, Fleet: "llm", Priority: priority, ExpectedFirstToken: queueWaitTarget})
		if d.Admitted {
			l.Done(now, Completion{Organisation: organisation, Fleet: "llm"})
		}
		if !d.Admitted && d.RetryAfter <= 0 {
			t.Fatal("refused without a retry delay")
		}
		return d.Admitted
	}
}

// TestSheddingOrder checks at each step that what is admitted at one priority is also admitted at
// the next higher one, and at the same priority for an organisation with fewer requests in flight.
func TestSheddingOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter("a", 1)
		now := testStart
		organisations := rapid.SampledFrom([]string{"large", "large", "large", "small"})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			send := admitAndRelease(t, l, now)
			send("small", 0)
			priority := rapid.IntRange(0, maxPriority-1).Draw(t, "priority")
			large := send("large", priority)
			if large && !send("large", priority+1) {
				t.Fatalf("priority %d was shed before %d", priority+1, priority)
			}
			usage := l.state.Load().fleets["llm"].usage
			if large && usage["small"].inFlight < usage["large"].inFlight && !send("small", priority) {
				t.Fatal("the organisation that uses less was shed first")
			}
			kept := Request{Organisation: organisations.Draw(t, "organisation"), Fleet: "llm", Priority: priority}
			kept.ExpectedFirstToken = time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait ms")) * time.Millisecond
			l.Admit(now, kept)
		}
	})
}

// TestLargeOrganisationDoesNotStarveSmallOne overloads the fleet with the requests of one
// organisation. Another one that stays within its share, at the same priority, must get at least
// 95% of its requests admitted.
func TestLargeOrganisationDoesNotStarveSmallOne(t *testing.T) {
	is := is.New(t)
	const requestTime, step, steps = time.Second, 10 * time.Millisecond, 6000
	l := newTestLimiter("a", 1)
	ends := make(map[int][]Completion)
	sent, admitted := 0, 0
	send := func(i int, organisation string) bool {
		now := testStart.Add(time.Duration(i) * step)
		d := l.Admit(now, Request{Organisation: organisation, Fleet: "llm", Priority: 4, ExpectedFirstToken: queueWaitTarget})
		if d.Admitted {
			end := i + int(requestTime/step)
			ends[end] = append(ends[end], Completion{Organisation: organisation, Fleet: "llm"})
		}
		return d.Admitted
	}
	for i := range steps {
		for _, ended := range ends[i] {
			l.Done(testStart.Add(time.Duration(i)*step), ended)
		}
		for range 3 {
			send(i, "large")
		}
		if i%5 == 0 {
			sent++
			if send(i, "small") {
				admitted++
			}
		}
	}
	is.True(float64(admitted) >= 0.95*float64(sent))
}

// TestWindowFollowsQueueWait checks that long waits shrink the window down to its lower bound, and
// that it grows again without waits.
func TestWindowFollowsQueueWait(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter("a", 1)
	f := l.state.Load().fleets["llm"]
	now := testStart
	after := func(wait time.Duration) float64 {
		for range 60 {
			now = now.Add(time.Second)
			l.Admit(now, Request{Organisation: "small", Fleet: "llm", ExpectedFirstToken: wait})
		}
		return f.window
	}
	is.Equal(after(time.Second), minWindowShare*f.fairSlots)
	is.True(after(0) >= f.fairSlots)
	// The prefill time of the request itself does not indicate a queue.
	d := l.Admit(now, Request{Organisation: "small", Fleet: "llm", Priority: 9, ExpectedFirstToken: time.Minute, ExpectedPrefill: time.Minute})
	is.True(d.Admitted)
}

// TestNoLimitWithoutQueue checks that a member does not shed requests while the fleet has no queue,
// even if all callers use this member, and that it does once there is a queue.
func TestNoLimitWithoutQueue(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter("a", 8)
	free := Request{Organisation: "small", Fleet: "llm"}
	for range 100 {
		is.True(l.Admit(testStart, free).Admitted)
	}
	queued := free
	queued.ExpectedFirstToken = 2 * queueWaitTarget
	for range 20 {
		l.Admit(testStart, queued)
	}
	is.Equal(l.Admit(testStart, queued).Code, CodeOverloaded)
	is.True(l.Admit(testStart.Add(overloadDuration), free).Admitted)
}

func TestRefusesLateAndUnknownRequests(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter("a", 1)
	late := Request{Organisation: "small", Fleet: "llm", Priority: 9, ExpectedFirstToken: 300 * time.Millisecond, Deadline: testStart.Add(200 * time.Millisecond)}
	d := l.Admit(testStart, late)
	is.Equal(d.Code, CodeDeadline)
	is.True(d.RetryAfter > 0)
	is.Equal(l.Admit(testStart, Request{Organisation: "nobody", Fleet: "llm"}).Code, CodeUnknownOrganisation)
	is.Equal(l.Admit(testStart, Request{Organisation: "small", Fleet: "none"}).Code, CodeUnknownFleet)
}
