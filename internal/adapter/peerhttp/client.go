package peerhttp

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultTimeout applies when the context has no deadline.
	defaultTimeout  = 10 * time.Second
	dialTimeout     = time.Second
	maxConnsPerPeer = 64
	idleConnTimeout = 30 * time.Second
)

// Errors of a Client that callers can tell apart, besides StatusError. Only ErrNotSent
// proves that the peer has not received the request. ErrRejected is returned for a response with
// status 401: the secrets differ, or the clocks by more than MaxClockSkew.
var (
	ErrNotSent      = errors.New("peerhttp: peer not reached, request not sent")
	ErrRejected     = errors.New("peerhttp: peer rejected the shared secret")
	ErrBadSignature = errors.New("peerhttp: answer not authenticated")
)

// Client sends requests to peers. It is safe for concurrent use.
type Client struct {
	secret Secret
	scheme string
	http   *fasthttp.Client
}

// NewClient returns a client. A nil tlsConfig means plain HTTP.
func NewClient(secret Secret, tlsConfig *tls.Config) (*Client, error) {
	if err := secret.Check(); err != nil {
		return nil, err
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Client{secret: secret, scheme: scheme, http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true,
		TLSConfig:                tlsConfig,
		Dial:                     dial,
		MaxConnsPerHost:          maxConnsPerPeer,
		MaxIdleConnDuration:      idleConnTimeout,
		MaxResponseBodySize:      MaxBodyBytes,
		// Requests may have side effects, so only the caller can decide to retry one.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}, nil
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Post sends in as JSON to a peer's path and decodes the response into out, see PostBytes.
func (c *Client) Post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", ErrNotSent, err)
	}
	response, err := c.PostBytes(ctx, address, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return fmt.Errorf("post %s%s: decode: %w", address, path, err)
	}
	return nil
}

// PostBytes sends a body to a peer's path and returns the response body. Once the request is
// being sent, the deadline of ctx applies but its cancellation does not.
func (c *Client) PostBytes(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.scheme + "://" + address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	header, signature := c.secret.signRequest(time.Now(), path, body)
	req.Header.Set(headerAuth, header)
	if err := c.http.DoDeadline(req, resp, deadlineOrDefault(ctx)); err != nil {
		return nil, fmt.Errorf("post %s%s: %w", address, path, err)
	}
	return c.checkResponse(resp, signature)
}

// checkResponse checks the signature and the status of a response and returns a copy
// of its body.
func (c *Client) checkResponse(resp *fasthttp.Response, signature string) ([]byte, error) {
	status := resp.StatusCode()
	if status == fasthttp.StatusUnauthorized {
		return nil, ErrRejected
	}
	header := string(resp.Header.Peek(headerAuth))
	if !c.secret.verifyResponse(header, signature, status, resp.Body()) {
		return nil, ErrBadSignature
	}
	if status != fasthttp.StatusOK {
		return nil, &StatusError{Status: status, Message: string(resp.Body())}
	}
	return append([]byte(nil), resp.Body()...), nil
}

func deadlineOrDefault(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(defaultTimeout)
}
