package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/reachability"
	"rattanchute/internal/relay"
)

// lose makes the proxy reach no endpoint of the test fleet.
func (p *testProxy) lose() {
	p.proxy.Links.Table.Failed(clock.Now(), testFleet, reachability.Failure{Endpoint: "e0", Kind: reachability.Refused, New: true}, 1)
}

// listenRelay opens the proxy's listener for peers and returns the peer that it is.
func (p *testProxy) listenRelay(t *testing.T, allowed func(ip string) bool) relay.Peer {
	t.Helper()
	server, err := p.proxy.ListenRelay("127.0.0.1:0", allowed)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(func() { _ = server.listener.Close() })
	return relay.Peer{Name: "peer " + server.Address(), Address: server.Address()}
}

func anyIP(string) bool { return true }

// relayTo makes the proxy lose its links and relay requests to the peers.
func (p *testProxy) relayTo(peers ...relay.Peer) {
	p.lose()
	p.proxy.Peers = Peers{
		Self: "first", Client: httpclient.New(httpclient.Options{}), Picker: relay.NewPicker("dc0"),
		Candidates: func(time.Time, string) []relay.Peer { return peers },
	}
}

// newProxyPair returns a proxy without links, and the one that it relays requests to, in front of the
// endpoints.
func newProxyPair(t *testing.T, r fleet.Route, endpoints ...*testEndpoint) (first, second *testProxy) {
	t.Helper()
	first, second = newTestProxy(t, r, endpoints...), newTestProxy(t, r, endpoints...)
	first.relayTo(second.listenRelay(t, anyIP))
	return first, second
}

func answerFine(r *receivedRequest) bool {
	r.writeResponse(r.id(), "fine")
	return true
}

func TestRequestIsRelayedAndCountedOnce(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	first, second := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	r := first.send(t, "a1")
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "fine")
	is.Equal(r.header.Get(relay.Header), "") // hosts' own header reaches no caller
	received := endpoint.receivedRequests()
	is.Equal(len(received), 1)
	is.Equal(received[0].Header.Get(relay.Header), "") // and no endpoint
	is.Equal(received[0].Header.Get("Key"), "")
	is.Equal(received[0].Header.Get("Organisation"), "o")
	is.Equal(string(received[0].body), "body")
	is.Equal(first.counted.Load(), int64(1))
	is.Equal(second.counted.Load(), int64(0))
}

func TestRelayedRequestGoesNoFurther(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	first, second := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	second.relayTo(first.listenRelay(t, anyIP))
	began := time.Now()
	r := first.send(t, "a1")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.body, `{"error":"endpoints_unreachable"}`)
	is.True(r.header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.Equal(len(endpoint.receivedRequests()), 0)
}

func TestNextPeerIsAskedIfTheFirstCannotSend(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	first, second := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	lost := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	lost.lose()
	gone := relay.Peer{Name: "gone", Address: "127.0.0.1:1"}
	first.relayTo(gone, lost.listenRelay(t, anyIP), second.listenRelay(t, anyIP))
	for i := range 10 {
		is.Equal(first.send(t, fmt.Sprint("a", i)).status, http.StatusOK)
	}
}

func TestStreamComesThroughAPeerAsItIsWritten(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 1)
		<-second
		r.writeChunk(eventText(2))
		r.writeLastChunk()
		return true
	})
	first, _ := newProxyPair(t, fleet.Route{Kind: fleet.RouteStream, Resumable: true}, endpoint)
	conn := first.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: a1\r\nContent-Length: 4\r\n\r\nbody", testRequestHead)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	got := make([]byte, len(eventText(1)))
	_, err = io.ReadFull(resp.Body, got)
	is.NoErr(err)
	is.Equal(string(got), eventText(1))
	close(second)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(rest), eventText(2))
}

func TestStreamThatBreaksBehindAPeerContinues(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
		if r.Header.Get("After") == "" {
			r.writeEvents(1, 3)
			return false
		}
		r.writeEvents(4, 5)
		r.writeLastChunk()
		return true
	})
	other := newTestEndpoint(t, endpoint.responder)
	first, _ := newProxyPair(t, fleet.Route{Kind: fleet.RouteStream, Resumable: true, MaxAttempts: 3}, endpoint, other)
	r := first.send(t, "a1")
	is.NoErr(r.err)
	is.Equal(r.body, eventTexts(1, 5))
}

func TestRequestThatMayHaveRunBehindAPeerIsNotRepeated(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, func(*receivedRequest) bool { return false })
	first, _ := newProxyPair(t, fleet.Route{Kind: fleet.RouteNonIdempotent, MaxAttempts: 3}, endpoint, newTestEndpoint(t, answerFine))
	r := first.send(t, "a1")
	is.Equal(r.status, http.StatusBadGateway) // promises nothing
	is.Equal(len(endpoint.receivedRequests()), 1)
}

func TestRequestRejectedBehindAPeerIsSentToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	full := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id())
		return true
	})
	free := newTestEndpoint(t, answerFine)
	route := fleet.Route{Kind: fleet.RouteNonIdempotent, MaxAttempts: 3}
	first, _ := newProxyPair(t, route, full, free)
	is.Equal(first.send(t, "a1").status, http.StatusOK)
	is.Equal(len(full.receivedRequests()), 1)
	is.Equal(len(free.receivedRequests()), 1)
}

