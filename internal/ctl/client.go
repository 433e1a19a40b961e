package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
	"rattanchute/internal/settings"
)

const (
	requestTimeout   = 20 * time.Second
	maxResponseBytes = 16 << 20
	defaultScheme    = "http"
)

// UnreachableError means that a daemon gave no valid response. It may have received the
// request.
type UnreachableError struct {
	Server string
	Err    error
}

// Error returns the daemon's address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s does not answer: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// ProblemError is an error response of a daemon.
type ProblemError struct {
	Server  string
	Status  int
	Problem api.Problem
}

// Error returns the daemon's address, message and error code.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Server, e.Problem.Message, e.Problem.Code)
}

// Client sends requests to the operators' listeners of daemons.
type Client struct {
	http *fasthttp.Client
	// servers are tried in order until one gives a valid response.
	servers []string
	scheme  string
	key     settings.Secret
}

// NewClient returns a client for the given servers, each "ip:port" or a URL. The scheme of the
// last URL applies to all servers. A nil dial means the default of fasthttp.
func NewClient(servers []string, key settings.Secret, dial fasthttp.DialFunc) *Client {
	c := &Client{
		http: &fasthttp.Client{
			Dial:                      dial,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
		},
		scheme: defaultScheme,
		key:    key,
	}
	for _, server := range servers {
		if scheme, address, found := strings.Cut(server, "://"); found {
			c.scheme = scheme
			server = address
		}
		c.servers = append(c.servers, strings.TrimSuffix(server, "/"))
	}
	return c
}

// call describes a request.
type call struct {
	method  string
	path    string
	body    []byte
	headers []header
}

type header struct {
	name  string
	value string
}

// do sends a request to the servers in order until one gives a valid response, and decodes a
// response with status 200 into out. Another valid response becomes a *ProblemError. If no server
// gives a valid response, do returns the *UnreachableError of the last, or a *usageError if there
// are no servers.
func (c *Client) do(request call, out any) error {
	var unreachable *UnreachableError
	err := error(&usageError{"no server given; accepted is --server or RATTANCHUTE_SERVER"})
	for _, server := range c.servers {
		err = c.doServer(server, request, out)
		if !errors.As(err, &unreachable) {
			return err
		}
	}
	return err
}

func (c *Client) doServer(server string, request call, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.scheme + "://" + server + request.path)
	req.Header.SetMethod(request.method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key.Reveal())
	for _, h := range request.headers {
		req.Header.Set(h.name, h.value)
	}
	req.SetBody(request.body)
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return &UnreachableError{Server: server, Err: err}
	}
	return decodeResponse(server, resp, out)
}

func decodeResponse(server string, resp *fasthttp.Response, out any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			return &UnreachableError{Server: server, Err: fmt.Errorf("decode the answer: %w", err)}
		}
		return nil
	}
	problem := &ProblemError{Server: server, Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &problem.Problem); err != nil || problem.Problem.Code == "" {
		return &UnreachableError{Server: server, Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	return problem
}

// Configuration returns the stored configuration, or the one in force on the daemon that responds if
// the daemon cannot read the store.
func (c *Client) Configuration() (api.Configuration, error) {
	var response api.Configuration
	err := c.do(call{method: fasthttp.MethodGet, path: api.PathConfiguration}, &response)
	return response, err
}

// Apply sends a change. It is idempotent: the same change may be sent again with the same
// id.
func (c *Client) Apply(ch configstore.Change) (api.Applied, error) {
	var response api.Applied
	err := c.do(call{
		method: fasthttp.MethodPut,
		path:   api.PathConfiguration,
		body:   []byte(ch.Text),
		headers: []header{
			{api.HeaderIfMatch, quoteGeneration(ch.Base)},
			{api.HeaderChangeID, ch.ID},
			{api.HeaderFile, ch.File},
		},
	}, &response)
	return response, err
}

func quoteGeneration(g fleet.Generation) string {
	return strconv.Quote(strconv.FormatUint(uint64(g), 10))
}

// Members returns the live and suspect daemons with their status.
func (c *Client) Members() (api.Members, error) {
	var response api.Members
	err := c.do(call{method: fasthttp.MethodGet, path: api.PathMembers}, &response)
	return response, err
}

// Drain makes a daemon fail its readiness check and returns its status without waiting for its
// open requests.
func (c *Client) Drain(node string) (api.Status, error) {
	var response api.Status
	body, err := json.Marshal(api.DrainRequest{Node: node})
	if err != nil {
		return response, fmt.Errorf("encode the request: %w", err)
	}
	err = c.do(call{method: fasthttp.MethodPost, path: api.PathDrain, body: body}, &response)
	return response, err
}

// Quarantines returns the quarantines that a daemon knows.
func (c *Client) Quarantines() (api.Quarantines, error) {
	var response api.Quarantines
	err := c.do(call{method: fasthttp.MethodGet, path: api.PathQuarantines}, &response)
	return response, err
}

// Release ends a quarantine on all daemons and returns those that are left.
func (c *Client) Release(request api.ReleaseRequest) (api.Quarantines, error) {
	var response api.Quarantines
	body, err := json.Marshal(request)
	if err != nil {
		return response, fmt.Errorf("encode the request: %w", err)
	}
	err = c.do(call{method: fasthttp.MethodPost, path: api.PathRelease, body: body}, &response)
	return response, err
}

// Explain returns where a request would be routed and why.
func (c *Client) Explain(request api.ExplainRequest) (api.Explanation, error) {
	var response api.Explanation
	body, err := json.Marshal(request)
	if err != nil {
		return response, fmt.Errorf("encode the request: %w", err)
	}
	err = c.do(call{method: fasthttp.MethodPost, path: api.PathExplain, body: body}, &response)
	return response, err
}

// Audit returns up to limit accepted changes, newest first.
func (c *Client) Audit(limit int) (api.Audit, error) {
	var response api.Audit
	path := fmt.Sprintf("%s?%s=%d", api.PathAudit, api.QueryLimit, limit)
	err := c.do(call{method: fasthttp.MethodGet, path: path}, &response)
	return response, err
}
