// Package enginehttp implements engine.Client over HTTP. An error wraps
// engine.ErrNotSent only if no byte of the request was sent or the endpoint stated that it
// did not run the request. An engine's responses with status 404 and 409 become
// engine.ErrNoStream and engine.ErrFenced. After any other error the request may have run.
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

// Header fields of requests to a service and of its responses.
const (
	HeaderAttemptID = "X-Attempt-Id"
	HeaderNotRun    = "X-Not-Run"
)

// DefaultCancelTimeout bounds the cancel request that Close of a stream sends to the
// engine.
const DefaultCancelTimeout = time.Second

// maxAnswerBytes bounds an engine's answer to a poll or an order.
const maxAnswerBytes = 1 << 20

// errorCodeRefused is an engine's error code for a request that it did not run.
const errorCodeRefused = "refused"

// StatusError is an HTTP status other than 2xx that does not tell whether the request ran.
type StatusError struct {
	Status int
	// Code is the endpoint's own error code; empty if it gave none.
	Code string
}

// Error returns the status and the code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("enginehttp: status %d %s", e.Status, e.Code)
}

// Options are the limits of a Client. Zero fields take the defaults.
type Options struct {
	Connections   httpclient.Options
	CancelTimeout time.Duration
	// Signals is told what responses say about further requests; nil if nobody wants to know.
	Signals Signals
	// Room bounds the memory of what engines send besides the bodies of calls: answers to polls and orders, and lines of
	// streams; nil for no bound.
	Room httpclient.Room
}

// Client sends requests to engines and services. It is safe for concurrent use.
type Client struct {
	httpClient     *httpclient.Client
	cancelTimeout  time.Duration
	signals        Signals
	room           httpclient.Room
	foreignChunks  atomic.Uint64
	repeatedChunks atomic.Uint64
}

var _ engine.Client = (*Client)(nil)

// New returns a Client without connections.
func New(o Options) *Client {
	if o.CancelTimeout <= 0 {
		o.CancelTimeout = DefaultCancelTimeout
	}
	if o.Signals == nil {
		o.Signals = noSignals{}
	}
	return &Client{
		httpClient:    httpclient.New(o.Connections),
		cancelTimeout: o.CancelTimeout,
		signals:       o.Signals,
		room:          o.Room,
	}
}

// ForeignChunks returns the number of dropped chunks that belonged to another stream.
func (c *Client) ForeignChunks() uint64 { return c.foreignChunks.Load() }

// RepeatedChunks returns the number of dropped chunks that had been delivered already.
func (c *Client) RepeatedChunks() uint64 { return c.repeatedChunks.Load() }

// Accepts reports whether an endpoint accepts a connection before the context ends.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	return c.httpClient.Accepts(ctx, address)
}

// Listens reports whether a process listens at an address, as httpclient.Client does.
func (c *Client) Listens(ctx context.Context, address string, settle time.Duration) (bool, error) {
	return c.httpClient.Listens(ctx, address, settle)
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.httpClient.CloseIdle() }

// Load returns the load that an engine reports.
func (c *Client) Load(ctx context.Context, address string) (engine.Load, error) {
	var l engine.Load
	err := c.callJSON(ctx, address, fasthttp.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// cacheEventsResponse is the response body of CacheEvents.
type cacheEventsResponse struct {
	Events []engine.CacheEvent `json:"events"`
}

// CacheEvents returns an engine's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	var response cacheEventsResponse
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.callJSON(ctx, address, fasthttp.MethodGet, path, nil, &response)
	return response.Events, err
}

// exportRequest names the stream whose KV cache is to be exported.
type exportRequest struct {
	Stream engine.StreamID `json:"stream"`
}

// ExportKV asks an engine to keep a stream's KV cache for transfer to another engine.
func (c *Client) ExportKV(ctx context.Context, address string, s engine.StreamID) (engine.KVBlob, error) {
	var b engine.KVBlob
	err := c.callJSON(ctx, address, fasthttp.MethodPost, "/v1/kv/export", exportRequest{Stream: s}, &b)
	return b, err
}

// ImportKV asks an engine to fetch an exported KV cache.
func (c *Client) ImportKV(ctx context.Context, address string, b engine.KVBlob) error {
	return c.callJSON(ctx, address, fasthttp.MethodPost, "/v1/kv/import", b, nil)
}

// Order sends a control order to an engine.
func (c *Client) Order(ctx context.Context, address string, o engine.Order) error {
	return c.callJSON(ctx, address, fasthttp.MethodPost, "/v1/orders", o, nil)
}

// callJSON sends a JSON request and decodes the response into out unless out is nil.
func (c *Client) callJSON(ctx context.Context, address, method, path string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := setRequest(req, address, method, path, in); err != nil {
		return err
	}
	options := httpclient.DoOptions{MaxBytes: maxAnswerBytes, Room: c.room}
	if err := c.httpClient.DoWith(ctx, address, req, resp, options); err != nil {
		return sendError(err)
	}
	defer options.Return(resp)
	c.observe(address, &resp.Header)
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

// sendError adds engine.ErrNotSent to an error that wraps httpclient.ErrNotSent, and engine.ErrTerminated to
// one that means that the peer closed the connection.
func sendError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return fmt.Errorf("%w: %w", engine.ErrNotSent, err)
	}
	if httpclient.IsTerminated(err) {
		return fmt.Errorf("%w: %w", engine.ErrTerminated, err)
	}
	return fmt.Errorf("enginehttp: %w", err)
}

// errorBody is the JSON body of an engine's error response.
type errorBody struct {
	Error string `json:"error"`
}

// statusError maps an engine's error response to the errors of package engine or a
// StatusError. It returns nil for a status of 2xx.
func statusError(status int, body []byte) error {
	if status >= 200 && status < 300 {
		return nil
	}
	var e errorBody
	_ = json.Unmarshal(body, &e)
	switch {
	case status == fasthttp.StatusServiceUnavailable && e.Error == errorCodeRefused:
		return fmt.Errorf("%w: refused by the engine", engine.ErrNotSent)
	case status == fasthttp.StatusNotFound:
		return fmt.Errorf("%w: %s", engine.ErrNoStream, e.Error)
	case status == fasthttp.StatusConflict:
		return fmt.Errorf("%w: %s", engine.ErrFenced, e.Error)
	}
	return &StatusError{Status: status, Code: e.Error}
}
