// Package objecthttp makes one call to an object service over HTTP, whatever its paths and
// formats: it bounds the call, tells refused calls from those whose effect is open, and decodes
// the answer.
package objecthttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/objectstore"
)

// StatusError maps the statuses that object services have in common to the errors of
// objectstore; nil for success. Others leave it open whether the call took effect.
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

// Requester makes calls to one service.
type Requester struct {
	HTTP *httpclient.Client
	// Address is "ip:port".
	Address string
	// StatusError maps a status to the errors of objectstore; nil for success.
	StatusError func(status int) error
}

// Do makes a call that takes no longer than timeout. The request is set by set; a successful
// answer is decoded into out unless that is nil.
func (c *Requester) Do(ctx context.Context, timeout time.Duration, set func(*fasthttp.Request) error, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(c.Address)
	if err := set(req); err != nil {
		return err
	}
	if err := c.HTTP.Do(ctx, c.Address, req, resp); err != nil {
		return sendError(err)
	}
	if err := c.StatusError(resp.StatusCode()); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("%w: answer: %w", objectstore.ErrUnavailable, err)
	}
	return nil
}

// sendError tells calls that were never sent from those whose effect is open.
func sendError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return fmt.Errorf("%w: %w", objectstore.ErrThrottled, err)
	}
	return fmt.Errorf("%w: %w", objectstore.ErrUnavailable, err)
}
