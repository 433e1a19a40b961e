package peerhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/bodyhttp"
	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/contain"
	"rattanchute/internal/discard"
	"rattanchute/internal/reqbody"
)

// MaxBodyBytes bounds the body of a request or response.
const MaxBodyBytes = 4 << 20

const (
	// readTimeout bounds the arrival of a header and, again, of a body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the write of a response.
	writeTimeout = 10 * time.Second
	idleTimeout  = 2 * time.Minute
)

// Options bound what the connections of a Server may take.
type Options struct {
	// Bodies bounds the memory of bodies.
	Bodies *bodybudget.Budget
	// MaxConns bounds the open connections; not positive means no limit.
	MaxConns int
	// Boundary contains panics of handlers; nil for none.
	Boundary *contain.Boundary
	// Log takes the server's lines; nil for log.DefaultLogger.
	Log *log.Logger
}

// Handler handles the body of a peer's request and returns the response body.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// StatusError is an error with an HTTP status. A Handler returns it to respond with an
// error status other than 500; a Client returns it for an authenticated response other than 200.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peerhttp: status %d: %s", e.Status, e.Message)
}

// Server serves requests of peers. Handlers may be added while it runs.
type Server struct {
	secret Secret
	tls    *tls.Config
	http   *fasthttp.Server
	bodies bodyhttp.Receiver
	conns  *connlimit.Table
	log    *log.Logger
	// maxConns bounds the open connections; not positive means no limit.
	maxConns int

	mu       sync.RWMutex
	handlers map[string]Handler
}

// NewServer returns a server without handlers. A nil tlsConfig means plain HTTP.
func NewServer(secret Secret, tlsConfig *tls.Config, o Options) (*Server, error) {
	if err := secret.Check(); err != nil {
		return nil, err
	}
	s := &Server{secret: secret, tls: tlsConfig, maxConns: o.MaxConns, log: o.Log, handlers: map[string]Handler{}}
	if s.log == nil {
		s.log = &log.DefaultLogger
	}
	s.bodies = bodyhttp.Receiver{
		Budget: o.Bodies, Discards: discard.NewPool(), MaxBytes: MaxBodyBytes, IdleTimeout: readTimeout, Timeout: readTimeout,
		Log: s.log, Listener: "peers",
	}
	s.conns = connlimit.NewTable(connlimit.Options{
		Yield: o.Bodies.EvictStalled, OnDecision: connlisten.LogDecisions(s.log, "peers"),
	})
	s.http = &fasthttp.Server{
		Handler:               connlisten.Handler(o.Boundary.Handler(s.serve)),
		Name:                  "rattanchuted",
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	s.http.ConnState = connlisten.StateOf(s.http)
	bodyhttp.Configure(s.http, bodyhttp.Options{
		MaxBytes: MaxBodyBytes, Idle: readTimeout, Bodies: o.Bodies,
		Admits: func(request *fasthttp.RequestHeader) bool {
			return plausible(time.Now(), string(request.Peek(headerAuth)))
		},
	})
	return s, nil
}

// Conns returns the table of the server's connections.
func (s *Server) Conns() *connlimit.Table { return s.conns }

// Handle registers the handler of a path.
func (s *Server) Handle(path string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[path] = h
}

// Serve accepts connections on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	l = connlisten.NewListener(l, s.conns, s.maxConns)
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	return nil
}

// Shutdown stops listening and waits until the requests in flight have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	return nil
}

func (s *Server) serve(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	auth := string(c.Request.Header.Peek(headerAuth))
	if !plausible(time.Now(), auth) {
		s.bodies.Refuse(c)
		c.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	held, err := s.bodies.Receive(c, "")
	if err != nil {
		s.refuseBody(c, err)
		return
	}
	defer held.Release()
	body := c.PostBody()
	request, ok := s.secret.verifyRequest(time.Now(), auth, path, body)
	if !ok {
		c.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	status, response := s.response(c, path, body)
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(response)
	c.Response.Header.Set(headerAuth, s.secret.signResponse(request, status, response))
}

// refuseBody responds to a request whose body could not be received. The response is not signed.
func (s *Server) refuseBody(c *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, reqbody.ErrTooLarge):
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, bodybudget.ErrNoRoom), errors.Is(err, bodybudget.ErrEvicted):
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case bodyhttp.IsTimeout(err):
		c.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		c.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// response runs the handler of a path and returns the status and the body of the response.
func (s *Server) response(ctx context.Context, path string, body []byte) (int, []byte) {
	s.mu.RLock()
	h, ok := s.handlers[path]
	s.mu.RUnlock()
	if !ok {
		return fasthttp.StatusNotFound, []byte("no handler")
	}
	response, err := h(ctx, body)
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status, []byte(status.Message)
	}
	if err != nil {
		s.log.Error().Err(err).Str("path", path).Msg("peer request failed")
		return fasthttp.StatusInternalServerError, []byte(err.Error())
	}
	return fasthttp.StatusOK, response
}
