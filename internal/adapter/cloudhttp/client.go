// Package cloudhttp implements cloud.Client over the cloud's HTTP API, which exchanges
// JSON.
package cloudhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/cloud"
)

// Options configure a Client.
type Options struct {
	// Address is "ip:port".
	Address string
	// Token is sent as bearer token unless it is empty.
	Token       string
	Connections httpclient.Options
}

// Client implements cloud.Client. It is safe for concurrent use.
type Client struct {
	options    Options
	httpClient *httpclient.Client
}

var _ cloud.Client = (*Client)(nil)

// New returns a Client. It opens no connection before the first call.
func New(o Options) *Client {
	return &Client{options: o, httpClient: httpclient.New(o.Connections)}
}

type noticesResponse struct {
	Notices []cloud.Notice `json:"notices"`
}

type hostsResponse struct {
	Hosts []cloud.Host `json:"hosts"`
}

// Notices implements cloud.Client.
func (c *Client) Notices(ctx context.Context, after uint64) ([]cloud.Notice, error) {
	var response noticesResponse
	path := "/cloud/notices?after=" + strconv.FormatUint(after, 10)
	err := c.do(ctx, fasthttp.MethodGet, path, &response)
	return response.Notices, err
}

// Hosts implements cloud.Client.
func (c *Client) Hosts(ctx context.Context) ([]cloud.Host, error) {
	var response hostsResponse
	err := c.do(ctx, fasthttp.MethodGet, "/cloud/hosts", &response)
	return response.Hosts, err
}

// Start implements cloud.Client.
func (c *Client) Start(ctx context.Context, host string) error {
	return c.do(ctx, fasthttp.MethodPost, hostPath(host, "start"), nil)
}

// Stop implements cloud.Client.
func (c *Client) Stop(ctx context.Context, host string) error {
	return c.do(ctx, fasthttp.MethodPost, hostPath(host, "stop"), nil)
}

func hostPath(host, action string) string {
	return "/cloud/hosts/" + url.PathEscape(host) + "/" + action
}

func (c *Client) do(ctx context.Context, method, path string, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.Header.SetHost(c.options.Address)
	req.Header.SetRequestURI(path)
	if c.options.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Token)
	}
	if err := c.httpClient.Do(ctx, c.options.Address, req, resp); err != nil {
		return fmt.Errorf("%w: %w", cloud.ErrUnavailable, err)
	}
	if err := statusError(resp.StatusCode()); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("%w: answer: %w", cloud.ErrUnavailable, err)
	}
	return nil
}

// statusError maps an HTTP status to the errors of package cloud, nil for success. A conflict
// counts as success: the cloud responds with it to a start of a host that runs already. A 503
// is mapped to cloud.ErrStartRefused for every call, not only for Start.
func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent, fasthttp.StatusConflict:
		return nil
	case fasthttp.StatusServiceUnavailable:
		return cloud.ErrStartRefused
	case fasthttp.StatusNotFound:
		return cloud.ErrUnknownHost
	}
	return fmt.Errorf("%w: status %d", cloud.ErrUnavailable, status)
}
