package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

const (
	testLimit = 40.0
	testBurst = 20
)

var testStart = time.Unix(1_700_000_000, 0)

func testConfiguration() *fleet.Configuration {
	return &fleet.Configuration{
		Organisations: []fleet.Organisation{
			{Name: "large", Weight: 1}, {Name: "small", Weight: 1},
			{Name: "limited", RequestsPerSecond: testLimit, Burst: testBurst},
		},
		Fleets:    []fleet.Fleet{{Name: "llm", SlotsPerEndpoint: 16}},
		Endpoints: []fleet.Endpoint{{Name: "e1", Fleet: "llm"}, {Name: "e2", Fleet: "llm"}},
	}
}

func testAdmitter(name string, members int) *Admitter {
	a := NewAdmitter(name)
	a.SetMembers(testStart, members)
	a.SetConfiguration(testStart, testConfiguration())
	return a
}

// cluster is several members with a network between them that loses, repeats, delays
// and reorders messages.
type cluster struct {
	now      time.Time
	members  []*Admitter
	offers   []ShareOffer
	grants   []ShareGrant
	admitted int
}

func newCluster(t *rapid.T) *cluster {
	count := rapid.IntRange(1, 6).Draw(t, "members")
	c := &cluster{now: testStart}
	for i := range count {
		c.members = append(c.members, testAdmitter(fmt.Sprint(i), count))
	}
	return c
}

func (c *cluster) member(t *rapid.T) *Admitter {
	return rapid.SampledFrom(c.members).Draw(t, "member")
}

func (c *cluster) advance(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (c *cluster) ask(t *rapid.T) {
	a := c.member(t)
	for range rapid.IntRange(1, 30).Draw(t, "requests") {
		if a.Admit(c.now, Ask{Organisation: "limited", Fleet: "llm"}).Admitted {
			c.admitted++
		}
	}
}

func (c *cluster) offer(t *rapid.T) { c.offers = append(c.offers, c.member(t).Offers(c.now)...) }

// answer and take leave the message in the network, so that it may come again.
func (c *cluster) answer(t *rapid.T) {
	if len(c.offers) > 0 {
		offer := rapid.SampledFrom(c.offers).Draw(t, "offer")
		c.grants = append(c.grants, c.member(t).Answer(c.now, []ShareOffer{offer})...)
	}
}

func (c *cluster) take(t *rapid.T) {
	if len(c.grants) > 0 {
		grant := rapid.SampledFrom(c.grants).Draw(t, "grant")
		for _, a := range c.members {
			a.Take(c.now, []ShareGrant{grant})
		}
	}
}

func (c *cluster) check(t *rapid.T) {
	rates := 0.0
	for _, a := range c.members {
		rates += a.state.Load().organisations["limited"].rate(c.now)
	}
	if rates > testLimit*1.000001 {
		t.Fatalf("shares sum up to %g", rates)
	}
	bound := testLimit*c.now.Sub(testStart).Seconds() + testBurst + float64(len(c.members))
	if float64(c.admitted) > bound+1e-6 {
		t.Fatalf("%d admitted after %v, bound %g", c.admitted, c.now.Sub(testStart), bound)
	}
}

// TestOvershoot: whatever the network does, the members together admit at most the
// limit, the burst and one request each.
func TestOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"": c.check, "advance": c.advance, "ask": c.ask,
			"offer": c.offer, "answer": c.answer, "take": c.take,
		})
	})
}

// TestOvershootUnderChange: members that disagree about their number stay under the
// limit times members over the smallest number that any of them believed lately.
func TestOvershootUnderChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		live := len(c.members)
		smallest := rapid.IntRange(1, live).Draw(t, "smallest")
		bound := testLimit * float64(live) / float64(smallest)
		t.Repeat(map[string]func(*rapid.T){
			"advance": c.advance, "ask": c.ask, "offer": c.offer, "answer": c.answer, "take": c.take,
			"members": func(t *rapid.T) {
				c.member(t).SetMembers(c.now, rapid.IntRange(smallest, live).Draw(t, "count"))
			},
			"": func(t *rapid.T) {
				rates := 0.0
				for _, a := range c.members {
					rates += a.state.Load().organisations["limited"].rate(c.now)
				}
				if rates > bound*1.000001 {
					t.Fatalf("shares sum up to %g, bound %g", rates, bound)
				}
			},
		})
	})
}

