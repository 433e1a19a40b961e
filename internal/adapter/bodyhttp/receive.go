// Package bodyhttp reads the bodies of requests to a fasthttp.Server within a body budget, once the request's header has
// been accepted. The server itself would take memory for a whole body, as its header announces it, before a handler runs.
package bodyhttp

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
	"rattanchute/internal/discard"
	"rattanchute/internal/reqbody"
)

const (
	// aheadBytes are read of a body before the handler runs. The library does not do without.
	aheadBytes = 1
	// noBody is what fasthttp returns as the content length of a request that states none.
	noBody = -2
	// responseTimeout bounds what the server still discards of a request that is refused.
	responseTimeout = time.Second
)

// Options are how a server treats bodies.
type Options struct {
	// MaxBytes is the largest body allowed: one that is announced to be larger is not awaited.
	MaxBytes int
	// Idle is how long the first byte of a body is awaited.
	Idle time.Duration
	// Bodies is the budget of which the header fields of requests whose bodies have not begun take a part; nil for no bound.
	Bodies *bodybudget.Budget
	// Admits reports whether a client that asks may send its body; nil if each may. The handler must refuse a request that
	// is not admitted, and is run without its body.
	Admits func(h *fasthttp.RequestHeader) bool
}

// Configure makes a server run its handler, which must be set, once the header of a request and the first byte of its body
// are there. The handler reads the body with a Receiver, or leaves it unread.
func Configure(s *fasthttp.Server, o Options) {
	s.StreamRequestBody = true
	s.MaxRequestBodySize = aheadBytes
	s.DisablePreParseMultipartForm = true
	waiting := &waitingFields{budget: o.Bodies, requests: map[*fasthttp.RequestHeader]waitingRequest{}}
	s.HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		fields := fieldMemory(h)
		h.Del(headerUnread)
		if length, why := h.ContentLength(), o.unread(h, fields, waiting); why != "" {
			h.SetContentLength(0)
			h.Del(fasthttp.HeaderExpect)
			h.Set(headerUnread, fmt.Sprint(length, " ", why))
		}
		return fasthttp.RequestConfig{ReadTimeout: o.Idle}
	}
	serve := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		waiting.end(&ctx.Request.Header)
		if isUnread(ctx) || fieldMemory(&ctx.Request.Header) > 0 {
			// The body would be taken for the next request, and the memory of many fields stays with the connection.
			defer ctx.SetConnectionClose()
		}
		serve(ctx)
	}
}

// Why a body is not awaited.
const (
	unreadTooLarge    = "too_large"
	unreadNotAdmitted = "not_admitted"
	unreadNoRoom      = "no_room"
)

// unread returns why the body of a request with a header is not awaited; empty if it is, or if there is none.
func (o *Options) unread(h *fasthttp.RequestHeader, fields int64, waiting *waitingFields) string {
	length := h.ContentLength()
	now := clock.Now()
	switch {
	case length > o.MaxBytes:
		return unreadTooLarge
	case o.Admits != nil && len(h.Peek(fasthttp.HeaderExpect)) > 0 && !o.Admits(h):
		return unreadNotAdmitted
	case length == 0 || length == noBody || fields == 0 || o.Bodies == nil:
	case !waiting.begin(now, h, fields, now.Add(o.Idle)):
		return unreadNoRoom
	}
	return ""
}

// headerUnread marks a request whose body is not awaited, with the length that was announced, and why. The library would
// read a part of the body before it runs the handler, which may never come; it takes the request for one without a body
// instead. Callers cannot set it.
const headerUnread = "X-Internal-Body-Unread"

func isUnread(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(headerUnread)) > 0
}

// announced returns the length of the body that the header announces, and why the body is not awaited; empty if it is.
func announced(ctx *fasthttp.RequestCtx) (length int, unread string) {
	text, why, found := strings.Cut(string(ctx.Request.Header.Peek(headerUnread)), " ")
	length, err := strconv.Atoi(text)
	if !found || err != nil {
		return ctx.Request.Header.ContentLength(), ""
	}
	return length, why
}

// errNotAdmitted means that the request was not admitted when its header came, and would be now.
var errNotAdmitted = errors.New("request was not admitted before its body")

// Receiver reads the bodies of a server's requests.
type Receiver struct {
	Budget   *bodybudget.Budget
	Discards *discard.Pool
	// MaxBytes is the largest body allowed, as in the server's Options.
	MaxBytes int
	// IdleTimeout bounds the wait for the next bytes, and Timeout the arrival of the whole body.
	IdleTimeout, Timeout time.Duration
	// Log takes a line for each body that is not received, with the name of the listener; nil for none.
	Log      *log.Logger
	Listener string
}

