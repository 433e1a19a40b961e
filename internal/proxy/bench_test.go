package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// BenchmarkForwardedCall measures a plain call through the proxy over reused connections, caller
// and endpoint included.
func BenchmarkForwardedCall(b *testing.B) {
	e := newTestEndpoint(b, respondOK)
	p := newTestProxy(b, nonIdempotentRoute, e)
	conn, reader := benchDial(b, p)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: 4\r\n\r\nbody", testRequestHead, i)
		discardResponse(b, reader)
	}
}

// BenchmarkForwardedEvent measures the time per event of long streams. The endpoint writes each
// event by itself.
func BenchmarkForwardedEvent(b *testing.B) {
	const events = 500
	e := newTestEndpoint(b, func(r *receivedRequest) bool {
		r.writeEvents(1, events)
		r.writeLastChunk()
		return true
	})
	p := newTestProxy(b, streamRoute, e)
	conn, reader := benchDial(b, p)
	b.ReportAllocs()
	left := 0
	for i := 0; b.Loop(); i++ {
		if left == 0 {
			_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: 0\r\n\r\n", testRequestHead, i)
			discardResponse(b, reader)
			left = events
		}
		left--
	}
}

// BenchmarkOpenStreams measures the memory of an open stream. Caller and endpoint run in the same
// process, so the proxy's part is smaller.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 300
	for b.Loop() {
		release := make(chan struct{})
		e := newTestEndpoint(b, func(r *receivedRequest) bool {
			r.writeEvents(1, 3)
			<-release
			return false
		})
		p := newTestProxy(b, streamRoute, e)
		before := memoryInUse()
		for i := range streams {
			conn, reader := benchDial(b, p)
			_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: 0\r\n\r\n", testRequestHead, i)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
		close(release)
	}
}

// memoryInUse returns the size of the heap and the stacks after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func benchDial(b *testing.B, p *testProxy) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", p.server.Address())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func discardResponse(b *testing.B, reader *bufio.Reader) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
}
