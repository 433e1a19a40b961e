package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/fleet"
	"rattanchute/internal/registry"
)

var epoch = time.Unix(1000, 0)

const modelFleet, plainFleet = "model", "plain"

func newTestTable(endpoints int) *Table {
	t := NewTable("dc", backpressure.NewTable("host"))
	t.Configure(&fleet.Configuration{Fleets: []fleet.Fleet{
		{Name: modelFleet, Engine: &fleet.Engine{Slots: 8, CacheTokens: 500_000, BytesPerToken: 18_432, LinkMbps: 130_000}},
		{Name: plainFleet},
	}})
	t.SetEndpoints(testEndpoints(endpoints))
	return t
}

func testEndpoints(n int) []registry.Known {
	var out []registry.Known
	for i := range n {
		for _, f := range []string{modelFleet, plainFleet} {
			out = append(out, registry.Known{Endpoint: registry.Endpoint{
				ID: fmt.Sprint(f, i), Fleet: f, Slots: 8, DataCentre: "dc", Address: fmt.Sprintf("10.0.0.%d:1", i),
			}})
		}
	}
	return out
}

// prompt returns a request whose prompt is a document of the given number of shared tokens,
// followed by own tokens that no other prompt has.
func prompt(document string, shared, own int, id int) Request {
	p := AppendPrefix(Prefix{}, document, shared)
	return Request{Fleet: modelFleet, PromptTokens: shared + own, OutputTokens: 100,
		Prefixes: []Prefix{p, AppendPrefix(p, fmt.Sprint(document, "own", id), own)}}
}

// TestDocumentStaysAtItsEndpoint sends prompts with few documents at low load: each document
// must be computed at one endpoint only.
func TestDocumentStaysAtItsEndpoint(t *testing.T) {
	is := is.New(t)
	table := newTestTable(6)
	endpointsByDocument := map[string]map[string]bool{}
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		document := fmt.Sprint("doc", i%10)
		r := prompt(document, 5000, 1000, i)
		c, ok := table.Choose(now, uint64(i), r)
		is.True(ok)
		a := table.Begin(now, r, c)
		a.FirstEvent(now.Add(c.FirstEvent))
		a.End(now.Add(2*c.FirstEvent), ResultOK)
		if endpointsByDocument[document] == nil {
			endpointsByDocument[document] = map[string]bool{}
		}
		endpointsByDocument[document][c.Endpoint.ID] = true
	}
	for _, chosen := range endpointsByDocument {
		is.Equal(len(chosen), 1)
	}
}

// TestBusyDocumentIsCopiedNotRecomputed checks that when the endpoint that has a document
// cached is overloaded, another endpoint gets the request and copies the cached tokens.
func TestBusyDocumentIsCopiedNotRecomputed(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4)
	first := prompt("doc", 5000, 100, 0)
	c, _ := table.Choose(epoch, 1, first)
	a := table.Begin(epoch, first, c)
	a.FirstEvent(epoch)
	for i := range 20 {
		busy := prompt(fmt.Sprint("other", i), 100, 3000, i)
		table.Begin(epoch, busy, c)
	}
	next, ok := table.Choose(epoch, 2, prompt("doc", 5000, 100, 2))
	is.True(ok)
	is.True(next.Endpoint.ID != c.Endpoint.ID)
	is.Equal(next.FetchFrom, c.Endpoint.Address)
	is.Equal(next.FetchTokens, 5000)
	is.Equal(next.UncachedTokens, 100)
}

func TestLeavingAndExcludedEndpointsAreNotChosen(t *testing.T) {
	is := is.New(t)
	table := newTestTable(2)
	known := testEndpoints(2)
	for i := range known {
		known[i].Leaving = known[i].ID == "plain0"
	}
	table.SetEndpoints(known)
	c, ok := table.Choose(epoch, 1, Request{Fleet: plainFleet})
	is.True(ok)
	is.Equal(c.Endpoint.ID, "plain1")
	_, ok = table.Choose(epoch, 1, Request{Fleet: plainFleet, Exclude: []string{"plain1"}})
	is.True(!ok)
}

// TestFailingEndpointsAreEjectedUpToTheLimit checks that a failing endpoint is ejected, that
// part of a fleet stays in use if all of it fails, and that ejected endpoints are tried again
// later.
func TestFailingEndpointsAreEjectedUpToTheLimit(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4)
	fail := func(id string) {
		for range 10 {
			r := Request{Fleet: plainFleet}
			a := table.Begin(epoch, r, Choice{Endpoint: registry.Known{Endpoint: registry.Endpoint{ID: id}}})
			a.End(epoch, ResultFailed)
		}
	}
	fail("plain2")
	for i := range 50 {
		c, _ := table.Choose(epoch, uint64(i), Request{Fleet: plainFleet})
		is.True(c.Endpoint.ID != "plain2")
	}
	for i := range 4 {
		fail(fmt.Sprint("plain", i))
	}
	p := table.pool(plainFleet)
	ejected := 0
	for _, e := range p.ordered {
		if e.ejected(epoch) {
			ejected++
		}
	}
	is.True(ejected <= 2)
	later := epoch.Add(maxEjectionTime)
	seen := map[string]bool{}
	for i := range 200 {
		c, _ := table.Choose(later, uint64(i), Request{Fleet: plainFleet})
		seen[c.Endpoint.ID] = true
	}
	is.Equal(len(seen), 4) // ejected endpoints are tried again
}

// TestPeerLoadCountsUntilItIsOld checks that requests sent by a peer influence the choice until
// its report is too old.
func TestPeerLoadCountsUntilItIsOld(t *testing.T) {
	is := is.New(t)
	table := newTestTable(2)
	table.SetPeerLoads(epoch, "peer", false, []Load{{Fleet: plainFleet, Endpoint: "plain0", InFlight: 8}})
	for i := range 20 {
		c, _ := table.Choose(epoch, uint64(i), Request{Fleet: plainFleet})
		is.Equal(c.Endpoint.ID, "plain1")
	}
	old := epoch.Add(peerLoadMaxAge + time.Millisecond)
	seen := map[string]bool{}
	for i := range 50 {
		c, _ := table.Choose(old, uint64(i), Request{Fleet: plainFleet})
		seen[c.Endpoint.ID] = true
	}
	is.Equal(len(seen), 2)
}
