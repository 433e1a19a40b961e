package dispatcher

import (
	"errors"
	"net/http"
	"time"

	"rattanchute/internal/engine"
)

// errQuarantined ends a stream whose prompt has been found to crash endpoints.
var errQuarantined = errors.New("requests with this prompt crash endpoints")

// checkQuarantine refuses a request whose prompt crashes endpoints, unless it is sent as a probe.
func (c *ChatStream) checkQuarantine(now time.Time) *Refusal {
	v := c.service.quarantine.Check(now, c.prompt, c.service.mayProbe)
	c.probe = v.Probe
	if v.Allowed {
		return nil
	}
	return NewRefusal(http.StatusServiceUnavailable, c.req.RequestID, "prompt_quarantined",
		errQuarantined.Error()).withRetryAfter(v.RetryAfter)
}

// recheckQuarantine returns an error if the request may not be sent. A probe is sent once.
func (c *ChatStream) recheckQuarantine() error {
	if c.probe && !c.mayHaveRun {
		return nil
	}
	if v := c.service.quarantine.Check(c.service.now(), c.prompt, nil); !v.Allowed {
		return errQuarantined
	}
	return nil
}

// observeFailure records what the failure of the current attempt says about the prompt.
func (c *ChatStream) observeFailure(err error) {
	if errors.Is(err, engine.ErrTerminated) {
		c.service.quarantine.Terminated(c.service.now(), c.current.instanceName(), c.prompt)
	}
}

// observeEnd records that the answer is complete, if it is. Its end is marked, however the connection ends.
func (c *ChatStream) observeEnd() {
	if c.machine.Finished() {
		c.service.quarantine.Completed(c.service.now(), c.current.instanceName(), c.prompt, false)
	}
}

// instanceName names the endpoint of the attempt.
func (a *attempt) instanceName() string { return a.endpoint.Name + "@" + a.endpoint.Address }
