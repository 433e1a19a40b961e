package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/claim"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/route"
)

const (
	onceCall   = "/app/book"
	repeatCall = "/app/search"
)

// endpoint is a plain service that answers its first call with raw bytes, and then closes the connection.
type endpoint struct {
	listener net.Listener
	raw      string
	// killed is set if its process is killed then: its listener and its connections close in order.
	killed bool
	// delay is how much later the listener closes, and the other connections.
	delay time.Duration
	mu    sync.Mutex
	conns []net.Conn
}

// kill closes the listener and all connections, as the operating system does for a killed process.
func (e *endpoint) kill() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *endpoint) add(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, conn)
}

// site is a service in front of two endpoints. The one that is called first answers with raw bytes, the other one whole.
type site struct {
	service *dispatcher.Service
	claims  *fakeClaims
	mu      sync.Mutex
	runs    int
}

// first counts a call and reports whether it is the first.
func (s *site) first() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	return s.runs == 1
}

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

func (s *site) serve(e *endpoint) {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.add(conn)
		go s.serveConn(e, conn)
	}
}

func (s *site) serveConn(e *endpoint, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !s.first() {
		_, _ = io.WriteString(conn, wholeResponse)
		return
	}
	_, _ = io.WriteString(conn, e.raw)
	switch {
	case e.killed && e.delay > 0:
		time.AfterFunc(e.delay, e.kill)
	case e.killed:
		e.kill()
	}
}

// fakeClaims grants every claim and counts the records of responses.
type fakeClaims struct {
	mu        sync.Mutex
	completed int
	withdrawn int
}

func (c *fakeClaims) Acquire(context.Context, claim.Key, string) claim.Result {
	return claim.Result{Kind: claim.Granted}
}

func (c *fakeClaims) Complete(context.Context, claim.Key, string, int, []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed++
	return nil
}

func (c *fakeClaims) Withdraw(context.Context, claim.Key, string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn++
	return nil
}

func (c *fakeClaims) counts() (completed, withdrawn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed, c.withdrawn
}

// newSite starts a site whose endpoints are like e, which has no listener.
func newSite(t *testing.T, e *endpoint) *site {
	t.Helper()
	s := &site{claims: &fakeClaims{}}
	cfg := &fleet.Configuration{
		Generation:    1,
		DataCentres:   []fleet.DataCentre{{Name: "dc", Region: "r"}},
		Hosts:         []fleet.Host{{Name: "h", DataCentre: "dc"}},
		Organisations: []fleet.Organisation{{Name: "o"}},
		Selectors:     []fleet.Selector{{Name: "all", Priority: 5}},
		Fleets: []fleet.Fleet{{
			Name: "app", Kind: fleet.FleetService, PathPrefix: "/app/", SlotsPerEndpoint: 8,
			Calls: []fleet.Call{
				{Method: http.MethodPost, Path: onceCall},
				{Method: http.MethodPost, Path: repeatCall, Idempotent: true},
			},
		}},
	}
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go s.serve(&endpoint{listener: listener, raw: e.raw, killed: e.killed, delay: e.delay})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{
			Name: fmt.Sprint("e", i), Host: "h", Fleet: "app", Address: listener.Addr().String(),
		})
	}
	router, limiter := route.NewRouter("dc"), ratelimit.NewLimiter("n")
	router.SetTable(route.Compile(cfg))
	limiter.SetConfiguration(time.Now(), cfg)
	engines := enginehttp.New(enginehttp.Options{Signals: router})
	s.service = dispatcher.New(dispatcher.Dependencies{
		Settings: dispatcher.DefaultSettings(), Router: router, Limiter: limiter, Claims: s.claims, Engines: engines,
		Metrics: dispatcher.NewMetrics(prometheus.NewRegistry()), Quarantine: quarantine.NewTable("n", 1),
		MayProbe: func() bool { return false }, Accepts: engines.Accepts, Listens: engines.Listens,
	})
	return s
}

func (s *site) call(method, path, key string) (dispatcher.CallResponse, *dispatcher.Refusal) {
	return s.service.Call(context.Background(), dispatcher.CallRequest{
		RequestID: "r", Organisation: "o", Method: method, Path: path, URI: path, Body: []byte("body"),
		IdempotencyKey: key, Priority: dispatcher.PriorityUnset,
	})
}

const cutBody = "HTTP/1.1 200 OK\r\n%s\r\nwho"

// killDelays are how much later than the connection the listener of a killed process closes.
var killDelays = []time.Duration{0, 2 * time.Millisecond}

func TestCallWithoutLengthOfAKilledEndpointIsNotPassedOnAsWhole(t *testing.T) {
	for _, delay := range killDelays {
		for _, key := range []string{"", "key"} {
			t.Run(fmt.Sprintf("%v/key %q", delay, key), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, &endpoint{raw: fmt.Sprintf(cutBody, ""), killed: true, delay: delay})
				_, refusal := s.call(http.MethodPost, onceCall, key)
				is.True(refusal != nil)
				is.Equal(refusal.Status, http.StatusBadGateway)
				is.Equal(refusal.Detail.Outcome, outcome.Unknown)
				is.Equal(s.runs, 1)
				completed, withdrawn := s.claims.counts()
				is.Equal(completed+withdrawn, 0)
			})
		}
	}
}

func TestCallWithoutLengthOfAKilledEndpointIsRetriedElsewhere(t *testing.T) {
	for _, leaving := range []string{"", enginehttp.HeaderLeaving + ": true\r\n"} {
		is := is.New(t)
		s := newSite(t, &endpoint{raw: fmt.Sprintf(cutBody, leaving), killed: true})
		response, refusal := s.call(http.MethodPost, repeatCall, "")
		is.True(refusal == nil)
		is.Equal(string(response.Body), "whole")
		is.Equal(s.runs, 2)
	}
}

func TestCallWithoutLengthOfAnEndpointThatIsThereIsWhole(t *testing.T) {
	is := is.New(t)
	s := newSite(t, &endpoint{raw: fmt.Sprintf(cutBody, "")})
	response, refusal := s.call(http.MethodPost, onceCall, "")
	is.True(refusal == nil)
	is.Equal(string(response.Body), "who")
}

func TestLastCallOfALeavingEndpointThatMayNotBeRepeatedIsWhole(t *testing.T) {
	is := is.New(t)
	s := newSite(t, &endpoint{raw: fmt.Sprintf(cutBody, enginehttp.HeaderLeaving+": true\r\n"), killed: true})
	response, refusal := s.call(http.MethodPost, onceCall, "")
	is.True(refusal == nil)
	is.Equal(string(response.Body), "who")
}

func TestResponseThatHasNoBodyIsWholeIfItsEndpointIsGone(t *testing.T) {
	for _, c := range []struct{ method, status string }{
		{http.MethodHead, "200 OK"}, {http.MethodPost, "204 No Content"}, {http.MethodPost, "304 Not Modified"},
	} {
		t.Run(c.method+" "+c.status, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, &endpoint{raw: "HTTP/1.1 " + c.status + "\r\n\r\n", killed: true})
			_, refusal := s.call(c.method, onceCall, "")
			is.True(refusal == nil)
			is.Equal(s.runs, 1)
		})
	}
}
