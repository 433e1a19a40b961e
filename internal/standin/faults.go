package standin

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the injected failures of an engine or a service. The zero value injects none.
type Faults struct {
	// Refuse rejects generate requests and calls without executing them, and the response says
	// so.
	Refuse bool `json:"refuse"`
	// Leaving says in every response that the endpoint leaves.
	Leaving bool `json:"leaving"`
	// LeavingText is said instead of what Leaving says, unless it is empty.
	LeavingText string `json:"leaving_text"`
	// RateLimitText is the rate limit that every response states; empty for none.
	RateLimitText string `json:"rate_limit_text"`
	// RetryAfterMillis is the time for which refused requests are told to stay away; zero tells none.
	RetryAfterMillis int `json:"retry_after_ms"`
	// Freeze accepts requests but blocks them and the open streams until the faults are
	// replaced or the listener is closed. At a service it blocks only calls.
	Freeze bool `json:"freeze"`
	// Die closes all connections and the listener; an engine also loses its streams, its cache, its
	// KV exports and the effects of orders.
	Die bool `json:"die"`
	// CutBeforeRead closes the connection when a request arrives, before any of it is
	// processed.
	CutBeforeRead bool `json:"cut_before_read"`
	// CutAfterRequestBytes closes the connection after this many bytes of a request
	// have arrived, before it is executed; zero disables it.
	CutAfterRequestBytes int `json:"cut_after_request_bytes"`
	// CutAfterRun makes a service execute the request and then close the connection
	// without a response.
	CutAfterRun bool `json:"cut_after_run"`
	// CutAfterChunks closes the connection of a stream after this many chunks; zero
	// disables it.
	CutAfterChunks int `json:"cut_after_chunks"`
	// CrashOnText makes the endpoint crash because of a request whose body contains the text, as Die does, and
	// listen again after CrashMillis: an engine after the first chunk, a service before the response. Empty
	// disables it.
	CrashOnText string `json:"crash_on_text"`
	CrashMillis int    `json:"crash_ms"`
	// DuplicateChunks sends each chunk twice.
	DuplicateChunks bool `json:"duplicate_chunks"`
	// ForeignChunks sends a chunk that belongs to another stream before each chunk.
	ForeignChunks bool `json:"foreign_chunks"`
	// DelayMillis delays each generate request or call before it is executed, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// Count is the number of generate requests, calls and cut requests after which the faults are
	// cleared; zero means no limit.
	Count int `json:"count"`
}

// crashesOn reports whether a request with the body crashes the endpoint.
func (f *Faults) crashesOn(body []byte) bool {
	return f.CrashOnText != "" && bytes.Contains(body, []byte(f.CrashOnText))
}

// signal sets the headers with which a response says that the endpoint leaves or states a rate limit.
func (f *Faults) signal(ctx *fasthttp.RequestCtx) {
	text := f.LeavingText
	if text == "" && f.Leaving {
		text = "true"
	}
	if text != "" {
		ctx.Response.Header.Set("X-Endpoint-Leaving", text)
	}
	if f.RateLimitText != "" {
		ctx.Response.Header.Set("X-Endpoint-Rate-Limit", f.RateLimitText)
	}
}

// refuse answers that the request has not run, and for how long further ones should stay away.
func (f *Faults) refuse(ctx *fasthttp.RequestCtx) {
	if f.RetryAfterMillis > 0 {
		seconds := (time.Duration(f.RetryAfterMillis) * time.Millisecond).Seconds()
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	writeError(ctx, fasthttp.StatusServiceUnavailable, "refused")
}
