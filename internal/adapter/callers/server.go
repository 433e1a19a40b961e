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

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/bodyhttp"
	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/contain"
	"rattanchute/internal/discard"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
	"rattanchute/internal/reqbody"
	"rattanchute/internal/route"
)

// Limits bound the resources that callers can occupy.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	// ReadTimeout bounds the arrival of a request's header.
	ReadTimeout time.Duration
	// BodyIdleTimeout bounds the wait for the next bytes of a body, and BodyTimeout the arrival of the whole body.
	BodyIdleTimeout time.Duration
	BodyTimeout     time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// WriteTimeout bounds the write of one part of a response to a slow caller.
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

		BodyIdleTimeout: 30 * time.Second,
		BodyTimeout:     30 * time.Minute,
	}
}

// TableSource returns the routing table in force.
type TableSource interface {
	Table() *route.Table
}

// Server is the HTTP server for callers.
type Server struct {
	service  *dispatcher.Service
	tables   TableSource
	limits   Limits
	boundary *contain.Boundary
	log      *log.Logger
	bodies   bodyhttp.Receiver
	conns    *connlimit.Table
	http     *fasthttp.Server
}

// Process is what a server shares with the rest of its process.
type Process struct {
	// Bodies bounds the memory of bodies.
	Bodies *bodybudget.Budget
	// Boundary contains panics: one ends its connection, and no other.
	Boundary *contain.Boundary
	Log      *log.Logger
}

// New returns a server that does not listen yet.
func New(service *dispatcher.Service, tables TableSource, limits Limits, p Process) *Server {
	s := &Server{service: service, tables: tables, limits: limits, boundary: p.Boundary, log: p.Log}
	s.bodies = bodyhttp.Receiver{
		Budget: p.Bodies, Discards: discard.NewPool(), Log: p.Log, Listener: "callers",
		MaxBytes: limits.MaxBodyBytes, IdleTimeout: limits.BodyIdleTimeout, Timeout: limits.BodyTimeout,
	}
	s.conns = connlimit.NewTable(connlimit.Options{
		Yield: p.Bodies.EvictStalled, OnDecision: connlisten.LogDecisions(p.Log, "callers"),
	})
	s.http = &fasthttp.Server{
		Handler:               connlisten.Handler(s.boundary.Handler(s.handle)),
		ErrorHandler:          s.handleBadRequest,
		Name:                  "rattanchute",
		NoDefaultDate:         true,
		ReadBufferSize:        limits.MaxHeaderBytes,
		ReadTimeout:           limits.ReadTimeout,
		WriteTimeout:          limits.WriteTimeout,
		IdleTimeout:           limits.IdleTimeout,
		Concurrency:           limits.MaxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	s.http.ConnState = connlisten.StateOf(s.http)
	bodyhttp.Configure(s.http, bodyhttp.Options{
		MaxBytes: limits.MaxBodyBytes, Idle: limits.BodyIdleTimeout, Bodies: p.Bodies,
		Admits: func(request *fasthttp.RequestHeader) bool {
			_, ok := s.authenticate(request)
			return ok
		},
	})
	return s
}

// Conns returns the table of the server's connections.
func (s *Server) Conns() *connlimit.Table { return s.conns }

// discardLogger drops fasthttp's log lines. Most of them report bad requests and broken
// connections of callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on l until Shutdown is called. A nil cfg means plain HTTP.
func (s *Server) Serve(l net.Listener, cfg *tls.Config) error {
	l = connlisten.NewListener(l, s.conns, s.limits.MaxConnections)
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
	org, ok := s.authenticate(&ctx.Request.Header)
	if !ok {
		s.bodies.Refuse(ctx)
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
func (s *Server) authenticate(request *fasthttp.RequestHeader) (fleet.Organisation, bool) {
	key, ok := strings.CutPrefix(string(request.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return fleet.Organisation{}, false
	}
	sum := sha256.Sum256([]byte(key))
	return s.tables.Table().OrganisationByKeyHash(hex.EncodeToString(sum[:]))
}

// Error codes of requests that could not be received.
const (
	codeBodyTooLarge    = "body_too_large"
	codeHeadersTooLarge = "headers_too_large"
	codeRequestTimeout  = "request_timeout"
	// codeNoMemory means that there is no memory for the body, or that it was given to others because the body came slowly.
	codeNoMemory = "no_memory"
)

// noMemoryRetryAfter is the Retry-After value of a request for whose body there was no memory.
const noMemoryRetryAfter = time.Second

// receiveBody reads the body of a request. The holding, which may be nil, is to be released once the body is no longer used.
func (s *Server) receiveBody(ctx *fasthttp.RequestCtx, requestID string) (*bodybudget.Holding, *dispatcher.Refusal) {
	h, err := s.bodies.Receive(ctx, requestID)
	status, code, message := fasthttp.StatusBadRequest, "bad_request", "the body could not be read"
	switch {
	case err == nil:
		return h, nil
	case errors.Is(err, reqbody.ErrTooLarge):
		status, code, message = fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body is too large"
	case errors.Is(err, bodybudget.ErrNoRoom), errors.Is(err, bodybudget.ErrEvicted):
		return nil, noMemory(requestID, err)
	case bodyhttp.IsTimeout(err):
		status, code, message = fasthttp.StatusRequestTimeout, codeRequestTimeout, "the body took too long to arrive"
	}
	return nil, dispatcher.NewRefusal(status, requestID, code, message)
}

// noMemory returns the refusal of a request for which there is no memory.
func noMemory(requestID string, err error) *dispatcher.Refusal {
	refusal := dispatcher.NewRefusal(fasthttp.StatusServiceUnavailable, requestID, codeNoMemory, err.Error())
	refusal.Detail.RetryAfterMillis = noMemoryRetryAfter.Milliseconds()
	return refusal
}

// handleBadRequest responds to a request whose header could not be read, or whose body did not begin in time.
func (s *Server) handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, "bad_request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadersTooLarge
		s.bodies.Discards.Drop(ctx.Conn(), ctx.Conn())
	case bodyhttp.IsTimeout(err):
		status, code = fasthttp.StatusRequestTimeout, codeRequestTimeout
	}
	ctx.Response.Reset()
	requestID := dispatcher.NewRequestID()
	s.log.Warn().Str("request_id", requestID).Str("listener", "callers").Str("client", ctx.RemoteAddr().String()).
		Str("code", code).Err(err).Msg("request not read")
	writeRefusal(ctx, dispatcher.NewRefusal(status, requestID, code, "the request could not be read"))
	ctx.SetConnectionClose()
}
