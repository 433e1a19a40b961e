package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// asker asks without keeping the request.
func asker(t *rapid.T, a *Limiter, now time.Time) func(organisation string, priority int) bool {
	return func(organisation string, priority int) bool {
		d := a.Admit(now, Request{Organisation: organisation, Fleet: "llm", Priority: priority, ExpectedFirstToken: waitTarget})
		if d.Admitted {
			a.Done(now, Completion{Organisation: organisation, Fleet: "llm"})
		}
		if !d.Admitted && d.RetryAfter <= 0 {
			t.Fatal("refused without a time to come back")
		}
		return d.Admitted
	}
}

// TestShedsInOrder: at each moment, what is admitted at one priority is admitted at any
// higher one and, at the same one, for an organisation that uses less of its share.
func TestShedsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := testAdmitter("a", 1)
		now := testStart
		organisations := rapid.SampledFrom([]string{"large", "large", "large", "small"})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			ask := asker(t, a, now)
			ask("small", 0)
			priority := rapid.IntRange(0, maxPriority-1).Draw(t, "priority")
			large := ask("large", priority)
			if large && !ask("large", priority+1) {
				t.Fatalf("priority %d was shed before %d", priority+1, priority)
			}
			usage := a.state.Load().fleets["llm"].usage
			if large && usage["small"].inFlight < usage["large"].inFlight && !ask("small", priority) {
				t.Fatal("the organisation that uses less was shed first")
			}
			kept := Request{Organisation: organisations.Draw(t, "organisation"), Fleet: "llm", Priority: priority}
			kept.ExpectedFirstToken = time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait ms")) * time.Millisecond
			a.Admit(now, kept)
		}
	})
}

// TestLargeCannotStarveSmall: one organisation takes all that it is given; the other, at
// the same priority and within its share, still gets nearly all that it asks for.
func TestLargeCannotStarveSmall(t *testing.T) {
	is := is.New(t)
	const requestTime, step, steps = time.Second, 10 * time.Millisecond, 6000
	a := testAdmitter("a", 1)
	ends := make(map[int][]Completion)
	asked, admitted := 0, 0
	ask := func(i int, organisation string) bool {
		now := testStart.Add(time.Duration(i) * step)
		d := a.Admit(now, Request{Organisation: organisation, Fleet: "llm", Priority: 4, ExpectedFirstToken: waitTarget})
		if d.Admitted {
			end := i + int(requestTime/step)
			ends[end] = append(ends[end], Completion{Organisation: organisation, Fleet: "llm"})
		}
		return d.Admitted
	}
	for i := range steps {
		for _, ended := range ends[i] {
			a.Done(testStart.Add(time.Duration(i)*step), ended)
		}
		for range 3 {
			ask(i, "large")
		}
		if i%5 == 0 {
			asked++
			if ask(i, "small") {
				admitted++
			}
		}
	}
	is.True(float64(admitted) >= 0.95*float64(asked))
}

// TestWindowFollowsTheWait: a long wait sheds down to the floor, and room comes back.
func TestWindowFollowsTheWait(t *testing.T) {
	is := is.New(t)
	a := testAdmitter("a", 1)
	f := a.state.Load().fleets["llm"]
	now := testStart
	after := func(wait time.Duration) float64 {
		for range 60 {
			now = now.Add(time.Second)
			a.Admit(now, Request{Organisation: "small", Fleet: "llm", ExpectedFirstToken: wait})
		}
		return f.window
	}
	is.Equal(after(time.Second), minWindowShare*f.fair)
	is.True(after(0) >= f.fair)
	// A long prompt of its own is no sign of a queue.
	d := a.Admit(now, Request{Organisation: "small", Fleet: "llm", Priority: 9, ExpectedFirstToken: time.Minute, ExpectedPrefill: time.Minute})
	is.True(d.Admitted)
}

// TestNoQueueNoLimit: callers that all come to one member are not shed by it while the
// fleet has no queue, and are limited once it has one.
func TestNoQueueNoLimit(t *testing.T) {
	is := is.New(t)
	a := testAdmitter("a", 8)
	free := Request{Organisation: "small", Fleet: "llm"}
	for range 100 {
		is.True(a.Admit(testStart, free).Admitted)
	}
	queued := free
	queued.ExpectedFirstToken = 2 * waitTarget
	for range 20 {
		a.Admit(testStart, queued)
	}
	is.Equal(a.Admit(testStart, queued).Code, CodeOverloaded)
	is.True(a.Admit(testStart.Add(pressedFor), free).Admitted)
}

func TestGivesUpAtOnce(t *testing.T) {
	is := is.New(t)
	a := testAdmitter("a", 1)
	late := Request{Organisation: "small", Fleet: "llm", Priority: 9, ExpectedFirstToken: 300 * time.Millisecond, Deadline: testStart.Add(200 * time.Millisecond)}
	d := a.Admit(testStart, late)
	is.Equal(d.Code, CodeDeadline)
	is.True(d.RetryAfter > 0)
	is.Equal(a.Admit(testStart, Request{Organisation: "nobody", Fleet: "llm"}).Code, CodeUnknownOrganisation)
	is.Equal(a.Admit(testStart, Request{Organisation: "small", Fleet: "none"}).Code, CodeUnknownFleet)
}
