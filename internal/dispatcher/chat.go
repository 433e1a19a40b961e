package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"rattanchute/internal/chat"
	"rattanchute/internal/outcome"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/request"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

// chatURI stands for the path of chat requests, which all have the same, in fingerprints.
const chatURI = "chat"

// PriorityUnset means that the caller did not request a priority.
const PriorityUnset = -1

// ChatRequest is a caller's chat-completions request.
type ChatRequest struct {
	RequestID    string
	Organisation string
	Body         []byte
	// Request is what Body says, without its messages, and Prompt what is kept of them.
	Request chat.Request
	Prompt  chat.Prompt
	// Priority is the priority that the caller requests, or PriorityUnset; it can lower the selector's
	// priority, not raise it.
	Priority int
	// Timeout is the caller's timeout, capped at Settings.MaxTimeout; zero means the default.
	Timeout time.Duration
	// ResumeToken, if not empty, resumes an earlier stream.
	ResumeToken string
	// ResumeOffset is the index of the first chunk that the caller lacks; if negative, the token's
	// offset is used.
	ResumeOffset int
}

// OpenChat admits a request and returns its stream once the first chunk has arrived. Every error
// before that is a refusal.
func (s *Service) OpenChat(ctx context.Context, req ChatRequest) (*ChatStream, *Refusal) {
	if !s.enter() {
		return nil, s.refused(refuseShuttingDown(req.RequestID))
	}
	c, refusal := s.openWithin(ctx, req)
	if refusal != nil {
		s.leave()
		return nil, s.refused(refusal)
	}
	return c, nil
}

func (s *Service) refused(r *Refusal) *Refusal {
	s.metrics.Refused.WithLabelValues(r.Detail.Code).Inc()
	return r
}

// openWithin opens a stream unless the limit of open streams is reached.
func (s *Service) openWithin(ctx context.Context, req ChatRequest) (*ChatStream, *Refusal) {
	if s.openCount.Add(1) > int64(s.settings.MaxStreams) {
		s.openCount.Add(-1)
		return nil, refuseStreams(req.RequestID)
	}
	c, refusal := s.openChat(ctx, req)
	if refusal != nil {
		s.openCount.Add(-1)
	}
	return c, refusal
}

