// Package enginehttp is the engine.Client over HTTP. A failure wraps
// engine.ErrNotSent only if no byte of the request was sent or the endpoint itself
// says that it refused; every other failure leaves it open whether the request ran.
package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/engine"
)

// Header fields between this client and a service.
const (
	HeaderAttemptID = "X-Attempt-Id"
	HeaderNotRun    = "X-Not-Run"
)

// DefaultCancelTimeout is how long Close of a stream waits for the engine to take
// the cancel.
const DefaultCancelTimeout = time.Second

// codeRefused is an engine's error code for a request that it did not run.
const codeRefused = "refused"

// StatusError is an error status that proves nothing about the request's run.
type StatusError struct {
	Status int
	// Code is the endpoint's own error code, if it gave one.
	Code string
}

// Error names the status and the code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("enginehttp: status %d %s", e.Status, e.Code)
}

// Options are the limits of a Client; zero fields take the defaults.
type Options struct {
	Connections   httpclient.Options
	CancelTimeout time.Duration
}

// Client talks to engines and services.
type Client struct {
	exchange      *httpclient.Client
	cancelTimeout time.Duration
	foreign       atomic.Uint64
	repeated      atomic.Uint64
}

var _ engine.Client = (*Client)(nil)

// New returns a Client without connections.
func New(o Options) *Client {
	if o.CancelTimeout <= 0 {
		o.CancelTimeout = DefaultCancelTimeout
	}
	return &Client{
		exchange:      httpclient.New(o.Connections),
		cancelTimeout: o.CancelTimeout,
	}
}

// ForeignChunks counts the dropped chunks that belonged to another stream.
func (c *Client) ForeignChunks() uint64 { return c.foreign.Load() }

// RepeatedChunks counts the dropped chunks that had been delivered already.
func (c *Client) RepeatedChunks() uint64 { return c.repeated.Load() }

// CloseIdle closes the connections that carry no request now.
func (c *Client) CloseIdle() { c.exchange.CloseIdle() }

// Load asks an engine for its load.
func (c *Client) Load(ctx context.Context, address string) (engine.Load, error) {
	var l engine.Load
	err := c.callJSON(ctx, address, fasthttp.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// cacheEventsAnswer is the body of a cache events answer.
type cacheEventsAnswer struct {
	Events []engine.CacheEvent `json:"events"`
}

// CacheEvents asks for the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	var a cacheEventsAnswer
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.callJSON(ctx, address, fasthttp.MethodGet, path, nil, &a)
	return a.Events, err
}

// exportRequest names the stream whose KV cache is wanted.
type exportRequest struct {
	Stream engine.StreamID `json:"stream"`
}

// ExportKV asks an engine to hold a stream's KV cache ready for another engine.
func (c *Client) ExportKV(ctx context.Context, address string, s engine.StreamID) (engine.KVBlob, error) {
	var b engine.KVBlob
	err := c.callJSON(ctx, address, fasthttp.MethodPost, "/v1/kv/export", exportRequest{Stream: s}, &b)
	return b, err
}

// ImportKV makes an engine fetch an exported KV cache.
func (c *Client) ImportKV(ctx context.Context, address string, b engine.KVBlob) error {
	return c.callJSON(ctx, address, fasthttp.MethodPost, "/v1/kv/import", b, nil)
}

// Order gives an engine a control order.
func (c *Client) Order(ctx context.Context, address string, o engine.Order) error {
	return c.callJSON(ctx, address, fasthttp.MethodPost, "/v1/orders", o, nil)
}

// callJSON sends one JSON request and decodes the answer into out.
func (c *Client) callJSON(ctx context.Context, address, method, path string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := setRequest(req, address, method, path, in); err != nil {
		return err
	}
	if err := c.exchange.Do(ctx, address, req, resp); err != nil {
		return sendError(err)
	}
	if err := statusError(resp.StatusCode(), resp.Body()); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("enginehttp: answer to %s: %w", path, err)
	}
	return nil
}

func setRequest(req *fasthttp.Request, address, method, path string, body any) error {
	req.Header.SetMethod(method)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(path)
	if body == nil {
		return nil
	}
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrNotSent, err)
	}
	req.Header.SetContentType("application/json")
	req.SetBody(b)
	return nil
}

// sendError turns the exchange's proof that nothing was sent into the port's.
func sendError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return fmt.Errorf("%w: %w", engine.ErrNotSent, err)
	}
	return fmt.Errorf("enginehttp: %w", err)
}

// errorBody is the JSON body of an engine's error answer.
type errorBody struct {
	Error string `json:"error"`
}

// statusError maps an error answer to the port's errors.
func statusError(status int, body []byte) error {
	if status >= 200 && status < 300 {
		return nil
	}
	var e errorBody
	_ = json.Unmarshal(body, &e)
	switch {
	case status == fasthttp.StatusServiceUnavailable && e.Error == codeRefused:
		return fmt.Errorf("%w: refused by the engine", engine.ErrNotSent)
	case status == fasthttp.StatusNotFound:
		return fmt.Errorf("%w: %s", engine.ErrNoStream, e.Error)
	case status == fasthttp.StatusConflict:
		return fmt.Errorf("%w: %s", engine.ErrFenced, e.Error)
	}
	return &StatusError{Status: status, Code: e.Error}
}
