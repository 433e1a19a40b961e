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

	"rattanchute/internal/contain"
)

// MaxBodyBytes bounds the body of a request or response.
const MaxBodyBytes = 4 << 20

const (
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
)

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

	mu       sync.RWMutex
	handlers map[string]Handler
}

// NewServer returns a server without handlers. A nil tlsConfig means plain HTTP. The boundary, which may be
// nil, contains panics of handlers.
func NewServer(secret Secret, tlsConfig *tls.Config, boundary *contain.Boundary) (*Server, error) {
	if err := secret.Check(); err != nil {
		return nil, err
	}
	s := &Server{secret: secret, tls: tlsConfig, handlers: map[string]Handler{}}
	s.http = &fasthttp.Server{
		Handler:               boundary.Handler(s.serve),
		Name:                  "rattanchuted",
		MaxRequestBodySize:    MaxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s, nil
}

// Handle registers the handler of a path.
func (s *Server) Handle(path string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[path] = h
}

// Serve accepts connections on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
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
	body := c.PostBody()
	request, ok := s.secret.verifyRequest(time.Now(), string(c.Request.Header.Peek(headerAuth)), path, body)
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
		log.Error().Err(err).Str("path", path).Msg("peer request failed")
		return fasthttp.StatusInternalServerError, []byte(err.Error())
	}
	return fasthttp.StatusOK, response
}
