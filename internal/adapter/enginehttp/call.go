package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/engine"
)

// errBadURI means that a request target does not start with a slash, or holds spaces or
// control characters and so cannot be part of an HTTP request line.
var errBadURI = errors.New("enginehttp: request target is not a path")

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Call sends a request to a service and returns its response, whatever the status. The one
// exception is a 503 which states that the request has not run; it becomes an error that
// wraps engine.ErrNotSent.
func (c *Client) Call(ctx context.Context, address string, call engine.Call) (engine.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if !validURI(call.URI) {
		return engine.Response{}, fmt.Errorf("%w: %w", engine.ErrNotSent, errBadURI)
	}
	setCall(req, address, call)
	resp.Header.SetNoDefaultContentType(true)
	p := permission{client: c, address: address}
	defer p.release()
	if err := c.httpClient.DoWith(ctx, address, req, resp, httpclient.DoOptions{BeforeSend: p.acquire, Room: call.Room}); err != nil {
		return engine.Response{}, sendError(err)
	}
	signal := p.answered(&resp.Header)
	if isRefusal(resp) {
		return engine.Response{}, withClosed(fmt.Errorf("%w: refused by the service", engine.ErrNotSent), signal)
	}
	return newResponse(resp), nil
}

func validURI(uri string) bool {
	if !strings.HasPrefix(uri, "/") {
		return false
	}
	return strings.IndexFunc(uri, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

func setCall(req *fasthttp.Request, address string, call engine.Call) {
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	for _, h := range call.Headers {
		if !isHopByHop(h.Name) && !strings.EqualFold(h.Name, HeaderAttemptID) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.SetMethod(call.Method)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(call.URI)
	if call.AttemptID != "" {
		req.Header.Set(HeaderAttemptID, call.AttemptID)
	}
	req.SetBodyRaw(call.Body)
}

func isRefusal(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		strings.EqualFold(string(resp.Header.Peek(HeaderNotRun)), "true")
}

func newResponse(resp *fasthttp.Response) engine.Response {
	response := engine.Response{Status: resp.StatusCode(), EndedWithConnection: endedWithConnection(resp)}
	for name, value := range resp.Header.All() {
		if !isHopByHop(string(name)) {
			response.Headers = append(response.Headers, engine.Header{Name: string(name), Value: string(value)})
		}
	}
	// The client has read it into memory of its own, which stays when the response is released.
	response.Body = resp.Body()
	return response
}

// endedWithConnection reports whether nothing but the end of its connection marked the end of a response's body.
func endedWithConnection(resp *fasthttp.Response) bool {
	if resp.SkipBody || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return false
	}
	return httpclient.FramingOf(&resp.Header) == httpclient.FramingClose
}

func isHopByHop(name string) bool {
	for _, h := range hopByHopHeaders {
		if strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}
