package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rattanchute/internal/fleet"
)

// earlyReset is how an endpoint answers an upload before it has read it, without a length, and resets the connection in its
// answer.
type earlyReset struct {
	// uploadBytes is the size of the upload, and readBytes how much of it the endpoint reads before it answers.
	uploadBytes, readBytes int
	// after is the time from the answer to the reset.
	after time.Duration
}

// earlyResets are the cases of one upload: smaller and larger than the buffers on the way, reset before and after the host
// that sends it is blocked.
func earlyResets() []earlyReset {
	var resets []earlyReset
	for _, uploadBytes := range []int{20 << 10, 256 << 10, 2 << 20} {
		for _, readBytes := range []int{0, 16 << 10} {
			for _, after := range []time.Duration{0, 1, 2, 5, 25, 60, 120} {
				resets = append(resets, earlyReset{uploadBytes, readBytes, after * time.Millisecond})
			}
		}
	}
	return resets
}

// resettingSite is a proxy whose two endpoints play the same case to all uploads.
type resettingSite struct {
	proxy   *testProxy
	current atomic.Pointer[earlyReset]
	// part is the text that the endpoints send before they reset the connection.
	part string
	runs runCounts
}

func newResettingSite(t *testing.T, way answerWay) *resettingSite {
	t.Helper()
	s := &resettingSite{part: "part of the ans"}
	if way.route.Kind == fleet.RouteStream {
		s.part = eventTexts(1, 3)
	}
	s.proxy = proxyFor(t, way.throughPeer, way.route, s.newEndpoint(t), s.newEndpoint(t))
	return s
}

// newEndpoint returns an endpoint that, other than those of newTestEndpoint, does not read uploads to their end.
func (s *resettingSite) newEndpoint(t *testing.T) *testEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answer(conn.(*net.TCPConn))
		}
	}()
	return &testEndpoint{listener: listener}
}

func (s *resettingSite) answer(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(4 << 10)
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
	if err != nil {
		return
	}
	reset, id := s.current.Load(), r.Header.Get("Id")
	s.runs.add(id)
	_, _ = io.CopyN(io.Discard, r.Body, int64(reset.readBytes))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, s.part)
	time.Sleep(reset.after)
	_ = conn.SetLinger(0)
}

// TestPartOfAnAnswerToAnUploadIsNotPassedOnAsWhole has all endpoints reset their answers to a long upload while it is written.
func TestPartOfAnAnswerToAnUploadIsNotPassedOnAsWhole(t *testing.T) {
	for _, way := range answerWays() {
		t.Run(way.String(), func(t *testing.T) {
			t.Parallel()
			s := newResettingSite(t, way)
			for i, reset := range earlyResets() {
				s.current.Store(&reset)
				id := fmt.Sprintf("%sr%04d", cutProcess, i)
				got := s.proxy.upload(t, id, reset.uploadBytes)
				wrong := way.judgeBroken(got, s.runs.of(id))
				if wrong == "" && got.status == http.StatusOK && !strings.HasPrefix(s.part, got.body) {
					wrong = "not a part of it"
				}
				if wrong != "" {
					t.Errorf("%+v: %s: status %d, body %q, error %v", reset, wrong, got.status, got.body, got.err)
				}
			}
		})
	}
}
