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

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quota"
	"rattanchute/internal/registry"
	"rattanchute/internal/retrybudget"
	"rattanchute/internal/route"
)

// testWire is a wire format of its own: the gateway knows no platform's names.
type testWire struct{}

func (testWire) DecodeRequest(h *fasthttp.RequestHeader) (RequestInfo, error) {
	a := RequestInfo{ID: string(h.Peek("Id")), KeyHash: string(h.Peek("Key")), LastEventID: string(h.Peek("After"))}
	if a.ID == "" {
		return a, errors.New("no id")
	}
	if ms, err := strconv.Atoi(string(h.Peek("Patience"))); err == nil {
		a.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	return a, nil
}

func (testWire) EncodeUpstream(to, from *fasthttp.RequestHeader, s UpstreamRequest) {
	from.CopyTo(to)
	to.Del("Key")
	to.Set("Expect-Endpoint", s.Endpoint)
	to.Set("Organisation", s.Organisation)
	if s.LastEventID != "" {
		to.Set("After", s.LastEventID)
	}
}

func (testWire) DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo {
	return ResponseInfo{ID: string(h.Peek("Id")), NotExecuted: len(h.Peek("Not-Executed")) > 0}
}

func (testWire) EncodeRefusal(h *fasthttp.ResponseHeader, id string) { h.Set("Id", id) }

// received is a request as an endpoint read it.
type received struct {
	*http.Request
	body []byte
	conn net.Conn
}

// script answers one request on a connection; it reports whether the connection goes on.
type script func(r *received) bool

// testEndpoint is an endpoint that answers by a script.
type testEndpoint struct {
	listener net.Listener
	script   script
	mu       sync.Mutex
	requests []*received
}

func newTestEndpoint(t testing.TB, s script) *testEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &testEndpoint{listener: listener, script: s}
	go e.serve()
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

func (e *testEndpoint) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.converse(conn)
	}
}

func (e *testEndpoint) converse(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := &received{r, body, conn}
		e.mu.Lock()
		e.requests = append(e.requests, got)
		e.mu.Unlock()
		if !e.script(got) {
			return
		}
	}
}

func (e *testEndpoint) seen() []*received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*received(nil), e.requests...)
}

// say writes raw bytes of an answer.
func (r *received) say(format string, args ...any) { _, _ = fmt.Fprintf(r.conn, format, args...) }

// sayWhole writes a complete plain answer to an attempt.
func (r *received) sayWhole(id, body string) {
	r.say("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (r *received) id() string { return r.Header.Get("Id") }

// sayEvents writes the head of a stream and the events of a range.
func (r *received) sayEvents(from, to int) {
	r.say("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.id())
	for i := from; i <= to; i++ {
		r.sayChunk(eventText(i))
	}
}

func (r *received) sayChunk(text string) { r.say("%x\r\n%s\r\n", len(text), text) }

func (r *received) sayEnd() { r.say("0\r\n\r\n") }

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

func eventTexts(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}

// testSite is a gateway with endpoints.
type testSite struct {
	proxy    *Proxy
	server   *Server
	balancer *balancer.Table
	quota    *quota.Ledger
}

const testFleet = "f"

// newTestSite starts a gateway before endpoints; requests prefer them in the given order.
func newTestSite(t testing.TB, r fleet.Route, endpoints ...*testEndpoint) *testSite {
	t.Helper()
	r.Host, r.PathPrefix = "site", "/"
	if len(r.Split) == 0 {
		r.Split = []fleet.WeightedFleet{{Fleet: testFleet, Weight: 1}}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	s := &testSite{balancer: balancer.NewTable("dc0"), quota: quota.NewLedger(quota.Tolerance{}, false)}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	s.proxy = New(Dependencies{
		HeaderCodec:  testWire{},
		Upstream:     httpclient.New(httpclient.Options{DialTimeout: time.Second}),
		Balancer:     s.balancer,
		Quota:        s.quota,
		RetryBudget:  retrybudget.NewBudget(retrybudget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}),
		Telemetry:    NewEvents(logger, prometheus.NewRegistry()),
		OnStarted:    func(time.Time, string) {},
		KeyMaxAge:    time.Second,
		DenyMaxAge:   time.Second,
		MaxBodyBytes: 1 << 24,
	})
	s.proxy.SetTable(route.Compile(&fleet.Configuration{
		Routes: []fleet.Route{r}, Fleets: []fleet.Fleet{{Name: testFleet}},
		Organisations: []fleet.Organisation{{Name: "o", KeyHashes: []string{"k"}}},
	}))
	s.proxy.ConfirmConfiguration(clock.Now())
	var known []registry.Known
	for i, e := range endpoints {
		// The first is in the gateway's own data centre and so preferred.
		known = append(known, registry.Known{Endpoint: registry.Endpoint{
			ID: fmt.Sprint("e", i), Fleet: testFleet, Slots: 8,
			Address: e.listener.Addr().String(), DataCentre: fmt.Sprint("dc", i),
		}})
	}
	s.balancer.SetEndpoints(known)
	server, err := s.proxy.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.server = server
	go server.Serve()
	t.Cleanup(func() { _ = server.listener.Close() })
	return s
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// closes: the answer is the last of its connection.
	closes bool
	// err is set if the answer broke off.
	err error
}

// dial opens a caller's connection.
func (s *testSite) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

const testHead = "POST /x HTTP/1.1\r\nHost: site\r\nKey: k\r\n"

// ask sends a request with the id and reads the answer.
func (s *testSite) ask(t *testing.T, id string) answer {
	t.Helper()
	conn := s.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: %s\r\nContent-Length: 4\r\n\r\nbody", testHead, id)
	return readAnswer(t, bufio.NewReader(conn))
}

func readAnswer(t *testing.T, r *bufio.Reader) answer {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}
