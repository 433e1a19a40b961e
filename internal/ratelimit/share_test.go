package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// cluster is several members with a network between them that loses, repeats, delays
// and reorders messages.
type cluster struct {
	now      time.Time
	members  []*Limiter
	offers   []ShareRequest
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

func (c *cluster) member(t *rapid.T) *Limiter {
	return rapid.SampledFrom(c.members).Draw(t, "member")
}

func (c *cluster) advance(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (c *cluster) ask(t *rapid.T) {
	a := c.member(t)
	for range rapid.IntRange(1, 30).Draw(t, "requests") {
		if a.Admit(c.now, Request{Organisation: "limited", Fleet: "llm"}).Admitted {
			c.admitted++
		}
	}
}

func (c *cluster) offer(t *rapid.T) { c.offers = append(c.offers, c.member(t).ShareRequests(c.now)...) }

// answer and take leave the message in the network, so that it may come again.
func (c *cluster) answer(t *rapid.T) {
	if len(c.offers) > 0 {
		offer := rapid.SampledFrom(c.offers).Draw(t, "offer")
		c.grants = append(c.grants, c.member(t).GrantShares(c.now, []ShareRequest{offer})...)
	}
}

func (c *cluster) take(t *rapid.T) {
	if len(c.grants) > 0 {
		grant := rapid.SampledFrom(c.grants).Draw(t, "grant")
		for _, a := range c.members {
			a.ApplyGrants(c.now, []ShareGrant{grant})
		}
	}
}

// exchange makes one member busy and lets it borrow, with a delay on the way.
func (c *cluster) exchange(t *rapid.T) {
	asker, lender := c.member(t), c.member(t)
	for range testBurst {
		if asker.Admit(c.now, Request{Organisation: "limited", Fleet: "llm"}).Admitted {
			c.admitted++
		}
	}
	offers := asker.ShareRequests(c.now)
	c.advance(t)
	grants := lender.GrantShares(c.now, offers)
	c.grants = append(c.grants, grants...)
	c.advance(t)
	asker.ApplyGrants(c.now, grants)
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
			"offer": c.offer, "answer": c.answer, "take": c.take, "exchange": c.exchange,
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
			"exchange": c.exchange,
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
		busy.Admit(now, Request{Organisation: "limited", Fleet: "llm"})
	}
	grants := idle.GrantShares(now, busy.ShareRequests(now))
	is.Equal(len(grants), 1)
	busy.ApplyGrants(now, grants)
	lender := idle.state.Load().organisations["limited"]
	borrower := busy.state.Load().organisations["limited"]
	is.True(borrower.rate(now) > borrower.base())
	is.True(lender.rate(now) < lender.base())
	now = now.Add(loanTime)
	idle.SetMembers(now, 1)
	is.Equal(lender.rate(now), testLimit)
}

// TestNeverLendsWhatItBorrowed: a borrowed share goes back to its lender before the loans
// that the borrower makes would end, so that only its own base may be lent.
func TestNeverLendsWhatItBorrowed(t *testing.T) {
	is := is.New(t)
	const members = 8
	middle := testAdmitter("middle", members)
	o := middle.state.Load().organisations["limited"]
	now := testStart
	for range 40 {
		middle.Admit(now, Request{Organisation: "limited", Fleet: "llm"})
	}
	for i := range members - 1 {
		lender := testAdmitter(fmt.Sprint(i), members)
		middle.ApplyGrants(now, lender.GrantShares(now, middle.ShareRequests(now)))
	}
	is.True(sum(o.held, now) > o.base())
	now = now.Add(loanTime - time.Second)
	for range 20 {
		middle.GrantShares(now, []ShareRequest{{Number: 1, From: "other", Organisation: "limited", Wanted: testLimit}})
	}
	is.True(sum(o.lent, now) > 0)
	is.True(sum(o.lent, now) <= o.base())
}
