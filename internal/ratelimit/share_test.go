package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// cluster is a set of members and a network that loses, duplicates, delays and reorders their
// messages.
type cluster struct {
	now      time.Time
	members  []*Limiter
	requests []ShareRequest
	grants   []ShareGrant
	admitted int
}

func newCluster(t *rapid.T) *cluster {
	count := rapid.IntRange(1, 6).Draw(t, "members")
	c := &cluster{now: testStart}
	for i := range count {
		c.members = append(c.members, newTestLimiter(fmt.Sprint(i), count))
	}
	return c
}

func (c *cluster) member(t *rapid.T) *Limiter {
	return rapid.SampledFrom(c.members).Draw(t, "member")
}

func (c *cluster) advance(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (c *cluster) sendRequests(t *rapid.T) {
	l := c.member(t)
	for range rapid.IntRange(1, 30).Draw(t, "requests") {
		if l.Admit(c.now, Request{Organisation: "limited", Fleet: "llm"}).Admitted {
			c.admitted++
		}
	}
}

func (c *cluster) requestShares(t *rapid.T) {
	c.requests = append(c.requests, c.member(t).ShareRequests(c.now)...)
}

// grantShares and applyGrants leave the message in the network, so that it may be delivered again.
func (c *cluster) grantShares(t *rapid.T) {
	if len(c.requests) > 0 {
		request := rapid.SampledFrom(c.requests).Draw(t, "offer")
		c.grants = append(c.grants, c.member(t).GrantShares(c.now, []ShareRequest{request})...)
	}
}

func (c *cluster) applyGrants(t *rapid.T) {
	if len(c.grants) > 0 {
		grant := rapid.SampledFrom(c.grants).Draw(t, "grant")
		for _, l := range c.members {
			l.ApplyGrants(c.now, []ShareGrant{grant})
		}
	}
}

// moveShare puts load on one member and lets it borrow from another one, with network delays.
func (c *cluster) moveShare(t *rapid.T) {
	borrower, lender := c.member(t), c.member(t)
	for range testBurst {
		if borrower.Admit(c.now, Request{Organisation: "limited", Fleet: "llm"}).Admitted {
			c.admitted++
		}
	}
	requests := borrower.ShareRequests(c.now)
	c.advance(t)
	grants := lender.GrantShares(c.now, requests)
	c.grants = append(c.grants, grants...)
	c.advance(t)
	borrower.ApplyGrants(c.now, grants)
}

func (c *cluster) check(t *rapid.T) {
	rates := 0.0
	for _, l := range c.members {
		rates += l.state.Load().organisations["limited"].rate(c.now)
	}
	if rates > testLimit*1.000001 {
		t.Fatalf("shares sum up to %g", rates)
	}
	bound := testLimit*c.now.Sub(testStart).Seconds() + testBurst + float64(len(c.members))
	if float64(c.admitted) > bound+1e-6 {
		t.Fatalf("%d admitted after %v, bound %g", c.admitted, c.now.Sub(testStart), bound)
	}
}

// TestMembersStayWithinLimit checks that, regardless of network faults, the members together admit
// no more than the limit, the burst and one request for each member.
func TestMembersStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"": c.check, "advance": c.advance, "ask": c.sendRequests,
			"offer": c.requestShares, "answer": c.grantShares, "take": c.applyGrants, "exchange": c.moveShare,
		})
	})
}

// TestMembersThatDisagreeOnCountStayWithinBound checks the sum of the shares of members that
// disagree about their number. The bound is the limit, times the actual number of members, divided
// by the smallest number that a member may assume.
func TestMembersThatDisagreeOnCountStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		live := len(c.members)
		smallest := rapid.IntRange(1, live).Draw(t, "smallest")
		bound := testLimit * float64(live) / float64(smallest)
		t.Repeat(map[string]func(*rapid.T){
			"advance": c.advance, "ask": c.sendRequests, "offer": c.requestShares, "answer": c.grantShares, "take": c.applyGrants,
			"exchange": c.moveShare,
			"members": func(t *rapid.T) {
				c.member(t).SetMembers(c.now, rapid.IntRange(smallest, live).Draw(t, "count"))
			},
			"": func(t *rapid.T) {
				rates := 0.0
				for _, l := range c.members {
					rates += l.state.Load().organisations["limited"].rate(c.now)
				}
				if rates > bound*1.000001 {
					t.Fatalf("shares sum up to %g, bound %g", rates, bound)
				}
			},
		})
	})
}

// TestShareReturnsAfterBorrowerFails checks that, after a borrower has failed, the remaining member
// has the whole limit once the loan has ended and the number of members is updated.
func TestShareReturnsAfterBorrowerFails(t *testing.T) {
	is := is.New(t)
	busy, idle := newTestLimiter("busy", 2), newTestLimiter("idle", 2)
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
	is.True(borrower.rate(now) > borrower.baseRate())
	is.True(lender.rate(now) < lender.baseRate())
	now = now.Add(loanDuration)
	idle.SetMembers(now, 1)
	is.Equal(lender.rate(now), testLimit)
}

// TestBorrowedShareIsNotLent guards against a member that lends borrowed rate. Since that rate
// returns to its lender before the new loan ends, two members would then use it at once.
func TestBorrowedShareIsNotLent(t *testing.T) {
	is := is.New(t)
	const members = 8
	middle := newTestLimiter("middle", members)
	o := middle.state.Load().organisations["limited"]
	now := testStart
	for range 40 {
		middle.Admit(now, Request{Organisation: "limited", Fleet: "llm"})
	}
	for i := range members - 1 {
		lender := newTestLimiter(fmt.Sprint(i), members)
		middle.ApplyGrants(now, lender.GrantShares(now, middle.ShareRequests(now)))
	}
	is.True(totalRate(o.borrowed, now) > o.baseRate())
	now = now.Add(loanDuration - time.Second)
	for range 20 {
		middle.GrantShares(now, []ShareRequest{{Number: 1, From: "other", Organisation: "limited", RequestedRate: testLimit}})
	}
	is.True(totalRate(o.lent, now) > 0)
	is.True(totalRate(o.lent, now) <= o.baseRate())
}
