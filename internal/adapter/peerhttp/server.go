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
)

// MaxBodyBytes is the size of the largest request or answer.
const MaxBodyBytes = 4 << 20

const (
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
)

// Handler answers the body of a peer's request.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// StatusError makes a handler's answer carry a status other than 500.
type StatusError struct {
	Status  int
	Message string
}

// Error describes the failure.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peerhttp: status %d: %s", e.Status, e.Message)
}

// Server answers peers' requests. Handlers may be added while it runs.
type Server struct {
	secret Secret
	tls    *tls.Config
	http   *fasthttp.Server

	mu       sync.RWMutex
	handlers map[string]Handler
}

// NewServer returns a server without handlers; tlsConfig may be nil.
func NewServer(secret Secret, tlsConfig *tls.Config) (*Server, error) {
	if err := secret.Check(); err != nil {
		return nil, err
	}
	s := &Server{secret: secret, tls: tlsConfig, handlers: map[string]Handler{}}
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		Name:                  "rattanchuted",
		MaxRequestBodySize:    MaxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s, nil
}

// Handle adds the handler of a path.
func (s *Server) Handle(path string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[path] = h
}

// Serve answers requests until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	return nil
}

// Shutdown ends the server after the requests in flight.
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
	status, answer := s.answer(c, path, body)
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(answer)
	c.Response.Header.Set(headerAuth, s.secret.signAnswer(request, status, answer))
}

func (s *Server) answer(ctx context.Context, path string, body []byte) (int, []byte) {
	s.mu.RLock()
	h, ok := s.handlers[path]
	s.mu.RUnlock()
	if !ok {
		return fasthttp.StatusNotFound, []byte("no handler")
	}
	answer, err := h(ctx, body)
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status, []byte(status.Message)
	}
	if err != nil {
		log.Error().Err(err).Str("path", path).Msg("peer request failed")
		return fasthttp.StatusInternalServerError, []byte(err.Error())
	}
	return fasthttp.StatusOK, answer
}
