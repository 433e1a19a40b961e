package proxy

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

// endlessResponses write some bytes and then more without end, until the connection is closed.
var endlessResponses = []struct {
	name, begin, more string
}{
	{"status line", "HTTP/1.1 200 ", "O"},
	{"header line", "HTTP/1.1 200 OK\r\nId: %s\r\nX: ", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\nId: %s\r\n", "X: y\r\n"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"other interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", "x"},
	{"body of a long length", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "y"},
	{"trailer", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"trailer line", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "y"},
	{"event", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
	{"blank lines", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", "\n"},
	{"comments", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", ": x\n"},
	{"response to another request", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	{"bytes that are no response", "%.0s", "zzzz"},
}

const (
	// endlessTimeout is the caller's timeout, and endlessSlack how much later an answer may come.
	endlessTimeout = 1500 * time.Millisecond
	endlessSlack   = time.Second
	// maxEndlessHeap bounds the memory that one endless response may take.
	maxEndlessHeap = 128 << 20
)

// endless answers with bytes without end. The channel gets a value when the connection is closed.
func endless(begin, more string, closed chan<- struct{}) responder {
	block := strings.Repeat(more, 16<<10/len(more))
	return func(r *receivedRequest) bool {
		if strings.Contains(begin, "%") {
			r.writeRaw(begin, r.id())
		} else {
			r.writeRaw("%s", begin)
		}
		for {
			if _, err := r.conn.Write([]byte(block)); err != nil {
				closed <- struct{}{}
				return false
			}
		}
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestBytesWithoutEndAreCutOff has an endpoint send bytes without end in each place of a response.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.RouteNonIdempotent, fleet.RouteStream} {
		for _, c := range endlessResponses {
			t.Run(fmt.Sprint(kind, ", ", c.name), func(t *testing.T) {
				is := is.New(t)
				closed := make(chan struct{}, 1)
				p := newTestProxy(t, fleet.Route{Kind: kind, Timeout: endlessTimeout}, newTestEndpoint(t, endless(c.begin, c.more, closed)))
				began := time.Now()
				r := p.send(t, "1")
				is.True(r.err != nil || r.status >= 500) // the answer does not look whole
				is.True(time.Since(began) < endlessTimeout+endlessSlack)
				select {
				case <-closed:
				case <-time.After(endlessSlack):
					t.Fatal("the endpoint's connection is still open")
				}
				is.True(heapBytes() < maxEndlessHeap)
			})
		}
	}
}
