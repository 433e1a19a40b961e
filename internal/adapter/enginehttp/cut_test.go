package enginehttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/engine"
)

// cuttingEndpoint answers each request with the first bytes of a response, as many as a function says, and then closes
// the connection.
func cuttingEndpoint(t *testing.T, raw string, cut func(*http.Request) int) string {
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
			go answerPart(conn, raw, cut)
		}
	}()
	return listener.Addr().String()
}

func answerPart(conn net.Conn, raw string, cut func(*http.Request) int) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, raw[:cut(r)])
}

const wholeText = "the whole of the text"

// serviceResponses are responses whose end is marked.
var serviceResponses = map[string]string{
	"length":    "HTTP/1.1 200 OK\r\nContent-Length: 21\r\nTail: x\r\n\r\n" + wholeText,
	"folded":    "HTTP/1.1 200 OK\r\nLong: a\r\n b\r\nContent-Length: 21\r\n\r\n" + wholeText,
	"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n" + wholeText + "\r\n0\r\n\r\n",
	"trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n15\r\n" + wholeText + "\r\n0\r\nSum: 1\r\n\r\n",
	"after 103": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n" + wholeText,
	"not run":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 4\r\n\r\nbusy",
	"204":       "HTTP/1.1 204 No Content\r\nTail: x\r\n\r\n",
}

func TestCutResponseOfAServiceIsTerminatedAndMayHaveRun(t *testing.T) {
	for name, raw := range serviceResponses {
		t.Run(name, func(t *testing.T) {
			address := cuttingEndpoint(t, raw, func(r *http.Request) int {
				n, _ := strconv.Atoi(r.Header.Get("Cut"))
				return n
			})
			client := newClient()
			for cut := range len(raw) {
				response, err := client.Call(context.Background(), address, engine.Call{
					Method: http.MethodPost, URI: "/x", Headers: []engine.Header{{Name: "Cut", Value: strconv.Itoa(cut)}},
				})
				if !errors.Is(err, engine.ErrTerminated) || errors.Is(err, engine.ErrNotSent) {
					t.Errorf("cut after %q: status %d, %q, error %v", raw[:cut], response.Status, response.Body, err)
				}
			}
		})
	}
}

// lastLineEnd is the end of the line of the last chunk.
const lastLineEnd = `"stop"}` + "\n"

// engineEvents are the events of an engine's stream of a number of chunks, and its end marker.
func engineEvents(count int) []string {
	var events []string
	for i := range count {
		finish := ""
		if i == count-1 {
			finish = `,"finish":"stop"`
		}
		events = append(events, fmt.Sprintf("data: {\"stream\":\"s\",\"offset\":%d,\"text\":\"t%d\"%s}\n\n", i, i, finish))
	}
	return append(events, "data: [DONE]\n\n")
}

// engineResponses are streams of the events, in each framing.
func engineResponses(events []string) map[string]string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	text := strings.Join(events, "")
	var chunked strings.Builder
	for _, e := range events {
		_, _ = fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(e), e)
	}
	return map[string]string{
		"chunked":   head + "Transfer-Encoding: chunked\r\n\r\n" + chunked.String() + "0\r\n\r\n",
		"length":    fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text),
		"no length": head + "\r\n" + text,
		"after 103": "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n" + text,
	}
}

func TestCutRefusalOfAnEngineDoesNotSayThatNothingRan(t *testing.T) {
	is := is.New(t)
	const raw = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 19\r\n\r\n" + `{"error":"refused"}`
	var cut atomic.Int64
	address := cuttingEndpoint(t, raw, func(*http.Request) int { return int(cut.Load()) })
	for n := range len(raw) {
		cut.Store(int64(n))
		_, err := generateAll(address)
		is.True(err != nil)
		is.True(!errors.Is(err, engine.ErrNotSent))
	}
	cut.Store(int64(len(raw)))
	_, err := generateAll(address)
	is.True(errors.Is(err, engine.ErrNotSent))
}

func TestCutStreamOfAnEngineIsTerminatedAndMayHaveRun(t *testing.T) {
	events := engineEvents(3)
	for name, raw := range engineResponses(events) {
		t.Run(name, func(t *testing.T) {
			// The text is whole with the line of its last chunk.
			var cut atomic.Int64
			address := cuttingEndpoint(t, raw, func(*http.Request) int { return int(cut.Load()) })
			for n := range strings.Index(raw, lastLineEnd) + len(lastLineEnd) {
				cut.Store(int64(n))
				texts, err := generateAll(address)
				if !errors.Is(err, engine.ErrTerminated) || errors.Is(err, engine.ErrNotSent) {
					t.Errorf("cut after %q: %q, error %v", raw[:n], texts, err)
				}
			}
		})
	}
}

func generateAll(address string) ([]string, error) {
	s, err := newClient().Generate(context.Background(), address, engine.Generate{Stream: "s", Body: body})
	if err != nil {
		return nil, err
	}
	return readTexts(s)
}

func TestWholeResponsesOfEndpointsAreWhole(t *testing.T) {
	is := is.New(t)
	for _, raw := range engineResponses(engineEvents(3)) {
		texts, err := generateAll(cuttingEndpoint(t, raw, func(*http.Request) int { return len(raw) }))
		is.NoErr(err)
		is.Equal(texts, []string{"t0", "t1", "t2"})
	}
}
