package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"rattanchute/internal/chat"
	"rattanchute/internal/outcome"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/request"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

// PriorityUnset means that the caller asked for no priority of its own.
const PriorityUnset = -1

// ChatRequest is a caller's chat-completions request.
type ChatRequest struct {
	RequestID    string
	Organisation string
	Body         []byte
	Request      chat.Request
	// Priority is the caller's wish; it can lower the selector's priority, not raise it.
	Priority int
	// Timeout is the caller's; zero means the default.
	Timeout time.Duration
	// ResumeToken goes on with an earlier stream when not empty.
	ResumeToken string
	// ResumeOffset is the index of the first chunk the caller lacks; negative takes
	// the token's.
	ResumeOffset int
}

// OpenChat admits a request and returns its stream once the first chunk is there.
// Everything that goes wrong before is a refusal.
func (s *Service) OpenChat(ctx context.Context, ask ChatRequest) (*ChatStream, *Refusal) {
	if !s.enter() {
		return nil, s.refused(refuseClosing(ask.RequestID))
	}
	c, refusal := s.openWithin(ctx, ask)
	if refusal != nil {
		s.leave()
		return nil, s.refused(refusal)
	}
	return c, nil
}

func (s *Service) refused(r *Refusal) *Refusal {
	s.counters.Refused.WithLabelValues(r.Detail.Code).Inc()
	return r
}

// openWithin opens a stream unless as many are open as the settings allow.
func (s *Service) openWithin(ctx context.Context, ask ChatRequest) (*ChatStream, *Refusal) {
	if s.opened.Add(1) > int64(s.settings.MaxStreams) {
		s.opened.Add(-1)
		return nil, refuseStreams(ask.RequestID)
	}
	c, refusal := s.openChat(ctx, ask)
	if refusal != nil {
		s.opened.Add(-1)
	}
	return c, refusal
}

func (s *Service) openChat(ctx context.Context, ask ChatRequest) (*ChatStream, *Refusal) {
	target, ok := s.router.Table().FleetForModel(ask.Organisation, ask.Request.Model)
	if !ok {
		return nil, NewRefusal(http.StatusNotFound, ask.RequestID, "unknown_model",
			"no fleet serves this model to the organisation").field("model")
	}
	now := s.now()
	c := &ChatStream{
		service:  s,
		ask:      ask,
		opened:   now,
		deadline: now.Add(s.timeout(ask.Timeout)),
		query:    newQuery(ask, target.Name),
		moves:    make(chan Move, 1),
	}
	c.progress.prompt = c.query.PromptTokens
	c.progress.maxTokens = c.query.MaxTokens
	if refusal := c.restore(now); refusal != nil {
		return nil, refusal
	}
	if refusal := c.ratelimit(now); refusal != nil {
		return nil, refusal
	}
	c.ctx, c.cancel = context.WithDeadline(ctx, c.deadline)
	c.stopEnding = context.AfterFunc(s.ending, c.cancel)
	if refusal := c.awaitFirst(); refusal != nil {
		c.release(refusal.Detail.Outcome)
		return nil, refusal
	}
	return c, nil
}

func newQuery(ask ChatRequest, fleetName string) route.Query {
	prefixes := ask.Request.Prefixes()
	return route.Query{
		Organisation: ask.Organisation,
		Fleet:        fleetName,
		PrefixHashes: prefixes.Hashes,
		PrefixTokens: prefixes.Tokens,
		PromptTokens: ask.Request.PromptTokens(),
		MaxTokens:    ask.Request.OutputTokens(),
	}
}

// restore sets up the stream machine, from the resume token if there is one.
func (c *ChatStream) restore(now time.Time) *Refusal {
	if c.ask.ResumeToken == "" {
		c.machine = request.NewStream(c.ask.RequestID, c.service.session)
		return nil
	}
	t, err := c.service.signer.Validate(now, c.ask.ResumeToken)
	if err != nil || t.Organisation != c.ask.Organisation {
		return NewRefusal(http.StatusForbidden, c.ask.RequestID, "bad_resume_token",
			"the resume token is forged, expired or another organisation's").field("X-Resume-Token")
	}
	if t.BodyHash != bodyHash(c.ask.Body) {
		return NewRefusal(http.StatusConflict, c.ask.RequestID, "resume_body_differs",
			"a resumed request must repeat the body of the first").field("body")
	}
	c.restoreFrom(t)
	return nil
}

func (c *ChatStream) restoreFrom(t resumetoken.Token) {
	offset := t.Offset
	if c.ask.ResumeOffset >= 0 {
		offset = c.ask.ResumeOffset
	}
	c.ask.RequestID = t.RequestID
	if offset == 0 {
		c.machine = request.NewStream(t.RequestID, c.service.session)
	} else {
		c.machine = request.ResumeStream(t.RequestID, c.service.session, offset, t.Offset, t.Hash)
	}
	c.attach = &t
}

// ratelimit chooses the first endpoint and asks the admitter.
func (c *ChatStream) ratelimit(now time.Time) *Refusal {
	choice, err := c.service.router.Choose(now, randomWord(), c.query)
	if err != nil {
		return refuseRoute(c.ask.RequestID, err)
	}
	c.priority = choice.Priority
	if c.ask.Priority != PriorityUnset {
		c.priority = min(c.ask.Priority, choice.Priority)
	}
	c.admission = ratelimit.Request{
		Organisation:       c.ask.Organisation,
		Fleet:              c.query.Fleet,
		Priority:           c.priority,
		ExpectedFirstToken: choice.ExpectedFirstToken,
		ExpectedPrefill:    choice.ExpectedPrefill,
		Deadline:           c.deadline,
	}
	d := c.service.admitter.Admit(now, c.admission)
	if !d.Admitted {
		return refuseAdmission(c.ask.RequestID, d)
	}
	c.service.admitter.RecordAttempt(now, c.ask.Organisation, choice.Endpoint.Name)
	c.next = &choice
	c.progress.priority = c.priority
	return nil
}

func refuseAdmission(requestID string, d ratelimit.Decision) *Refusal {
	return NewRefusal(http.StatusTooManyRequests, requestID, string(d.Code),
		"the request was not taken").after(d.RetryAfter)
}

// awaitFirst runs attempts until there is a chunk for the caller.
func (c *ChatStream) awaitFirst() *Refusal {
	e, err := c.read()
	if err == nil {
		c.first = &e
		observe(c.service.counters.FirstToken, c.service.now().Sub(c.opened))
		return nil
	}
	o := outcome.NotRun
	if c.mayHaveRun {
		o = outcome.Unknown
	}
	return NewRefusal(http.StatusServiceUnavailable, c.ask.RequestID, "no_answer", err.Error()).
		after(retryAfterFailure).with(o)
}

func bodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
