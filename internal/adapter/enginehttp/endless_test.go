package enginehttp_test

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/engine"
)

const (
	// endlessCalls is the number of calls at once, and endlessTimeout the time of each.
	endlessCalls   = 24
	endlessTimeout = 500 * time.Millisecond
	// engineRoom is the memory that engines may take, and maxEndlessHeap bounds what all calls take.
	engineRoom     = 8 << 20
	maxEndlessHeap = 48 << 20
)

// endlessEngine answers with a head and then with one byte without end.
func endlessEngine(t *testing.T, more byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = more
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				for {
					if _, err := conn.Write(block); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var errNoRoom = errors.New("no room")

// boundedRoom has room for engineRoom bytes.
type boundedRoom struct{ held atomic.Int64 }

func (r *boundedRoom) Acquire(_ context.Context, bytes int64) error {
	if r.held.Add(bytes) > engineRoom {
		r.held.Add(-bytes)
		return errNoRoom
	}
	return nil
}

func (r *boundedRoom) Return(bytes int64) { r.held.Add(-bytes) }

// TestAnswersOfEnginesWithoutEndStayWithinTheirMemory has an engine send bytes without end to polls and in a stream's line.
func TestAnswersOfEnginesWithoutEndStayWithinTheirMemory(t *testing.T) {
	for name, call := range map[string]func(context.Context, *enginehttp.Client, string) error{
		"load": func(ctx context.Context, c *enginehttp.Client, address string) error {
			_, err := c.Load(ctx, address)
			return err
		},
		"cache events": func(ctx context.Context, c *enginehttp.Client, address string) error {
			_, err := c.CacheEvents(ctx, address, 0)
			return err
		},
		"stream": func(ctx context.Context, c *enginehttp.Client, address string) error {
			stream, err := c.Generate(ctx, address, engine.Generate{Stream: "s"})
			if err != nil {
				return err
			}
			_, err = stream.Next()
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, room := endlessEngine(t, 'x'), &boundedRoom{}
			c := enginehttp.New(enginehttp.Options{Room: room})
			runtime.GC()
			before := heapOf()
			var most atomic.Uint64
			ended := make(chan struct{})
			go watchHeap(&most, ended)
			var calls sync.WaitGroup
			for range endlessCalls {
				calls.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
					defer cancel()
					if call(ctx, c, address) == nil {
						t.Error("an answer without end is whole")
					}
				})
			}
			calls.Wait()
			close(ended)
			t.Log(most.Load()>>20, "MiB at most", before>>20, "MiB before")
			is.True(most.Load() < before+maxEndlessHeap)
			is.Equal(room.held.Load(), int64(0))
		})
	}
}

func heapOf() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// watchHeap keeps the most that is in use after a collection.
func watchHeap(most *atomic.Uint64, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		runtime.GC()
		most.Store(max(most.Load(), heapOf()))
	}
}
