package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// earlyPause is how long an early endpoint reads nothing after its answer.
const earlyPause = 20 * time.Millisecond

// earlyEndpoint answers before it has read a body, and then reads on.
type earlyEndpoint struct {
	*testEndpoint
	mu     sync.Mutex
	bodies []string
	// strange is set if what follows a body is not a request.
	strange error
}

func newEarlyEndpoint(t *testing.T) *earlyEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &earlyEndpoint{testEndpoint: &testEndpoint{listener: listener}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// A body larger than the buffers between the two is still on its way after the answer.
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			go e.converse(conn)
		}
	}()
	return e
}

func (e *earlyEndpoint) converse(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			e.mu.Lock()
			e.strange = err
			e.mu.Unlock()
			return
		}
		(&received{Request: r, conn: conn}).sayWhole(r.Header.Get("Id"), "early")
		// The sender must not take the connection for free meanwhile.
		time.Sleep(earlyPause)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
	}
}

// TestEarlyAnswerToALongBody: an endpoint that answers before it has read the body gets the
// body's own bytes where they are due, and later requests are answered as ever.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	e := newEarlyEndpoint(t)
	s := newTestSite(t, plainRoute, e.testEndpoint)
	body := strings.Repeat("0123456789abcdef", 1<<18)
	for i := range 5 {
		conn := s.dial(t)
		_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: %d\r\n\r\n%s", testHead, i, len(body), body)
		a := readAnswer(t, bufio.NewReader(conn))
		is.NoErr(a.err)
		is.Equal(a.status, 200)
		is.Equal(a.body, "early")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	is.NoErr(e.strange)
	for _, got := range e.bodies {
		is.True(strings.HasPrefix(body, got)) // whole or cut, never other bytes
	}
}

// TestFullBodyBudgetRefusesAtOnce and is given back.
func TestFullBodyBudgetRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, plainRoute, newTestEndpoint(t, answerOK))
	const budget = 40
	s.proxy.MaxBodyBytes = budget
	conn := s.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nContent-Length: %d\r\n\r\n%s", testHead, budget+1, strings.Repeat("x", budget+1))
	a := readAnswer(t, bufio.NewReader(conn))
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	// Bodies of four bytes; that of an answered request may count for a moment longer.
	for i := range budget {
		is.Equal(s.ask(t, strconv.Itoa(i)).status, 200)
	}
}

// failingListener fails some times before it accepts.
type failingListener struct {
	net.Listener
	mu       sync.Mutex
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	failing := l.failures > 0
	l.failures--
	l.mu.Unlock()
	if failing {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// TestFailedAcceptsEndNothing: a host without descriptors goes on once it has some again.
func TestFailedAcceptsEndNothing(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, plainRoute, newTestEndpoint(t, answerOK))
	server, err := s.proxy.Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = server.listener.Close() })
	server.listener = &failingListener{Listener: server.listener, failures: 5}
	s.server = server
	go server.Serve()
	is.Equal(s.ask(t, "1").status, 200)
}

// TestFullEndpointsRefuseAtOnce: a caller that would wait longer than its goal behind others is
// told when to come back, nothing is sent, and once places are free it is served.
func TestFullEndpointsRefuseAtOnce(t *testing.T) {
	is := is.New(t)
	r := plainRoute
	r.LatencyTarget = 50 * time.Millisecond
	e := newTestEndpoint(t, answerOK)
	s := newTestSite(t, r, e)
	full := []balancer.Load{{Fleet: testFleet, Endpoint: "e0", InFlight: 80}}
	s.balancer.SetPeerLoads(clock.Now(), "peer", false, full)
	began := time.Now()
	a := s.ask(t, "1")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.Equal(len(e.seen()), 0)
	s.balancer.SetPeerLoads(clock.Now(), "peer", false, nil)
	is.Equal(s.ask(t, "2").status, 200)
}

// TestUrgentRequestsPassWhereOthersAreRefused plays the same full endpoint before two routes.
func TestUrgentRequestsPassWhereOthersAreRefused(t *testing.T) {
	is := is.New(t)
	for priority, want := range map[int]int{0: 200, 5: 503} {
		r := plainRoute
		r.Priority, r.LatencyTarget = priority, time.Second
		e := newTestEndpoint(t, answerOK)
		s := newTestSite(t, r, e)
		table := *s.proxy.Table().Configuration()
		urgent := fleet.Route{Host: "other", PathPrefix: "/", Priority: 0, MaxAttempts: 1, Split: table.Routes[0].Split}
		table.Routes = append(table.Routes, urgent)
		s.proxy.SetTable(route.Compile(&table))
		s.balancer.SetPeerLoads(clock.Now(), "peer", false, []balancer.Load{{Fleet: testFleet, Endpoint: "e0", InFlight: 300}})
		is.Equal(s.ask(t, "1").status, want)
	}
}
