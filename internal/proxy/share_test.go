package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/clock"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/fleet"
)

// flood makes the test fleet short of room, of which the test organisation demands much more than its share.
func (p *testProxy) flood() {
	now, shares := clock.Now(), p.proxy.Shares
	shares.Configure([]fairshare.Organisation{{Name: "o"}, {Name: "other"}}, []string{testFleet})
	shares.RecordServed(now, fairshare.Served{Fleet: testFleet, Seconds: 10, Slots: 8})
	for range 1000 {
		shares.Decide(now, 0, fairshare.Request{Fleet: testFleet, Organisation: "o"})
	}
	shares.Decide(now, 0, fairshare.Request{Fleet: testFleet, Organisation: "other"})
	p.squeeze(now)
}

// squeeze has the test fleet be short of room from now on, for shares hold for a short time only.
func (p *testProxy) squeeze(now time.Time) {
	p.proxy.Shares.SetRoom(now, testFleet, fairshare.Room{
		Capacity: fairshare.Cost{fairshare.Slots: 1}, Fullness: fairshare.Cost{fairshare.Slots: 3},
	})
}

// TestRequestAboveTheShareIsRefusedAtOnce checks that such a request has not run, costs no quota, and is not counted.
func TestRequestAboveTheShareIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	p := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	p.quota.Configure(clock.Now(), []fleet.Organisation{{Name: "o", Quota: fleet.TokenQuota{PerSecond: 1e-6, Burst: 3, ByRequest: true}}})
	p.flood()
	for range 10 {
		p.squeeze(clock.Now())
		r := p.send(t, "a")
		is.Equal(r.status, 503)
		is.Equal(r.body, `{"error":"organisation_share"}`)
		is.True(r.header.Get("Retry-After") != "")
	}
	is.Equal(len(endpoint.receivedRequests()), 0)
	is.Equal(p.counted.Load(), int64(0))
}

// TestRelayedRequestIsDecidedOnce relays a request to a host where its organisation demands more than its share.
func TestRelayedRequestIsDecidedOnce(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	first, second := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	second.flood()
	second.squeeze(clock.Now())
	is.Equal(second.send(t, "direct").status, 503)
	second.squeeze(clock.Now())
	is.Equal(first.send(t, "relayed").status, 200)
}
