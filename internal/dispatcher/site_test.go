package dispatcher_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/claim"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

const (
	onceCall   = "/app/book"
	repeatCall = "/app/search"
	testModel  = "m"
	testKey    = "key"
)

// wholeResponse is a plain service's response, and wholeBody its body.
const (
	wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n" + wholeBody
	wholeBody     = "the whole of the text"
)

// responder returns the bytes with which a request is answered before its connection closes. first is set for the first
// request that a site gets.
type responder func(first bool, body []byte) string

// partly answers the first request with a text, and any other with wholeResponse.
func partly(raw string) responder {
	return func(first bool, _ []byte) string {
		if first {
			return raw
		}
		return wholeResponse
	}
}

// endpoint is an endpoint whose process may be killed.
type endpoint struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
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

// survives, as the delay after which an endpoint is killed, means that it is not.
const survives = -1

// site is a service in front of two endpoints.
type site struct {
	service *dispatcher.Service
	router  *route.Router
	claims  *fakeClaims
	respond responder
	// killAfter is how much later than the first response is written its endpoint is killed, unless it survives.
	killAfter time.Duration
	mu        sync.Mutex
	runs      int
}

// count counts a request and reports whether it is the first.
func (s *site) count() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	return s.runs == 1
}

func (s *site) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

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
	body, _ := io.ReadAll(r.Body)
	if strings.HasSuffix(r.URL.Path, "/cancel") {
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		return
	}
	first := s.count()
	_, _ = io.WriteString(conn, s.respond(first, body))
	switch {
	case !first || s.killAfter == survives:
	case s.killAfter > 0:
		time.AfterFunc(s.killAfter, e.kill)
	default:
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

// testConfiguration declares endpoints of a fleet of services and one of engines, the same for both.
func testConfiguration(addresses []string) *fleet.Configuration {
	digest := sha256.Sum256([]byte(testKey))
	cfg := &fleet.Configuration{
		Generation:    1,
		DataCentres:   []fleet.DataCentre{{Name: "dc", Region: "r"}},
		Hosts:         []fleet.Host{{Name: "h", DataCentre: "dc"}},
		Organisations: []fleet.Organisation{{Name: "o", KeyHashes: []string{hex.EncodeToString(digest[:])}}},
		Selectors:     []fleet.Selector{{Name: "all", Priority: 5}},
		Fleets: []fleet.Fleet{
			{Name: "llm", Kind: fleet.FleetModel, Models: []string{testModel}, SlotsPerEndpoint: 8},
			{
				Name: "app", Kind: fleet.FleetService, PathPrefix: "/app/", SlotsPerEndpoint: 8,
				Calls: []fleet.Call{
					{Method: http.MethodPost, Path: onceCall},
					{Method: http.MethodPost, Path: repeatCall, Idempotent: true},
				},
			},
		},
	}
	for _, f := range cfg.Fleets {
		for i, address := range addresses {
			cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{
				Name: fmt.Sprint(f.Name, i), Host: "h", Fleet: f.Name, Address: address,
			})
		}
	}
	return cfg
}

func newSite(t *testing.T, respond responder, killAfter time.Duration) *site {
	t.Helper()
	s := &site{claims: &fakeClaims{}, respond: respond, killAfter: killAfter}
	var addresses []string
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := &endpoint{listener: listener}
		t.Cleanup(e.kill)
		go s.serve(e)
		addresses = append(addresses, listener.Addr().String())
	}
	cfg := testConfiguration(addresses)
	limiter := ratelimit.NewLimiter("n")
	s.router = route.NewRouter("dc")
	s.router.SetTable(route.Compile(cfg))
	limiter.SetConfiguration(time.Now(), cfg)
	signer, err := resumetoken.NewSigner([]byte(strings.Repeat("k", 32)))
	if err != nil {
		t.Fatal(err)
	}
	engines := enginehttp.New(enginehttp.Options{Signals: s.router})
	s.service = dispatcher.New(dispatcher.Dependencies{
		Settings: dispatcher.DefaultSettings(), Router: s.router, Limiter: limiter, Claims: s.claims, Engines: engines,
		Signer: signer, Metrics: dispatcher.NewMetrics(prometheus.NewRegistry()), Quarantine: quarantine.NewTable("n", 1),
		MayProbe: func() bool { return false }, Accepts: engines.Accepts, Listens: engines.Listens,
	})
	return s
}
