package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/verify"
)

// errQuarantined ends a request that has been found to crash endpoints, by itself or by its prompt.
var errQuarantined = errors.New("this request crashes endpoints")

// crashSubject is what of a request may crash endpoints, with what the quarantine says about it. Chat requests
// and calls each have one.
type crashSubject struct {
	service *Service
	request quarantine.Request
	// probe is set if the request is quarantined and is sent to find out whether it still crashes endpoints.
	probe bool
}

// check refuses a request that crashes endpoints, unless it is sent as a probe.
func (s *crashSubject) check(requestID string) *Refusal {
	v := s.service.crashes.Verdict(s.request, s.service.mayProbe)
	s.probe = v.Probe
	if v.Allowed {
		return nil
	}
	code := "prompt_quarantined"
	if v.Entry.Fingerprint != "" {
		code = "request_quarantined"
	}
	return NewRefusal(http.StatusServiceUnavailable, requestID, code, errQuarantined.Error()).withRetryAfter(v.RetryAfter)
}

// recheck returns an error if the request may not be sent. A probe is sent once.
func (s *crashSubject) recheck(mayHaveRun bool) error {
	if s.probe && !mayHaveRun {
		return nil
	}
	if v := s.service.crashes.Verdict(s.request, nil); !v.Allowed {
		return errQuarantined
	}
	return nil
}

// observeFailure records what the failure of an attempt that was sent at a time says about the request.
func (s *crashSubject) observeFailure(endpoint fleet.Endpoint, sentAt time.Time, err error) {
	instance := instanceName(endpoint)
	switch {
	case errors.Is(err, engine.ErrTerminated):
		if s.service.quarantine.Terminated(s.service.now(), instance, sentAt, s.request) {
			s.service.crashes.Start(verify.Endpoint{Instance: instance, Address: endpoint.Address})
		}
	case errors.Is(err, engine.ErrNotSent):
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, errChunkTimeout):
		s.service.quarantine.Abandoned(s.service.now(), instance, sentAt, s.request)
	}
}

// observeCompletion records that an attempt that was sent at a time has a complete answer.
func (s *crashSubject) observeCompletion(endpoint fleet.Endpoint, sentAt time.Time, endedWithConnection bool) {
	s.service.quarantine.Completed(s.service.now(), instanceName(endpoint), sentAt, s.request, endedWithConnection)
	if endedWithConnection {
		s.service.crashes.Start(verify.Endpoint{Instance: instanceName(endpoint), Address: endpoint.Address})
	}
}

// instanceName names an endpoint in the quarantine.
func instanceName(e fleet.Endpoint) string { return e.Name + "@" + e.Address }