// LogRefusal writes the line of a request that is refused for its body. The holding may be nil.
func (r *Receiver) LogRefusal(ctx *fasthttp.RequestCtx, id string, h *bodybudget.Holding, err error) {
	if r.Log == nil {
		return
	}
	state, usage := h.State(), r.Budget.Usage()
	length, _ := announced(ctx)
	r.Log.Warn().Str("request_id", id).Str("listener", r.Listener).Str("client", ctx.RemoteAddr().String()).
		Int("announced_bytes", length).
		Int64("received_bytes", state.Received).Int64("held_bytes", state.Held).
		Int64("bodies_bytes", usage.Held).Int64("limit_bytes", usage.Limit).
		Err(err).Msg("request body refused")
}

// Receive reads the body of a request, so that ctx.PostBody returns it. The holding, which may be nil, is to be released once
// the body is no longer used. The error is reqbody.ErrTooLarge, bodybudget.ErrNoRoom, bodybudget.ErrEvicted or one of the
// connection; it is logged with the request's id, which may be empty. The rest of the body has been discarded then, as far as
// that is done, and the connection is to be closed.
func (r *Receiver) Receive(ctx *fasthttp.RequestCtx, id string) (*bodybudget.Holding, error) {
	if isUnread(ctx) {
		err := unreadError(ctx)
		r.LogRefusal(ctx, id, nil, err)
		r.discard(ctx, ctx.Conn())
		return nil, err
	}
	length := ctx.Request.Header.ContentLength()
	stream := ctx.RequestBodyStream()
	fields := fieldMemory(&ctx.Request.Header)
	if length == noBody || length == 0 || stream == nil {
		length = 0
		if stream != nil {
			ctx.Request.ResetBody() // so that nobody reads the stream
		}
		if fields == 0 {
			return nil, nil
		}
	}
	conn := ctx.Conn()
	h := r.Budget.Open(clock.Now(), func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	content, err := r.read(ctx, h, length, fields)
	if err == nil && !h.Complete() {
		err = bodybudget.ErrEvicted
	}
	if err != nil {
		r.LogRefusal(ctx, id, h, err)
		h.Release()
		r.discard(ctx, conn)
		return nil, err
	}
	if length != 0 {
		ctx.Request.SetBodyRaw(content)
	}
	return h, nil
}

// read reads a body, after its memory and that of many header fields has been reserved.
func (r *Receiver) read(ctx *fasthttp.RequestCtx, h *bodybudget.Holding, length int, fields int64) ([]byte, error) {
	if err := h.Acquire(fields); err != nil || length == 0 {
		return nil, err
	}
	source := &patient{ctx: ctx, holding: h, idle: r.IdleTimeout, end: time.Now().Add(r.Timeout)}
	return reqbody.Read(reqbody.Body{Source: source, Length: length, Max: r.MaxBytes}, h)
}

// unreadError returns the error of a request whose body is not awaited.
func unreadError(ctx *fasthttp.RequestCtx) error {
	switch _, why := announced(ctx); why {
	case unreadTooLarge:
		return reqbody.ErrTooLarge
	case unreadNoRoom:
		return bodybudget.ErrNoRoom
	}
	return errNotAdmitted
}

// Refuse is called before the response to a request whose body is not wanted. What is left of a short one is discarded by
// the server, for which it gets little time; a connection with a long one is closed.
func (r *Receiver) Refuse(ctx *fasthttp.RequestCtx) {
	if isUnread(ctx) {
		r.discard(ctx, ctx.Conn())
		return
	}
	length := ctx.Request.Header.ContentLength()
	if length == noBody || length == 0 || ctx.RequestBodyStream() == nil {
		return
	}
	if length > discardedByServer {
		r.discard(ctx, ctx.Conn())
		return
	}
	_ = ctx.SetReadDeadline(time.Now().Add(responseTimeout))
}

// discardedByServer is how long a body may be for the server to read and drop it.
const discardedByServer = 256 << 10

// discard drops what the client still sends, so that the close of the connection does not cost it the response.
func (r *Receiver) discard(ctx *fasthttp.RequestCtx, conn net.Conn) {
	ctx.SetConnectionClose()
	r.Discards.Drop(conn, conn)
}

// patient reads a body and waits for its next bytes as long as a client may be idle.
type patient struct {
	ctx     *fasthttp.RequestCtx
	holding *bodybudget.Holding
	idle    time.Duration
	end     time.Time
}

// Read implements io.Reader.
func (p *patient) Read(to []byte) (int, error) {
	deadline := time.Now().Add(p.idle)
	if deadline.After(p.end) {
		deadline = p.end
	}
	if err := p.ctx.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	if p.holding.IsEvicted() {
		return 0, bodybudget.ErrEvicted
	}
	return p.ctx.RequestBodyStream().Read(to)
}

// IsTimeout reports whether an error of Receive means that the body did not come in time.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
