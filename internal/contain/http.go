package contain

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrPanicked is the error of a read that panicked.
var ErrPanicked = errors.New("contain: panic while a body was produced")

// Handler returns a handler that answers 500 and closes the connection if h panics. That of a nil Boundary is h.
func (b *Boundary) Handler(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	if b == nil {
		return h
	}
	return func(ctx *fasthttp.RequestCtx) {
		if b.Run(WorkConnection, func() { h(ctx) }) {
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			ctx.SetConnectionClose()
		}
	}
}

// Body returns a body of which a read that panics fails with ErrPanicked, so that the response is cut off
// rather than ended.
func (b *Boundary) Body(body io.ReadCloser) io.ReadCloser { return &containedBody{body, b} }

type containedBody struct {
	io.ReadCloser
	boundary *Boundary
}

func (c *containedBody) Read(p []byte) (n int, err error) {
	if c.boundary.Run(WorkConnection, func() { n, err = c.ReadCloser.Read(p) }) {
		return 0, ErrPanicked
	}
	return n, err
}