func TestCallerThatLeavesEndsTheWorkBehindAPeer(t *testing.T) {
	is := is.New(t)
	var ended atomic.Bool
	begun := make(chan struct{})
	endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
		close(begun)
		_, _ = r.conn.Read(make([]byte, 1)) // returns when the connection is closed
		ended.Store(true)
		return false
	})
	first, _ := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	conn := first.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: a1\r\nContent-Length: 4\r\n\r\nbody", testRequestHead)
	<-begun
	_ = conn.Close()
	for deadline := time.Now().Add(500 * time.Millisecond); !ended.Load() && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(ended.Load())
}

func TestDeadlinePassesThroughAPeer(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
		time.Sleep(time.Second)
		return answerFine(r)
	})
	first, _ := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent, Timeout: 200 * time.Millisecond}, endpoint)
	began := time.Now()
	is.Equal(first.send(t, "a1").status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 400*time.Millisecond)
}

func TestRefusalOfAPeerReachesTheCaller(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 503 Pause\r\nId: %s\r\nNot-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n", r.id())
		return true
	})
	first, second := newProxyPair(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	_ = second.send(t, "a0") // the endpoint asks the second host for a pause
	r := first.send(t, "a1")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.body, `{"error":"endpoints_closed"}`)
	is.Equal(len(endpoint.receivedRequests()), 1)
}

func TestPeerGivesNoRightsThatACallerLacks(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	second := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	peer := second.listenRelay(t, anyIP)
	for _, c := range []struct{ name, head string }{
		{"unknown key", "POST /x HTTP/1.1\r\nHost: site\r\nKey: no\r\nId: a\r\n"},
		{"unknown route", "POST /x HTTP/1.1\r\nHost: other\r\nKey: k\r\nId: a\r\n"},
		{"another fleet", testRequestHead + "Id: a\r\n"},
	} {
		fleetName := testFleet
		if c.name == "another fleet" {
			fleetName = "other"
		}
		conn, err := net.Dial("tcp", peer.Address)
		is.NoErr(err)
		header := relay.Encode(relay.Request{From: "first", Fleet: fleetName, TimeoutMillis: 1000})
		_, _ = fmt.Fprintf(conn, "%s%s: %s\r\nContent-Length: 0\r\n\r\n", c.head, relay.Header, header)
		r := readResponse(t, bufio.NewReader(conn))
		_ = conn.Close()
		told, err := relay.DecodeResponse([]byte(r.header.Get(relay.Header)))
		is.NoErr(err)
		is.Equal(told.Result, relay.NotSent) // c.name
	}
	is.Equal(len(endpoint.receivedRequests()), 0)
}

func TestRelayListenerServesHostsOnly(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	second := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	for _, c := range []struct {
		allowed bool
		header  string
	}{
		{false, relay.Header + `: {"from":"first","fleet":"f","timeout_ms":1000}`},
		{true, "Other: x"},
		{true, relay.Header + ": {"},
		{true, relay.Header + ": {}"},
	} {
		peer := second.listenRelay(t, func(string) bool { return c.allowed })
		conn, err := net.Dial("tcp", peer.Address)
		is.NoErr(err)
		_, _ = fmt.Fprintf(conn, "%sId: a\r\n%s\r\nContent-Length: 0\r\n\r\n", testRequestHead, c.header)
		is.True(readResponse(t, bufio.NewReader(conn)).err != nil)
		_ = conn.Close()
	}
	is.Equal(len(endpoint.receivedRequests()), 0)
}

func TestHeaderOfHostsMeansNothingFromACaller(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	p := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	conn := p.dial(t)
	header := relay.Encode(relay.Request{From: "first", Fleet: "other", TimeoutMillis: 1})
	_, _ = fmt.Fprintf(conn, "%sId: a\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testRequestHead, relay.Header, header)
	r := readResponse(t, bufio.NewReader(conn))
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.header.Get(relay.Header), "")
	is.Equal(p.counted.Load(), int64(1))
}

// newGoneEndpoint returns an endpoint whose address refuses connections, and is given to no other listener.
func newGoneEndpoint(t *testing.T) *testEndpoint {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &testEndpoint{listener: boundSocket{port: bound.(*syscall.SockaddrInet4).Port}}
}

// boundSocket has the address of a socket that does not listen.
type boundSocket struct {
	net.Listener
	port int
}

func (b boundSocket) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: b.port} }

func TestOneRequestWithTwoUnreachableEndpointsIsRelayed(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	var gone []*testEndpoint
	for range 3 {
		gone = append(gone, newGoneEndpoint(t))
	}
	first := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, gone...)
	second := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent}, endpoint)
	first.relayTo(second.listenRelay(t, anyIP))
	first.proxy.Links.Table = reachability.NewTable() // nothing is known of the links yet
	is.Equal(first.send(t, "a1").status, http.StatusOK)
}

func TestHeadersOfTheCallersConnectionAreNamedToThePeer(t *testing.T) {
	is := is.New(t)
	second := newTestProxy(t, fleet.Route{Kind: fleet.RouteIdempotent})
	request := make(chan string, 1)
	peer := newTestEndpoint(t, func(r *receivedRequest) bool {
		request <- r.Header.Get(relay.Header)
		return false
	})
	second.relayTo(relay.Peer{Name: "p", Address: peer.listener.Addr().String()})
	conn := second.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: a\r\nConnection: X-Own\r\nX-Own: 1\r\nContent-Length: 0\r\n\r\n", testRequestHead)
	got, err := relay.DecodeRequest([]byte(<-request))
	is.NoErr(err)
	is.Equal(got.Connection, "X-Own")
}
