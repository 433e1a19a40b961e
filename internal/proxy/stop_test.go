package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/relay"
)

// TestStoppingServerAnswersRequestsThatHaveArrived: requests that callers have sent before the stop, on connections
// that are kept open and on new ones, are answered.
func TestStoppingServerAnswersRequestsThatHaveArrived(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, nonIdempotentRoute, newTestEndpoint(t, respondOK))
			var conns []net.Conn
			for i := range 20 {
				conn := p.dial(t)
				if i%2 == 0 {
					writeRequest(t, conn, fmt.Sprint("first", i))
					is.Equal(readResponse(t, bufio.NewReader(conn)).status, 200)
				}
				conns = append(conns, conn)
			}
			for i, conn := range conns {
				writeRequest(t, conn, fmt.Sprint("last", i))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			p.server.Close(ctx)
			for _, conn := range conns {
				a := readResponse(t, bufio.NewReader(conn))
				is.NoErr(a.err)
				is.Equal(a.status, 200)
			}
		})
	}
}

func writeRequest(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "%sId: %s\r\n\r\n", testRequestHead, id); err != nil {
		t.Fatal(err)
	}
}

// stopping returns how a stop goes that is late at once or after a minute, and ends when told.
func stopping(late, end time.Duration) Stop {
	now := clock.Now()
	return Stop{Late: now.Add(late), End: now.Add(end)}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("waited in vain")
}

// gatedStream answers the requests whose ID begins with "slow" with a stream of two events, between which it waits for
// the gate, and others at once.
func gatedStream(gate <-chan struct{}) responder {
	return func(r *receivedRequest) bool {
		if !strings.HasPrefix(r.id(), "slow") {
			return respondOK(r)
		}
		r.writeEvents(1, 1)
		<-gate
		r.writeChunk(eventText(2))
		r.writeLastChunk()
		return true
	}
}

func requestText(id string, patience time.Duration) string {
	return fmt.Sprintf("%sId: %s\r\nPatience: %d\r\nContent-Length: 0\r\n\r\n", testRequestHead, id, patience.Milliseconds())
}

func isRefusedByStop(is *is.I, r callerResponse) {
	is.Helper()
	is.NoErr(r.err)
	is.Equal(r.status, 503)
	is.Equal(r.body, `{"error":"stopping"}`)
	is.True(r.closes)
	is.Equal(r.header.Get("Retry-After"), "0.05")
}

// TestLateRequestOnKeptConnectionIsRefused guards against requests that a stopping host takes from a connection whose
// response began before the stop, and cuts off when it ends.
func TestLateRequestOnKeptConnectionIsRefused(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		t.Run(fmt.Sprint("pipelined ", pipelined), func(t *testing.T) {
			is := is.New(t)
			gate := make(chan struct{})
			e := newTestEndpoint(t, gatedStream(gate))
			p := newTestProxy(t, streamRoute, e)
			conn := p.dial(t)
			reader := bufio.NewReader(conn)
			_, _ = fmt.Fprint(conn, requestText("slow", 5*time.Second))
			_, err := reader.Peek(1)
			is.NoErr(err) // the head is out
			if pipelined {
				_, _ = fmt.Fprint(conn, requestText("next", 5*time.Second))
			}
			p.server.Drain(stopping(0, time.Second))
			close(gate)
			first := readResponse(t, reader)
			is.Equal(first.body, eventTexts(1, 2))
			is.True(!first.closes)
			if !pipelined {
				_, _ = fmt.Fprint(conn, requestText("next", 5*time.Second))
			}
			isRefusedByStop(is, readResponse(t, reader))
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(e.receivedRequests()), 1)
		})
	}
}

// TestPipelinedRequestIsAnsweredInAStop guards against a request that has been read and is dropped, because the response
// before it is made the last of its connection.
func TestPipelinedRequestIsAnsweredInAStop(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			is := is.New(t)
			gate := make(chan struct{})
			e := newTestEndpoint(t, func(r *receivedRequest) bool {
				<-gate
				return respondOK(r)
			})
			p := newTestProxy(t, nonIdempotentRoute, e)
			conn := p.dial(t)
			reader := bufio.NewReader(conn)
			_, _ = fmt.Fprint(conn, requestText("first", 5*time.Second))
			waitFor(t, func() bool { return len(e.receivedRequests()) == 1 })
			_, _ = fmt.Fprint(conn, requestText("next", 5*time.Second))
			stop := stopping(time.Minute, time.Minute)
			if late {
				stop = stopping(0, time.Second)
			}
			p.server.Drain(stop)
			time.AfterFunc(100*time.Millisecond, func() { close(gate) })
			first := readResponse(t, reader)
			is.Equal(first.status, 200)
			is.True(!first.closes)
			next := readResponse(t, reader)
			if late {
				isRefusedByStop(is, next)
				return
			}
			is.NoErr(next.err)
			is.Equal(next.status, 200)
			is.True(next.closes)
		})
	}
}

