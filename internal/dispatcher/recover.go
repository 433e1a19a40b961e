package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/route"
)

// ensureAttempt starts an attempt unless one is running. It returns an error if the stream has to
// end.
func (c *ChatStream) ensureAttempt() error {
	for c.current == nil {
		if err := c.ctx.Err(); err != nil {
			return fmt.Errorf("deadline or caller gone: %w", err)
		}
		if c.stopped != nil {
			return c.stopped
		}
		if c.attempts >= c.service.settings.MaxAttempts {
			return errAttemptsExhausted
		}
		if c.beginAttach() {
			continue
		}
		if err := c.beginNext(); err != nil {
			return err
		}
	}
	return nil
}

// beginAttach starts an attempt that attaches to the stream that the resume token names, and
// reports whether it did. It does so at most once, and only if the stream's endpoint is available.
func (c *ChatStream) beginAttach() bool {
	t := c.attach
	c.attach = nil
	if t == nil {
		return false
	}
	endpoint, ok := c.service.router.Table().Endpoint(t.Endpoint)
	if !ok || !c.service.router.Available(c.service.now(), t.Endpoint) {
		return false
	}
	c.next = nil
	c.startAttempt(endpoint, c.machine.BeginAttach(t.Stream, c.req.Body, c.priority))
	return true
}

// beginNext starts an attempt at the next chosen endpoint. If there is none, it waits or returns an
// error, as waitForEndpoint decides.
func (c *ChatStream) beginNext() error {
	if err := c.crash.recheck(c.mayHaveRun); err != nil {
		return err
	}
	choice, err := c.choose()
	if err != nil {
		return c.waitForEndpoint(err)
	}
	c.startAttempt(choice.Endpoint, c.machine.Begin(c.req.Body, c.priority))
	return nil
}

func (c *ChatStream) choose() (route.Choice, error) {
	next := c.next
	c.next = nil
	return c.service.choose(next, c.query)
}

// waitForEndpoint pauses an interrupted stream that no endpoint can take now, and lets the next
// attempt try all endpoints again. It returns an error once the recovery window has passed. A
// request that has delivered nothing does not wait: its caller gets a retry delay immediately. Nor
// does a resumed stream before its first failed attempt, because interrupted is not set.
func (c *ChatStream) waitForEndpoint(cause error) error {
	now := c.service.now()
	if !c.delivered() || now.Sub(c.interrupted) > c.service.settings.RecoveryWindow {
		return fmt.Errorf("no endpoint can go on with the answer: %w", cause)
	}
	c.query.Exclude = nil
	return c.sleep(recoveryDelay)
}

func (c *ChatStream) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// delivered reports whether any part of the answer has been delivered, also before a resumption.
func (c *ChatStream) delivered() bool { return c.machine.Offset() > 0 }

// attemptFailed ends the current attempt and excludes its endpoint from the next, unless the
// endpoint merely no longer had the stream. It stops the stream if the endpoint failed before
// anything was delivered and the retry budget is spent.
func (c *ChatStream) attemptFailed(err error) {
	if !errors.Is(err, engine.ErrNotSent) {
		c.mayHaveRun = true
	}
	if c.interrupted.IsZero() {
		c.interrupted = c.service.now()
	}
	c.crash.observeFailure(c.current.endpoint, c.current.started, err)
	endpoint := c.current.endpoint.Name
	c.endAttempt(resultOf(err))
	if !errors.Is(err, engine.ErrNoStream) {
		c.query.Exclude = append(c.query.Exclude, endpoint)
	}
	if !c.delivered() && !isNotEndpointFault(err) && !c.retryAllowed(endpoint) {
		c.stopped = fmt.Errorf("%w: %w", errRetryBudgetSpent, err)
	}
}

// retryAllowed asks the retry budget. It is not called for streams that have delivered something:
// they were accepted, and admission limits their number.
func (c *ChatStream) retryAllowed(endpoint string) bool {
	return c.service.allowRetry(c.req.Organisation, endpoint)
}
