package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/clock"
	"rattanchute/internal/origin"
)

// writeRest answers with the events after the last one that the caller has.
func writeRest(r *receivedRequest) bool {
	if r.Header.Get("After") == "" {
		r.writeEvents(1, 3)
	} else {
		r.writeEvents(3, 3)
	}
	r.writeLastChunk()
	return true
}

func TestStreamOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, writeRest)
	p := newTestProxy(t, resumableRoute, endpoint)
	p.proxy.OnlyVersion = func(time.Time, string) (string, bool) { return "", false }
	r := p.resume(t, "1", "2", "first")
	is.Equal(r.status, 503)
	is.Equal(r.body, `{"error":"stream_origin_unknown"}`)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(p.resume(t, "2", "0", "").status, 200) // the caller has no event yet
	is.Equal(p.send(t, "3").status, 200)
	is.Equal(len(endpoint.receivedRequests()), 2)
}

func TestStreamResumesOnlyAtItsOrigin(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, writeRest)
	p := newTestProxy(t, resumableRoute, endpoint)
	p.proxy.OnlyVersion = func(time.Time, string) (string, bool) { return "", false }
	is.Equal(p.send(t, "first").status, 200)
	is.Equal(p.resume(t, "second", "2", "first").status, 200)
	is.Equal(p.resume(t, "third", "2", "first").status, 200)
	is.Equal(p.resume(t, "4", "2", "second").status, 503) // it brought no first event
	p.proxy.Origins.Began(clock.Now(), origin.KeyOf("o", "elsewhere"), origin.Origin{Fleet: testFleet, Version: "gone"})
	r := p.resume(t, "5", "2", "elsewhere")
	is.Equal(r.body, `{"error":"no_endpoint"}`)
	p.proxy.Origins.Began(clock.Now(), origin.KeyOf("o", "moved"), origin.Origin{Fleet: "another"})
	r = p.resume(t, "6", "2", "moved")
	is.Equal(r.body, `{"error":"no_endpoint"}`)
	is.Equal(len(endpoint.receivedRequests()), 3)
}
