package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/route"
)

// ensureAttempt begins an attempt if none runs.
func (c *ChatStream) ensureAttempt() error {
	for c.current == nil {
		if err := c.ctx.Err(); err != nil {
			return fmt.Errorf("deadline or caller gone: %w", err)
		}
		if c.stopped != nil {
			return c.stopped
		}
		if c.tries >= c.service.settings.MaxAttempts {
			return errAttempts
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

// beginAttach joins the stream that a resume token names, once.
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
	c.start(endpoint, c.machine.BeginAttach(t.Stream, c.ask.Body, c.priority))
	return true
}

// beginNext begins an attempt at the next chosen endpoint.
func (c *ChatStream) beginNext() error {
	choice, err := c.choose()
	if err != nil {
		return c.waitForEndpoint(err)
	}
	c.start(choice.Endpoint, c.machine.Begin(c.ask.Body, c.priority))
	return nil
}

func (c *ChatStream) choose() (route.Choice, error) {
	next := c.next
	c.next = nil
	return c.service.choose(next, c.query)
}

// waitForEndpoint pauses an interrupted stream that no endpoint can take now, and
// gives it up once the recovery window has passed. A request that has delivered
// nothing does not wait: its caller is told at once when to come back.
func (c *ChatStream) waitForEndpoint(cause error) error {
	now := c.service.now()
	if !c.delivered() || now.Sub(c.interrupted) > c.service.settings.RecoveryWindow {
		return fmt.Errorf("no endpoint can go on with the answer: %w", cause)
	}
	c.query.Exclude = nil
	return c.pause(recoveryPause)
}

func (c *ChatStream) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// delivered tells whether the caller has any part of the answer.
func (c *ChatStream) delivered() bool { return c.machine.Offset() > 0 }

// attemptFailed ends the current attempt and prepares the next.
func (c *ChatStream) attemptFailed(err error) {
	if !errors.Is(err, engine.ErrNotSent) {
		c.mayHaveRun = true
	}
	if c.interrupted.IsZero() {
		c.interrupted = c.service.now()
	}
	endpoint := c.current.endpoint.Name
	c.endAttempt(resultOf(err))
	if !errors.Is(err, engine.ErrNoStream) {
		c.query.Exclude = append(c.query.Exclude, endpoint)
	}
	if !c.delivered() && !blameless(err) && !c.retryAllowed(endpoint) {
		c.stopped = fmt.Errorf("%w: %w", errBudget, err)
	}
}

// retryAllowed asks the retry budget. Streams that have delivered something are
// exempt: they were accepted, and their number is bounded by admission.
func (c *ChatStream) retryAllowed(endpoint string) bool {
	return c.service.allowRetry(c.ask.Organisation, endpoint)
}
