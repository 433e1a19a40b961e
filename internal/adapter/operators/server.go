package operators

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/bodyhttp"
	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/contain"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
	"rattanchute/internal/reqbody"
	"rattanchute/internal/settings"
)

const (
	// readTimeout bounds reading one request, headers and body.
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	// maxConnections bounds the open connections.
	maxConnections = 64
)

// Server is the HTTP server for operators. It limits the resources that a client can occupy.
type Server struct {
	http  *fasthttp.Server
	conns *connlimit.Table
}

// NewServer returns a server for the handler. The bound on headers is the one for callers.
// The boundary, which may be nil, contains its panics.
func NewServer(h *Handler, limits settings.Limits, boundary *contain.Boundary) *Server {
	s := &Server{conns: connlimit.NewTable(connlimit.Options{OnDecision: connlisten.LogDecisions(h.log, "operators")})}
	s.http = &fasthttp.Server{
		Handler:               connlisten.Handler(boundary.Handler(h.serve)),
		ErrorHandler:          handleReadError,
		ReadBufferSize:        int(limits.MaxHeaderBytes),
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
	}
	s.http.ConnState = connlisten.StateOf(s.http)
	bodyhttp.Configure(s.http, bodyhttp.Options{
		MaxBytes: fleet.MaxTextBytes, Idle: readTimeout, Bodies: h.bodies.Budget,
		Admits: func(request *fasthttp.RequestHeader) bool {
			_, ok := h.authenticate(request)
			return ok
		},
	})
	return s
}

// Conns returns the table of the server's connections.
func (s *Server) Conns() *connlimit.Table { return s.conns }

// Serve accepts connections on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(connlisten.NewListener(l, s.conns, maxConnections))
}

// Shutdown stops listening and waits until the open requests have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// handleReadError responds to a request that could not be read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	p := api.Problem{Code: api.CodeBadRequest, Message: "the request cannot be read"}
	switch {
	case errors.As(err, &smallBuffer):
		p.Message = "the headers are too large"
		writeProblem(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, p)
	default:
		writeProblem(ctx, fasthttp.StatusBadRequest, p)
	}
}

// refuseBody responds to a request whose body could not be received.
func refuseBody(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	p := api.Problem{Code: api.CodeBadRequest, Message: "the request cannot be read"}
	switch {
	case errors.Is(err, reqbody.ErrTooLarge):
		status, p.Message = fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.Is(err, bodybudget.ErrNoRoom), errors.Is(err, bodybudget.ErrEvicted):
		status, p.Message = fasthttp.StatusServiceUnavailable, "there is no memory for the body; send the request again"
	}
	writeProblem(ctx, status, p)
}