func (s *Service) openChat(ctx context.Context, req ChatRequest) (*ChatStream, *Refusal) {
	target, ok := s.router.Table().FleetForModel(req.Organisation, req.Request.Model)
	if !ok {
		return nil, NewRefusal(http.StatusNotFound, req.RequestID, "unknown_model",
			"no fleet serves this model to the organisation").withField("model")
	}
	now := s.now()
	c := &ChatStream{
		service:  s,
		req:      req,
		opened:   now,
		deadline: now.Add(s.timeout(req.Timeout)),
		query:    newQuery(req, target.Name),
		moves:    make(chan Move, 1),
	}
	c.crash = crashSubject{service: s, request: quarantine.Request{
		Fleet: target.Name, Parts: req.Prompt.Parts,
		Fingerprint: quarantine.Fingerprint(req.Organisation, http.MethodPost, "", chatURI, req.Body),
	}}
	if refusal := c.crash.check(req.RequestID); refusal != nil {
		return nil, refusal
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
	c.removeEndHook = context.AfterFunc(s.endContext, c.cancel)
	if refusal := c.awaitFirstChunk(); refusal != nil {
		c.release(refusal.Detail.Outcome)
		return nil, refusal
	}
	return c, nil
}

func newQuery(req ChatRequest, fleetName string) route.Query {
	return route.Query{
		Organisation: req.Organisation,
		Fleet:        fleetName,
		PrefixHashes: req.Prompt.Prefixes.Hashes,
		PrefixTokens: req.Prompt.Prefixes.Tokens,
		PromptTokens: req.Prompt.Tokens,
		MaxTokens:    req.Request.OutputTokens(),
	}
}

// restore creates the state machine of the stream, from the resume token if there is one.
func (c *ChatStream) restore(now time.Time) *Refusal {
	if c.req.ResumeToken == "" {
		c.machine = request.NewStream(c.req.RequestID, c.service.session)
		return nil
	}
	t, err := c.service.signer.Validate(now, c.req.ResumeToken)
	if err != nil || t.Organisation != c.req.Organisation {
		return NewRefusal(http.StatusForbidden, c.req.RequestID, "bad_resume_token",
			"the resume token is forged, expired or another organisation's").withField("X-Resume-Token")
	}
	if t.BodyHash != bodyHash(c.req.Body) {
		return NewRefusal(http.StatusConflict, c.req.RequestID, "resume_body_differs",
			"a resumed request must repeat the body of the first").withField("body")
	}
	return c.restoreFrom(t)
}

// restoreFrom creates the state machine from a valid token. It refuses a stream of which nothing says at which
// version it began.
func (c *ChatStream) restoreFrom(t resumetoken.Token) *Refusal {
	offset := t.Offset
	if c.req.ResumeOffset >= 0 {
		offset = c.req.ResumeOffset
	}
	c.req.RequestID = t.RequestID
	c.attach = &t
	if offset == 0 {
		c.machine = request.NewStream(t.RequestID, c.service.session)
		return nil
	}
	c.machine = request.ResumeStream(t.RequestID, c.service.session, offset, t.Offset, t.Hash)
	if c.query.Version = t.Version; c.query.Version != nil {
		return nil
	}
	// A daemon of an earlier release has signed the token.
	e, ok := c.service.router.Table().Endpoint(t.Endpoint)
	if !ok {
		return NewRefusal(http.StatusServiceUnavailable, t.RequestID, "stream_origin_unknown",
			"it is not known which version of the engines began the stream").withRetryAfter(retryAfterFailure)
	}
	c.query.Version = &e.Version
	return nil
}

// ratelimit chooses the first endpoint and asks the limiter whether the request is accepted; nil
// means that it is.
func (c *ChatStream) ratelimit(now time.Time) *Refusal {
	choice, err := c.service.router.Choose(now, randomBits(), c.query)
	if err != nil {
		return c.service.refuseRoute(c.req.RequestID, err, c.query)
	}
	c.priority = choice.Priority
	if c.req.Priority != PriorityUnset {
		c.priority = min(c.req.Priority, choice.Priority)
	}
	c.admission = ratelimit.Request{
		Organisation:       c.req.Organisation,
		Fleet:              c.query.Fleet,
		Priority:           c.priority,
		ExpectedFirstToken: choice.ExpectedFirstToken,
		ExpectedPrefill:    choice.ExpectedPrefill,
		Deadline:           c.deadline,
	}
	d := c.service.limiter.Admit(now, c.admission)
	if !d.Admitted {
		return refuseAdmission(c.req.RequestID, d)
	}
	c.service.limiter.RecordAttempt(now, c.req.Organisation, choice.Endpoint.Name)
	c.next = &choice
	c.progress.priority = c.priority
	return nil
}

func refuseAdmission(requestID string, d ratelimit.Decision) *Refusal {
	return NewRefusal(http.StatusTooManyRequests, requestID, string(d.Code),
		"the request was not taken").withRetryAfter(d.RetryAfter)
}

// awaitFirstChunk makes attempts until the first chunk for the caller has arrived. It returns a
// refusal if none arrives.
func (c *ChatStream) awaitFirstChunk() *Refusal {
	e, err := c.read()
	if err == nil {
		c.first = &e
		observe(c.service.metrics.FirstToken, c.service.now().Sub(c.opened))
		return nil
	}
	o := outcome.NotRun
	if c.mayHaveRun {
		o = outcome.Unknown
	}
	return NewRefusal(http.StatusServiceUnavailable, c.req.RequestID, "no_answer", err.Error()).
		withRetryAfter(retryAfterFailure).withOutcome(o)
}

func bodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