// TestShareReturns: after a borrower has died, the others have the whole limit again.
func TestShareReturns(t *testing.T) {
	is := is.New(t)
	busy, idle := testAdmitter("busy", 2), testAdmitter("idle", 2)
	now := testStart
	for range 60 {
		now = now.Add(20 * time.Millisecond)
		busy.Admit(now, Ask{Organisation: "limited", Fleet: "llm"})
	}
	grants := idle.Answer(now, busy.Offers(now))
	is.Equal(len(grants), 1)
	busy.Take(now, grants)
	lender := idle.state.Load().organisations["limited"]
	borrower := busy.state.Load().organisations["limited"]
	is.True(borrower.rate(now) > borrower.base())
	is.True(lender.rate(now) < lender.base())
	now = now.Add(loanTime)
	idle.SetMembers(now, 1)
	is.Equal(lender.rate(now), testLimit)
}

// asker asks without keeping the request.
func asker(t *rapid.T, a *Admitter, now time.Time) func(organisation string, priority int) bool {
	return func(organisation string, priority int) bool {
		d := a.Admit(now, Ask{Organisation: organisation, Fleet: "llm", Priority: priority, ExpectedFirstToken: waitTarget})
		if d.Admitted {
			a.Done(now, Ended{Organisation: organisation, Fleet: "llm"})
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
			kept := Ask{Organisation: organisations.Draw(t, "organisation"), Fleet: "llm", Priority: priority}
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
	ends := make(map[int][]Ended)
	asked, admitted := 0, 0
	ask := func(i int, organisation string) bool {
		now := testStart.Add(time.Duration(i) * step)
		d := a.Admit(now, Ask{Organisation: organisation, Fleet: "llm", Priority: 4, ExpectedFirstToken: waitTarget})
		if d.Admitted {
			end := i + int(requestTime/step)
			ends[end] = append(ends[end], Ended{Organisation: organisation, Fleet: "llm"})
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
			a.Admit(now, Ask{Organisation: "small", Fleet: "llm", ExpectedFirstToken: wait})
		}
		return f.window
	}
	is.Equal(after(time.Second), minWindowShare*f.fair)
	is.True(after(0) >= f.fair)
	// A long prompt of its own is no sign of a queue.
	d := a.Admit(now, Ask{Organisation: "small", Fleet: "llm", Priority: 9, ExpectedFirstToken: time.Minute, ExpectedPrefill: time.Minute})
	is.True(d.Admitted)
}

// TestRetryBudget: retries stay within their share of first attempts and the floor.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := testAdmitter("a", 1)
		now, attempts := testStart, 0
		retries := make(map[string]int)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			endpoint := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
			if rapid.Bool().Draw(t, "first") {
				a.Attempted(now, "small", endpoint)
				attempts++
			} else if a.AllowRetry(now, "small", endpoint) {
				retries[endpoint]++
			}
			bound := retryStart + retryShare*float64(attempts) + retryFloor*now.Sub(testStart).Seconds()
			if float64(retries["e1"]+retries["e2"]) > bound+1e-6 {
				t.Fatalf("%v retries of %d attempts", retries, attempts)
			}
		}
	})
}

func TestGivesUpAtOnce(t *testing.T) {
	is := is.New(t)
	a := testAdmitter("a", 1)
	late := Ask{Organisation: "small", Fleet: "llm", Priority: 9, ExpectedFirstToken: 300 * time.Millisecond, Deadline: testStart.Add(200 * time.Millisecond)}
	d := a.Admit(testStart, late)
	is.Equal(d.Code, CodeDeadline)
	is.True(d.RetryAfter > 0)
	is.Equal(a.Admit(testStart, Ask{Organisation: "nobody", Fleet: "llm"}).Code, CodeUnknownOrganisation)
	is.Equal(a.Admit(testStart, Ask{Organisation: "small", Fleet: "none"}).Code, CodeUnknownFleet)
}

// BenchmarkAdmit has the target of no allocation.
func BenchmarkAdmit(b *testing.B) {
	a := testAdmitter("a", 1)
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		if !a.Admit(now, Ask{Organisation: "limited", Fleet: "llm", Priority: 5}).Admitted {
			b.Fatal("not admitted")
		}
		a.Attempted(now, "limited", "endpoint")
		a.Done(now, Ended{Organisation: "limited", Fleet: "llm"})
	}
}
