package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// resettingServer answers with part of a response that has no length, and resets the connection once the
// client is blocked while it sends the request's body.
func resettingServer(t *testing.T) string {
	t.Helper()
	return accept(t, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(4 << 10)
		_, _ = conn.Read(make([]byte, 64))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the ans")
		time.Sleep(2 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
}

func newLargeRequest(t *testing.T) *fasthttp.Request {
	t.Helper()
	req := fasthttp.AcquireRequest()
	t.Cleanup(func() { fasthttp.ReleaseRequest(req) })
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("h")
	req.SetBodyRaw(make([]byte, 16<<20))
	return req
}

// resets is how often the race between the goroutines that learn of a reset is played.
const resets = 50

// TestResetWhileBodyIsSentDoesNotEndTheResponse: the socket reports a reset once, maybe to the goroutine that sends the body.
func TestResetWhileBodyIsSentDoesNotEndTheResponse(t *testing.T) {
	address := resettingServer(t)
	client := New(Options{})
	read := map[string]func(*fasthttp.Request) error{
		"streamed": func(req *fasthttp.Request) error {
			body, err := client.Open(context.Background(), address, req)
			if err != nil {
				return err
			}
			defer body.Close()
			_, err = io.ReadAll(body)
			return err
		},
		"buffered": func(req *fasthttp.Request) error {
			var resp fasthttp.Response
			return client.Do(context.Background(), address, req, &resp)
		},
	}
	for name, readOnce := range read {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := newLargeRequest(t)
			for range resets {
				err := readOnce(req)
				is.True(err != nil) // the response was cut
				is.True(!errors.Is(err, ErrNotSent))
			}
		})
	}
}

// TestResetIsFoundBeforeTheSenderOfTheBodyIsScheduled has that goroutine keep the reset to itself, as on a busy machine.
func TestResetIsFoundBeforeTheSenderOfTheBodyIsScheduled(t *testing.T) {
	is := is.New(t)
	address := resettingServer(t)
	for range resets {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		body := make([]byte, 16<<20)
		_, err = conn.Write(body)
		is.True(err != nil) // the socket has reported the reset
		x := &exchange{conn: &countingConn{Conn: conn}, writeDone: make(chan struct{})}
		is.True(x.writeFailure() != nil)
		_ = conn.Close()
	}
}

// TestPeerThatReadsOnAfterItsResponseHasNotReset has a peer end its side of the connection before it has read the body.
func TestPeerThatReadsOnAfterItsResponseHasNotReset(t *testing.T) {
	is := is.New(t)
	address := accept(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe answer")
		_ = conn.CloseWrite()
		time.Sleep(4 * writeResultTimeout)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	})
	body, err := New(Options{}).Open(context.Background(), address, newLargeRequest(t))
	is.NoErr(err)
	defer body.Close()
	text, err := io.ReadAll(body)
	is.NoErr(err)
	is.Equal(string(text), "the answer")
}
