package enginehttp

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
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
	// HeaderRateLimit is how many requests a second the endpoint accepts from all daemons together, a decimal
	// number.
	HeaderRateLimit = "X-Endpoint-Rate-Limit"
)

// Signals is asked before each request that starts new work, and told what each response says about
// further requests.
type Signals interface {
	// Acquire returns a permit, or why the endpoint at the address accepts no request now.
	Acquire(now time.Time, address string) (*backpressure.Permit, error)
	// Observe records what a response says. The instance is empty if the endpoint did not name it. The
	// random number, from 0 to 1, is the jitter of a pause.
	Observe(now time.Time, random float64, address, instance string, s backpressure.Signal)
	// ObserveLimit records what a response to a request that was sent at a time says about the endpoint's rate
	// limit.
	ObserveLimit(now, sentAt time.Time, address, instance string, l backpressure.Limit)
	// Malformed records that a part of what a response says was ignored.
	Malformed(address string, err error)
}

// noSignals permits every request.
type noSignals struct{}

func (noSignals) Acquire(time.Time, string) (*backpressure.Permit, error) {
	return &backpressure.Permit{}, nil
}

func (noSignals) Observe(time.Time, float64, string, string, backpressure.Signal) {}

func (noSignals) ObserveLimit(time.Time, time.Time, string, string, backpressure.Limit) {}

func (noSignals) Malformed(string, error) {}

// permission is the permit of one request.
type permission struct {
	client  *Client
	address string
	permit  *backpressure.Permit
	sentAt  time.Time
}

// acquire is called immediately before a request is sent.
func (p *permission) acquire() error {
	p.sentAt = time.Now()
	permit, err := p.client.signals.Acquire(p.sentAt, p.address)
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrClosed, err)
	}
	p.permit = permit
	return nil
}

// answered records what the response to the request says, and returns it.
func (p *permission) answered(h *fasthttp.ResponseHeader) backpressure.Signal {
	signal := p.client.observe(p.address, h)
	if p.permit != nil {
		p.client.signals.ObserveLimit(time.Now(), p.sentAt, p.address, string(h.Peek(HeaderInstance)), signal.Limit)
	}
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
	signal, err := backpressure.Decode(backpressure.Headers{
		Status:     h.StatusCode(),
		Leaving:    httpclient.HeaderValues(h, HeaderLeaving),
		Yes:        "true",
		No:         "false",
		RetryAfter: httpclient.HeaderValues(h, fasthttp.HeaderRetryAfter),
		Date:       string(h.Peek(fasthttp.HeaderDate)),
		Limit:      httpclient.HeaderValues(h, HeaderRateLimit),
	})
	if err != nil {
		c.signals.Malformed(address, err)
	}
	c.signals.Observe(time.Now(), rand.Float64(), address, string(h.Peek(HeaderInstance)), signal)
	return signal
}
