package operators

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
	"rattanchute/internal/settings"
)

const (
	// readTimeout bounds reading one request, headers and body.
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	// maxConnections bounds the open connections.
	maxConnections = 256
)

// NewServer returns a server for the handler that limits the resources a client can
// occupy. The bound on headers is the one for callers.
func NewServer(h fasthttp.RequestHandler, limits settings.Limits) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		ErrorHandler:          handleReadError,
		ReadBufferSize:        int(limits.MaxHeaderBytes),
		MaxRequestBodySize:    fleet.MaxTextBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
	}
}

// handleReadError responds to a request that could not be read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	p := api.Problem{Code: api.CodeBadRequest, Message: "the request cannot be read"}
	switch {
	case errors.As(err, &smallBuffer):
		p.Message = "the headers are too large"
		writeProblem(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, p)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		p.Message = "the body is too large"
		writeProblem(ctx, fasthttp.StatusRequestEntityTooLarge, p)
	default:
		writeProblem(ctx, fasthttp.StatusBadRequest, p)
	}
}