// TestRequestReadLateIsRefused guards against the same on connections without an earlier response: one that is idle, and
// one whose request is half read when it becomes late.
func TestRequestReadLateIsRefused(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, respondOK)
	p := newTestProxy(t, nonIdempotentRoute, e)
	idle, half := p.dial(t), p.dial(t)
	_, _ = fmt.Fprintf(half, "%sId: half\r\nContent-Length: 4\r\n\r\nbo", testRequestHead)
	time.Sleep(50 * time.Millisecond)
	p.server.Drain(stopping(0, time.Second))
	_, _ = fmt.Fprint(half, "dy")
	_, _ = fmt.Fprint(idle, requestText("idle", 5*time.Second))
	isRefusedByStop(is, readResponse(t, bufio.NewReader(half)))
	isRefusedByStop(is, readResponse(t, bufio.NewReader(idle)))
	is.Equal(len(e.receivedRequests()), 0)
}

// TestLateTakeUpIsRefusedBeforeTheStoreIsAsked guards against a request that waits for the store until the host has ended.
func TestLateTakeUpIsRefusedBeforeTheStoreIsAsked(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, respondOK)
	p := newTestProxy(t, fleet.Route{Kind: fleet.RouteStream, Resumable: true}, e)
	asked := false
	p.proxy.OnlyVersion = func(time.Time, string) (string, bool) {
		asked = true
		return "", false
	}
	conn := p.dial(t)
	p.server.Drain(stopping(0, time.Second))
	_, _ = fmt.Fprintf(conn, "%sId: rest\r\nAfter: 3\r\nFirst-Id: first\r\nPatience: 5000\r\nContent-Length: 0\r\n\r\n", testRequestHead)
	isRefusedByStop(is, readResponse(t, bufio.NewReader(conn)))
	is.True(!asked)
	is.Equal(len(e.receivedRequests()), 0)
}

// TestLateRequestWithTimeForItIsServed: a stop refuses no request that ends before it.
func TestLateRequestWithTimeForItIsServed(t *testing.T) {
	is := is.New(t)
	p := newTestProxy(t, nonIdempotentRoute, newTestEndpoint(t, respondOK))
	conn := p.dial(t)
	p.server.Drain(stopping(0, 5*time.Second))
	_, _ = fmt.Fprint(conn, requestText("short", time.Second))
	r := readResponse(t, bufio.NewReader(conn))
	is.Equal(r.status, 200)
	is.True(r.closes)
}

// TestHeadWrittenInAStopSaysThatItCloses: also to a request that was read before the stop.
func TestHeadWrittenInAStopSaysThatItCloses(t *testing.T) {
	for _, route := range []fleet.Route{nonIdempotentRoute, streamRoute} {
		t.Run(fmt.Sprint(route.Kind), func(t *testing.T) {
			is := is.New(t)
			gate := make(chan struct{})
			e := newTestEndpoint(t, func(r *receivedRequest) bool {
				<-gate
				if route.Kind != fleet.RouteStream {
					return respondOK(r)
				}
				r.writeEvents(1, 2)
				r.writeLastChunk()
				return true
			})
			p := newTestProxy(t, route, e)
			conn := p.dial(t)
			_, _ = fmt.Fprint(conn, requestText("early", 5*time.Second))
			waitFor(t, func() bool { return len(e.receivedRequests()) == 1 })
			p.server.Drain(stopping(time.Minute, time.Minute))
			close(gate)
			r := readResponse(t, bufio.NewReader(conn))
			is.NoErr(r.err)
			is.Equal(r.status, 200)
			is.True(r.closes)
		})
	}
}

