package enginehttp

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/engine"
)

// Header fields with which an endpoint says in any response what further requests it accepts. A
// Retry-After header counts only in a response with status 503.
const (
	// HeaderLeaving is "true" once the endpoint accepts no more requests.
	HeaderLeaving = "X-Endpoint-Leaving"
	// HeaderInstance identifies the run of the endpoint. An endpoint that leaves and is started again
	// has another one.
	HeaderInstance = "X-Endpoint-Instance"
)

// Signals is asked before each request that starts new work, and told what each response says about
// further requests.
type Signals interface {
	// Acquire returns a permit, or why the endpoint at the address accepts no request now.
	Acquire(now time.Time, address string) (*backpressure.Permit, error)
	// Observe records what a response says. The instance is empty if the endpoint did not name it.
	Observe(now time.Time, address, instance string, s backpressure.Signal)
}

// noSignals permits every request.
type noSignals struct{}

func (noSignals) Acquire(time.Time, string) (*backpressure.Permit, error) {
	return &backpressure.Permit{}, nil
}

func (noSignals) Observe(time.Time, string, string, backpressure.Signal) {}

// permission is the permit of one request.
type permission struct {
	client  *Client
	address string
	permit  *backpressure.Permit
}

// acquire is called immediately before a request is sent.
func (p *permission) acquire() error {
	permit, err := p.client.signals.Acquire(time.Now(), p.address)
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrClosed, err)
	}
	p.permit = permit
	return nil
}

// answered records what the response to the request says, and returns it.
func (p *permission) answered(h *fasthttp.ResponseHeader) backpressure.Signal {
	signal := p.client.observe(p.address, h)
	if p.permit != nil && signal.RetryAfter == 0 {
		p.permit.Answered()
	}
	return signal
}

// withClosed adds engine.ErrClosed to the error of a refusal if its endpoint has said that it leaves or is closed
// for some time.
func withClosed(err error, s backpressure.Signal) error {
	if errors.Is(err, engine.ErrNotSent) && (s.Leaving || s.RetryAfter > 0) {
		return fmt.Errorf("%w: %w", engine.ErrClosed, err)
	}
	return err
}

// release ends the request.
func (p *permission) release() {
	if p.permit != nil {
		p.permit.Release()
	}
}

// observe reports what a response says about further requests.
func (c *Client) observe(address string, h *fasthttp.ResponseHeader) backpressure.Signal {
	signal, err := decodeSignal(h)
	if err != nil {
		c.ignoredSignals.Add(1)
	}
	c.signals.Observe(time.Now(), address, string(h.Peek(HeaderInstance)), signal)
	return signal
}

// decodeSignal returns what a response says, and an error if a part of it is malformed and says nothing.
func decodeSignal(h *fasthttp.ResponseHeader) (s backpressure.Signal, err error) {
	for _, value := range h.PeekAll(HeaderLeaving) {
		switch text := strings.TrimSpace(string(value)); {
		case strings.EqualFold(text, "true"):
			s.Leaving = true
		case !strings.EqualFold(text, "false"):
			err = fmt.Errorf("malformed %s: %q", HeaderLeaving, text)
		}
	}
	if h.StatusCode() != fasthttp.StatusServiceUnavailable {
		return s, err
	}
	var values []string
	for _, value := range h.PeekAll(fasthttp.HeaderRetryAfter) {
		values = append(values, string(value))
	}
	retryAfter, retryErr := backpressure.LongestRetryAfter(values, string(h.Peek(fasthttp.HeaderDate)))
	s.RetryAfter = retryAfter
	return s, errors.Join(err, retryErr)
}
