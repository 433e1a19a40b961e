package bodyhttp

import (
	"bytes"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/bodybudget"
)

const (
	// manyFields is the number of header fields from which on the memory that they take is counted: as long as there are
	// few, it is less than that of the connection.
	manyFields = 64
	// fieldBytes is the memory that a parsed header field takes beside its text.
	fieldBytes = 256
	// fieldFraction of the memory for bodies may be taken by the header fields of requests whose bodies have not begun.
	fieldFraction = 0.125
)

// fieldMemory returns the memory that the fields of a header take, zero if there are few.
func fieldMemory(h *fasthttp.RequestHeader) int64 {
	if n := bytes.Count(h.RawHeaders(), []byte{'\n'}); n >= manyFields {
		return int64(n) * fieldBytes
	}
	return 0
}

// waitingFields holds the requests with many header fields whose bodies have not begun. The library tells of a header, and
// runs the handler once the body begins; it does not tell of a request that ends in between, so that each is held until its
// time is over. It is safe for concurrent use.
type waitingFields struct {
	budget *bodybudget.Budget

	mu    sync.Mutex
	bytes int64
	// requests are known by the place of their header, which the library uses for one request at a time.
	requests map[*fasthttp.RequestHeader]waitingRequest
}

type waitingRequest struct {
	bytes int64
	until time.Time
}

// begin holds a request until a time, and reports whether there is room.
func (w *waitingFields) begin(now time.Time, h *fasthttp.RequestHeader, bytes int64, until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(h)
	most := int64(fieldFraction * float64(w.budget.Usage().Limit))
	if w.bytes+bytes > most {
		w.removeEnded(now)
	}
	if w.bytes+bytes > most {
		return false
	}
	w.requests[h] = waitingRequest{bytes, until}
	w.bytes += bytes
	return true
}

// end stops to hold a request whose body has begun.
func (w *waitingFields) end(h *fasthttp.RequestHeader) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(h)
}

func (w *waitingFields) remove(h *fasthttp.RequestHeader) {
	w.bytes -= w.requests[h].bytes
	delete(w.requests, h)
}

func (w *waitingFields) removeEnded(now time.Time) {
	for h, r := range w.requests {
		if !now.Before(r.until) {
			w.remove(h)
		}
	}
}