// TestRequestsInProgressAtTheEndOfAStopAreAnswered guards against connections that end without an answer: a request
// that may have run gets 502, and a stream breaks off.
func TestRequestsInProgressAtTheEndOfAStopAreAnswered(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	t.Cleanup(func() { close(gate) })
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		if r.id() == "running" {
			<-gate
			return false
		}
		return gatedStream(gate)(r)
	})
	p := newTestProxy(t, streamRoute, e)
	running, stream := p.dial(t), p.dial(t)
	_, _ = fmt.Fprint(running, requestText("running", 5*time.Second))
	_, _ = fmt.Fprint(stream, requestText("slow stream", 5*time.Second))
	waitFor(t, func() bool { return len(e.receivedRequests()) == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	p.server.Drain(stopping(0, 200*time.Millisecond))
	p.server.Close(ctx)
	is.True(time.Since(began) < time.Second)
	r := readResponse(t, bufio.NewReader(running))
	is.NoErr(r.err)
	is.Equal(r.status, 502)
	is.True(r.closes)
	is.True(readResponse(t, bufio.NewReader(stream)).err != nil)
}

// TestPeerTakesARelayedRequestElsewhereDuringAStop: a host that refuses a relayed request because it stops leaves it
// to other hosts.
func TestPeerTakesARelayedRequestElsewhereDuringAStop(t *testing.T) {
	is := is.New(t)
	endpoint := newTestEndpoint(t, answerFine)
	r := fleet.Route{Kind: fleet.RouteNonIdempotent}
	first, second, third := newTestProxy(t, r, endpoint), newTestProxy(t, r, endpoint), newTestProxy(t, r, endpoint)
	stopped, err := second.proxy.ListenRelay("127.0.0.1:0", anyIP)
	is.NoErr(err)
	go stopped.Serve()
	t.Cleanup(func() { _ = stopped.listener.Close() })
	stopped.Drain(stopping(0, time.Second))
	peers := []relay.Peer{{Name: "stopped", Address: stopped.Address()}, third.listenRelay(t, anyIP)}
	first.relayTo(peers...)
	for i := range 10 {
		got := first.send(t, fmt.Sprint("a", i))
		is.Equal(got.status, 200)
		is.Equal(got.body, "fine")
	}
}

// TestStoppingPeerTakesNoRelayedRequestThatOutlivesIt guards against a stream that breaks off at a host that goes on,
// because the peer that it was relayed to stops.
func TestStoppingPeerTakesNoRelayedRequestThatOutlivesIt(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	endpoint := newTestEndpoint(t, gatedStream(gate))
	first, stops := newTestProxy(t, streamRoute, endpoint), newTestProxy(t, streamRoute, endpoint)
	stopped, err := stops.proxy.ListenRelay("127.0.0.1:0", anyIP)
	is.NoErr(err)
	go stopped.Serve()
	t.Cleanup(func() { _ = stopped.listener.Close() })
	stopped.Drain(stopping(time.Minute, 300*time.Millisecond))
	nearest := relay.Peer{Name: "stopped", Address: stopped.Address(), DataCentre: "dc0"}
	first.relayTo(nearest, newTestProxy(t, streamRoute, endpoint).listenRelay(t, anyIP))
	conn := first.dial(t)
	_, _ = fmt.Fprint(conn, requestText("slow", 5*time.Second))
	time.AfterFunc(400*time.Millisecond, func() { close(gate) })
	r := readResponse(t, bufio.NewReader(conn))
	is.NoErr(r.err)
	is.Equal(r.body, eventTexts(1, 2))
}

// TestRequestThatWasNotSentIsRefusedAtTheEndOfAStop: nothing of it has reached an endpoint, so that the refusal is true.
func TestRequestThatWasNotSentIsRefusedAtTheEndOfAStop(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, respondOK)
	p := newTestProxy(t, nonIdempotentRoute, e)
	dialled := make(chan struct{}, 1)
	p.proxy.Upstream = httpclient.New(httpclient.Options{
		DialTimeout: 400 * time.Millisecond,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dialled <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	conn := p.dial(t)
	_, _ = fmt.Fprint(conn, requestText("unsent", 5*time.Second))
	<-dialled
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	p.server.Drain(stopping(0, 20*time.Millisecond))
	p.server.Close(ctx)
	// The process ends shortly after this.
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	isRefusedByStop(is, readResponse(t, bufio.NewReader(conn)))
	is.Equal(len(e.receivedRequests()), 0)
}
