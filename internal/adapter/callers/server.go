package callers

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/contain"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
	"rattanchute/internal/route"
)

// Limits bound the resources that callers can occupy.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	// ReadTimeout bounds the arrival of a request, headers and body.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// WriteTimeout bounds the write of one part of a streamed response to a slow caller.
	// Other responses have no write timeout.
	WriteTimeout   time.Duration
	MaxConnections int
}

// DefaultLimits returns the limits of a daemon whose settings set none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   4 << 20,
		MaxHeaderBytes: 16 << 10,
		ReadTimeout:    10 * time.Second,
		IdleTimeout:    75 * time.Second,
		WriteTimeout:   30 * time.Second,
		MaxConnections: 16384,
	}
}

// TableSource returns the routing table in force.
type TableSource interface {
	Table() *route.Table
}

// Server is the HTTP server for callers.
type Server struct {
	service *dispatcher.Service
	tables  TableSource
	limits  Limits
	// boundary contains panics: one ends its connection, and no other.
	boundary *contain.Boundary
	http     *fasthttp.Server
}

// New returns a server that does not listen yet.
func New(service *dispatcher.Service, tables TableSource, limits Limits, boundary *contain.Boundary) *Server {
	s := &Server{service: service, tables: tables, limits: limits, boundary: boundary}
	s.http = &fasthttp.Server{
		Handler:               boundary.Handler(s.handle),
		ErrorHandler:          handleBadRequest,
		Name:                  "rattanchute",
		NoDefaultDate:         true,
		MaxRequestBodySize:    limits.MaxBodyBytes,
		ReadBufferSize:        limits.MaxHeaderBytes,
		ReadTimeout:           limits.ReadTimeout,
		IdleTimeout:           limits.IdleTimeout,
		Concurrency:           limits.MaxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's log lines. Most of them report bad requests and broken
// connections of callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on l until Shutdown is called. A nil cfg means plain HTTP.
func (s *Server) Serve(l net.Listener, cfg *tls.Config) error {
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	return s.http.Serve(l)
}

// Shutdown stops listening and waits until the open requests have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	// A stream that was answered on the connection before has left its write deadline there. If the
	// connection is gone, the response fails as well.
	_ = ctx.Conn().SetWriteDeadline(time.Time{})
	requestID := dispatcher.NewRequestID()
	ctx.Response.Header.Set(outcome.HeaderRequestID, requestID)
	org, ok := s.authenticate(ctx)
	if !ok {
		refusal := dispatcher.NewRefusal(fasthttp.StatusUnauthorized, requestID, "unauthorized",
			"no organisation has this key")
		writeRefusal(ctx, refusal)
		return
	}
	switch path := string(ctx.Path()); {
	case path == "/v1/chat/completions":
		s.chat(ctx, requestID, org)
	case path == "/v1/models":
		s.models(ctx, requestID, org)
	default:
		s.forwardCall(ctx, requestID, org)
	}
}

// authenticate looks the organisation up by the digest of the presented key, so that the
// response time reveals nothing about the keys that exist.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (fleet.Organisation, bool) {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return fleet.Organisation{}, false
	}
	sum := sha256.Sum256([]byte(key))
	return s.tables.Table().OrganisationByKeyHash(hex.EncodeToString(sum[:]))
}

// Error codes of requests that are too large. The unread part of such a request is discarded
// before the response is written.
const (
	codeBodyTooLarge    = "body_too_large"
	codeHeadersTooLarge = "headers_too_large"
)

// handleBadRequest responds to a request that could not be read: it is malformed or too
// large, or did not arrive in time.
func handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, "bad_request"
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadersTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status, code = fasthttp.StatusRequestTimeout, "request_timeout"
	}
	if code == codeBodyTooLarge || code == codeHeadersTooLarge {
		discardUnread(ctx.Conn())
	}
	ctx.Response.Reset()
	writeRefusal(ctx, dispatcher.NewRefusal(status, dispatcher.NewRequestID(), code, "the request could not be read"))
	ctx.SetConnectionClose()
}

const (
	// maxDiscardBytes bounds what is read and dropped of a request that is too large. No read
	// starts beyond it.
	maxDiscardBytes = 64 << 20
	// No read starts after discardTimeout. discardIdleTimeout bounds each read.
	discardTimeout     = 2 * time.Second
	discardIdleTimeout = 200 * time.Millisecond
)

// discardUnread reads and drops what the caller still sends of a request that is too
// large. Closing a connection with unread data resets it, and the caller could lose the
// response.
func discardUnread(conn net.Conn) {
	deadline := time.Now().Add(discardTimeout)
	buf := make([]byte, 64<<10)
	for total := 0; total < maxDiscardBytes && time.Now().Before(deadline); {
		if conn.SetReadDeadline(time.Now().Add(discardIdleTimeout)) != nil {
			return
		}
		n, err := conn.Read(buf)
		total += n
		if err != nil {
			return
		}
	}
}
