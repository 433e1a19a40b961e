// Package objecthttp holds what the HTTP clients of object stores have in common. It sends
// a call with a timeout, distinguishes calls that were refused from those whose effect is
// unknown, and decodes the JSON response. The client of a specific store provides the path and
// the contents of each request and the type of the response.
package objecthttp

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/objectstore"
)

// StatusError maps the HTTP statuses that object services have in common to the errors of
// package objectstore, nil for success. After any other status it is unknown whether the
// call took effect.
func StatusError(status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusNotFound:
		return objectstore.ErrNotFound
	case fasthttp.StatusConflict:
		return objectstore.ErrConflict
	case fasthttp.StatusGone:
		return objectstore.ErrCompacted
	case fasthttp.StatusRequestEntityTooLarge:
		return objectstore.ErrTooLarge
	}
	return fmt.Errorf("%w: status %d", objectstore.ErrUnavailable, status)
}

// Requester sends calls to one object service.
type Requester struct {
	HTTP *httpclient.Client
	// Address is "ip:port".
	Address string
	// StatusError maps an HTTP status to the errors of package objectstore, nil for success.
	StatusError func(status int) error
}

// Call is one request to an object service.
type Call struct {
	// Timeout is the longest time that the call may take.
	Timeout time.Duration
	// SetRequest fills in the request.
	SetRequest func(*fasthttp.Request) error
	// CheckHeader is called with the header of each response, whatever its status. If it returns an
	// error, the response is discarded and the error returned. It may be nil.
	CheckHeader func(*fasthttp.ResponseHeader) error
	// Decode decodes the response to a successful call; nil if it is not needed.
	Decode func(body []byte) error
}

// Do sends a call.
func (c *Requester) Do(ctx context.Context, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(c.Address)
	if err := call.SetRequest(req); err != nil {
		return err
	}
	if err := c.HTTP.Do(ctx, c.Address, req, resp); err != nil {
		return sendError(err)
	}
	if call.CheckHeader != nil {
		if err := call.CheckHeader(&resp.Header); err != nil {
			return err
		}
	}
	if err := c.StatusError(resp.StatusCode()); err != nil {
		return err
	}
	if call.Decode == nil {
		return nil
	}
	if err := call.Decode(resp.Body()); err != nil {
		return fmt.Errorf("%w: answer: %w", objectstore.ErrUnavailable, err)
	}
	return nil
}

// sendError maps calls that were never sent to ErrThrottled, because they had no effect and
// may be sent again, and others to ErrUnavailable, because their effect is unknown.
func sendError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return fmt.Errorf("%w: %w", objectstore.ErrThrottled, err)
	}
	return fmt.Errorf("%w: %w", objectstore.ErrUnavailable, err)
}
