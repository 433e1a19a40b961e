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

	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
	"rattanchute/internal/route"
)

// Limits bound what one caller can make the process hold.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	// ReadTimeout is the longest a request may take to arrive, headers and body.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// WriteTimeout is the longest one write to a slow caller may block.
	WriteTimeout   time.Duration
	MaxConnections int
}

// DefaultLimits returns the limits for one entry host.
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

// TableSource gives the routing table in force.
type TableSource interface {
	Table() *route.Table
}

// Server answers callers.
type Server struct {
	service *dispatcher.Service
	tables  TableSource
	limits  Limits
	http    *fasthttp.Server
}

// New returns a server that is not yet listening.
func New(service *dispatcher.Service, tables TableSource, limits Limits) *Server {
	s := &Server{service: service, tables: tables, limits: limits}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
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
		Logger:                quietLogger{},
	}
	return s
}

// quietLogger drops the library's lines: counters tell of bad requests.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown; with a TLS configuration it speaks TLS.
func (s *Server) Serve(l net.Listener, cfg *tls.Config) error {
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	return s.http.Serve(l)
}

// Shutdown stops listening and waits for open requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
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
		s.call(ctx, requestID, org)
	}
}

// authenticate finds the organisation by the digest of the presented key, so that a
// wrong key takes the same way whatever organisations exist.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (fleet.Organisation, bool) {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return fleet.Organisation{}, false
	}
	sum := sha256.Sum256([]byte(key))
	return s.tables.Table().OrganisationByKeyHash(hex.EncodeToString(sum[:]))
}

// The codes of requests that are too large.
const (
	codeBodyTooLarge    = "body_too_large"
	codeHeadersTooLarge = "headers_too_large"
)

// handleBadRequest answers what could not be read as a request.
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
		discardRest(ctx.Conn())
	}
	ctx.Response.Reset()
	writeRefusal(ctx, dispatcher.NewRefusal(status, dispatcher.NewRequestID(), code, "the request could not be read"))
	ctx.SetConnectionClose()
}

const (
	// maxDiscardBytes bounds what is read of a request that is too large.
	maxDiscardBytes = 64 << 20
	// discardTimeout bounds the whole, discardIdle the wait for the next piece.
	discardTimeout = 2 * time.Second
	discardIdle    = 200 * time.Millisecond
)

// discardRest reads what the caller still sends of a request that is too large: closing
// with unread data would reset the connection before the answer is read.
func discardRest(conn net.Conn) {
	end := time.Now().Add(discardTimeout)
	buf := make([]byte, 64<<10)
	for total := 0; total < maxDiscardBytes && time.Now().Before(end); {
		if conn.SetReadDeadline(time.Now().Add(discardIdle)) != nil {
			return
		}
		n, err := conn.Read(buf)
		total += n
		if err != nil {
			return
		}
	}
}
