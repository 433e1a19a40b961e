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
	// readTimeout bounds the reading of one request with its body.
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	// maxConnections bounds the open connections of operators.
	maxConnections = 256
)

// NewServer returns a server for the handler that bounds what a client can make it
// hold; headers are bounded as for callers.
func NewServer(h fasthttp.RequestHandler, limits settings.Limits) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		ErrorHandler:          refuse,
		ReadBufferSize:        int(limits.MaxHeaderBytes),
		MaxRequestBodySize:    fleet.MaxTextBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
	}
}

// refuse answers a request that could not be read.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	p := api.Problem{Code: api.CodeBadRequest, Message: "the request cannot be read"}
	switch {
	case errors.As(err, &smallBuffer):
		p.Message = "the headers are too large"
		problem(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, p)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		p.Message = "the body is too large"
		problem(ctx, fasthttp.StatusRequestEntityTooLarge, p)
	default:
		problem(ctx, fasthttp.StatusBadRequest, p)
	}
}
