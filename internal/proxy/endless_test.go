package proxy

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/bodybudget"
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

const (
	// unfinishedStreams is the number of streams whose first event does not end, and unfinishedBytes the size of each.
	unfinishedStreams = 100
	unfinishedBytes   = 900 << 10
	// unfinishedBudget is the memory for bodies, and maxUnfinishedHeap bounds what all of them take.
	unfinishedBudget  = 16 << 20
	maxUnfinishedHeap = 48 << 20
)

// TestEventsWithoutEndStayWithinTheMemoryForBodies leaves an event of almost the largest size open in each of many streams.
func TestEventsWithoutEndStayWithinTheMemoryForBodies(t *testing.T) {
	is := is.New(t)
	var sent sync.WaitGroup
	sent.Add(unfinishedStreams)
	release := make(chan struct{})
	endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
		if strings.HasPrefix(r.id(), "whole") {
			r.writeEvents(1, 3)
			r.writeLastChunk()
			return true
		}
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\ndata: ", r.id())
		_, _ = r.conn.Write(make([]byte, unfinishedBytes))
		sent.Done()
		<-release
		return false
	})
	p := newTestProxy(t, fleet.Route{Kind: fleet.RouteStream, Timeout: 20 * time.Second}, endpoint)
	p.proxy.Bodies = bodybudget.New(unfinishedBudget, 0)
	runtime.GC()
	before := heapBytes()
	var callers sync.WaitGroup
	for i := range unfinishedStreams {
		callers.Go(func() { p.send(t, fmt.Sprint("s", i)) })
	}
	sent.Wait()
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	t.Log(heapBytes()>>20, "MiB", before>>20, "MiB before")
	is.True(heapBytes() < before+maxUnfinishedHeap)
	is.Equal(p.send(t, "whole").body, eventTexts(1, 3)) // an ordinary stream is served beside them
	close(release)
	callers.Wait()
	// The last request is released after its caller has its response.
	for end := time.Now().Add(endlessSlack); p.proxy.Bodies.Usage().Held > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(p.proxy.Bodies.Usage().Held, int64(0))
}
