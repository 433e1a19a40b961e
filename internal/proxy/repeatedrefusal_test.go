package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeRefusal writes that the request with the given ID was not run; without an ID, the response carries none.
func (r *receivedRequest) writeRefusal(status int, id string) {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	r.writeRaw("HTTP/1.1 %d %s\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
}

// refusingTwice is an endpoint that refuses the first request on each connection, once more at a moment of the next one,
// and runs all others. It counts the runs of each request.
type refusingTwice struct {
	status        int
	withID        bool
	delay         time.Duration
	duringTheNext bool

	mu      sync.Mutex
	refused map[any]string
	runs    map[string]int
}

func (e *refusingTwice) respond(r *receivedRequest) bool {
	e.mu.Lock()
	earlier, isNext := e.refused[r.conn]
	if !isNext {
		e.refused[r.conn] = r.id()
	} else {
		e.runs[r.id()]++
	}
	e.mu.Unlock()
	again := func(id string) {
		if !e.withID {
			id = ""
		}
		r.writeRefusal(e.status, id)
	}
	if !isNext {
		r.writeRefusal(e.status, r.id())
		if !e.duringTheNext {
			time.Sleep(e.delay)
			again(r.id())
		}
		return true
	}
	if e.duringTheNext {
		time.Sleep(e.delay)
		again(earlier)
	}
	time.Sleep(2 * time.Millisecond)
	r.writeResponse(r.id(), "fine")
	return true
}

// TestRepeatedRefusalIsOfNoOtherRequest guards against an endpoint that writes an earlier refusal once more on a kept
// connection: no request is said not to have run that has, and none runs twice.
func TestRepeatedRefusalIsOfNoOtherRequest(t *testing.T) {
	for _, status := range []int{503, 429, 421, 400} {
		for _, withID := range []bool{true, false} {
			for _, delay := range []time.Duration{0, time.Millisecond, 12 * time.Millisecond} {
				for _, duringTheNext := range []bool{false, true} {
					t.Run(fmt.Sprint(status, " with ID ", withID, " after ", delay, " during the next ", duringTheNext), func(t *testing.T) {
						t.Parallel()
						e := &refusingTwice{status: status, withID: withID, delay: delay, duringTheNext: duringTheNext,
							refused: map[any]string{}, runs: map[string]int{}}
						playRepeatedRefusals(t, e)
					})
				}
			}
		}
	}
}

func playRepeatedRefusals(t *testing.T, e *refusingTwice) {
	is := is.New(t)
	p := newTestProxy(t, nonIdempotentRoute, newTestEndpoint(t, e.respond), newTestEndpoint(t, e.respond))
	promised := []int{503, 429, 421, 408}
	for i := range 20 {
		id := fmt.Sprint("r", i)
		got := p.send(t, id)
		e.mu.Lock()
		runs := e.runs[id]
		e.mu.Unlock()
		is.True(runs <= 1)
		if got.err == nil && slices.Contains(promised, got.status) {
			is.Equal(runs, 0) // the promise is true
		}
		if got.err == nil && got.status == 200 {
			is.Equal(got.body, "fine")
		}
	}
	// Connections are used again unless the repeated refusal is there before.
	is.True(len(e.runs) > 0 || !e.duringTheNext)
}
