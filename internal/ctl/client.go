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

// UnreachableError means that a daemon gave no answer.
type UnreachableError struct {
	Server string
	Err    error
}

// Error names the daemon's address.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s does not answer: %v", e.Server, e.Err)
}

// Unwrap returns the transport's error.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// ProblemError is a daemon's answer that is not a success.
type ProblemError struct {
	Server  string
	Status  int
	Problem api.Problem
}

// Error gives the daemon's message.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Server, e.Problem.Message, e.Problem.Code)
}

// Client talks to the operators' listeners.
type Client struct {
	http *fasthttp.Client
	// servers are tried in order until one answers.
	servers []string
	scheme  string
	key     settings.Secret
}

// NewClient returns a client of the given addresses, each "ip:port" or a URL. The dial
// function may be nil.
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

// call is one request.
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

// ask sends a call to the first server that answers.
func (c *Client) ask(request call, into any) error {
	var unreachable *UnreachableError
	err := error(&usageError{"no server given; accepted is --server or RATTANCHUTE_SERVER"})
	for _, server := range c.servers {
		err = c.askServer(server, request, into)
		if !errors.As(err, &unreachable) {
			return err
		}
	}
	return err
}

func (c *Client) askServer(server string, request call, into any) error {
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
	return decodeAnswer(server, resp, into)
}

func decodeAnswer(server string, resp *fasthttp.Response, into any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), into); err != nil {
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

// Configuration returns the configuration in force.
func (c *Client) Configuration() (api.Configuration, error) {
	var answer api.Configuration
	err := c.ask(call{method: fasthttp.MethodGet, path: api.PathConfiguration}, &answer)
	return answer, err
}

// Apply sends a change. It may be sent again with the same id.
func (c *Client) Apply(ch configstore.Change) (api.Applied, error) {
	var answer api.Applied
	err := c.ask(call{
		method: fasthttp.MethodPut,
		path:   api.PathConfiguration,
		body:   []byte(ch.Text),
		headers: []header{
			{api.HeaderIfMatch, quoteGeneration(ch.Base)},
			{api.HeaderChangeID, ch.ID},
			{api.HeaderFile, ch.File},
		},
	}, &answer)
	return answer, err
}

func quoteGeneration(g fleet.Generation) string {
	return strconv.Quote(strconv.FormatUint(uint64(g), 10))
}

// Members lists the daemons with their status.
func (c *Client) Members() (api.Members, error) {
	var answer api.Members
	err := c.ask(call{method: fasthttp.MethodGet, path: api.PathMembers}, &answer)
	return answer, err
}

// Drain asks that a daemon drains itself.
func (c *Client) Drain(node string) (api.Status, error) {
	var answer api.Status
	body, err := json.Marshal(api.DrainRequest{Node: node})
	if err != nil {
		return answer, fmt.Errorf("encode the request: %w", err)
	}
	err = c.ask(call{method: fasthttp.MethodPost, path: api.PathDrain, body: body}, &answer)
	return answer, err
}

// Explain asks where a request would go.
func (c *Client) Explain(request api.ExplainRequest) (api.Explanation, error) {
	var answer api.Explanation
	body, err := json.Marshal(request)
	if err != nil {
		return answer, fmt.Errorf("encode the request: %w", err)
	}
	err = c.ask(call{method: fasthttp.MethodPost, path: api.PathExplain, body: body}, &answer)
	return answer, err
}

// Audit returns up to limit accepted changes, newest first.
func (c *Client) Audit(limit int) (api.Audit, error) {
	var answer api.Audit
	path := fmt.Sprintf("%s?%s=%d", api.PathAudit, api.QueryLimit, limit)
	err := c.ask(call{method: fasthttp.MethodGet, path: path}, &answer)
	return answer, err
}
