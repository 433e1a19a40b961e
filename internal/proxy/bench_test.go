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

// BenchmarkForwardedCall measures a plain call through the gateway over kept connections,
// caller and endpoint included.
func BenchmarkForwardedCall(b *testing.B) {
	e := newTestEndpoint(b, answerOK)
	s := newTestSite(b, plainRoute, e)
	conn, reader := benchDial(b, s)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: 4\r\n\r\nbody", testHead, i)
		drainAnswer(b, reader)
	}
}

// BenchmarkForwardedEvent measures one event of a stream, each written by itself.
func BenchmarkForwardedEvent(b *testing.B) {
	const events = 500
	e := newTestEndpoint(b, func(r *received) bool {
		r.sayEvents(1, events)
		r.sayEnd()
		return true
	})
	s := newTestSite(b, streamRoute, e)
	conn, reader := benchDial(b, s)
	b.ReportAllocs()
	left := 0
	for i := 0; b.Loop(); i++ {
		if left == 0 {
			_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: 0\r\n\r\n", testHead, i)
			drainAnswer(b, reader)
			left = events
		}
		left--
	}
}

// BenchmarkOpenStreams measures what an open stream takes of memory: caller and endpoint of
// each are in the same process, so that the gateway's part is less.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 300
	for b.Loop() {
		release := make(chan struct{})
		e := newTestEndpoint(b, func(r *received) bool {
			r.sayEvents(1, 3)
			<-release
			return false
		})
		s := newTestSite(b, streamRoute, e)
		before := memoryInUse()
		for i := range streams {
			conn, reader := benchDial(b, s)
			_, _ = fmt.Fprintf(conn, "%sId: %d\r\nContent-Length: 0\r\n\r\n", testHead, i)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
		close(release)
	}
}

// memoryInUse is that of the heap and the stacks after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func benchDial(b *testing.B, s *testSite) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func drainAnswer(b *testing.B, reader *bufio.Reader) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
}
