package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"rattanchute/internal/chat"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/outcome"
)

// maxCallerRetries limits how often a caller tries a request; after that, an accepted stream or an
// idempotent call counts as lost.
const maxCallerRetries = 400

// caller makes requests of all kinds, one after the other. Only calls with one idempotency key may
// run concurrently.
type caller struct {
	env *environment
	id  int
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%d-%d", c.id, i)
		switch c.env.randN(4) {
		case 0, 1:
			c.stream(name)
		case 2:
			c.callIdempotent(name)
		default:
			c.bookWithRetries(name)
		}
	}
}

// stream reads one streamed answer. Whenever it is cut, it is resumed with the latest token, or
// requested anew if there is no token yet.
func (c *caller) stream(name string) {
	total := 50 + int(c.env.randN(250))
	body := fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, testModel, name, total)
	req, err := chat.Decode(body)
	if err != nil {
		panic(err)
	}
	chatReq := dispatcher.ChatRequest{
		RequestID: dispatcher.NewRequestID(), Organisation: organisation(c.id % organisations),
		Body: body, Request: req, Priority: dispatcher.PriorityUnset, ResumeOffset: -1,
	}
	text, accepted, done := c.readAll(chatReq)
	if !accepted {
		return
	}
	want := make([]string, total)
	for i := range want {
		want[i] = expectedToken(body, i)
	}
	c.env.report.check(guaranteeSurvivesReclaim, done,
		"%s: accepted, not completed after %d tries", name, maxCallerRetries)
	c.env.report.check(guaranteeWholeAnswer, !done || slices.Equal(text, want),
		"%s: %d tokens, want %d, or other text", name, len(text), total)
}

func (c *caller) readAll(req dispatcher.ChatRequest) (text []string, accepted, done bool) {
	for range maxCallerRetries {
		got, tokenText, err := c.readOnce(req)
		text = append(text, got...)
		accepted = accepted || tokenText != ""
		if err == nil {
			return text, true, true
		}
		if tokenText != "" {
			req.ResumeToken = tokenText
		}
		if req.ResumeToken != "" {
			req.ResumeOffset = len(text)
		}
		time.Sleep(c.env.randDuration(20 * time.Millisecond))
	}
	return text, accepted, false
}

// readOnce reads from one daemon until the stream ends or is cut.
func (c *caller) readOnce(req dispatcher.ChatRequest) ([]string, string, error) {
	n := c.env.anyNode()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n.gate() != nil {
		return nil, "", errNodeGone
	}
	stream, refusal := n.service.OpenChat(ctx, req)
	if refusal != nil {
		c.env.report.countOutcome("stream " + string(refusal.Detail.Outcome) + " " + refusal.Detail.Code)
		return nil, "", errors.New(refusal.Detail.Message)
	}
	defer stream.Close()
	if n.isCrashed() {
		return nil, "", errNodeGone
	}
	text, token, err := c.readEvents(n, stream)
	return text, token, err
}

// readEvents returns events as a connection to the daemon would deliver them: none while it is
// paused or after it has crashed. The token is the one with which to resume the stream.
func (c *caller) readEvents(n *node, stream *dispatcher.ChatStream) ([]string, string, error) {
	token := stream.ResumeToken()
	var text []string
	for {
		e, err := stream.Next()
		if n.gate() != nil {
			return text, token, errNodeGone
		}
		if errors.Is(err, io.EOF) {
			return text, token, nil
		}
		if err != nil {
			c.env.report.countOutcome("stream interrupted")
			c.env.report.check(guaranteeGracefulStop, !n.stopped.Load(),
				"%s was cut by a stopping daemon: %v", stream.RequestID(), err)
			return text, stream.ErrorDetail(err).ResumeToken, err
		}
		text = append(text, e.Text)
		if e.ResumeToken != "" {
			token = e.ResumeToken
		}
	}
}

// callIdempotent makes an idempotent call and retries it until it is answered. It reports a
// violation if maxCallerRetries tries give no answer.
func (c *caller) callIdempotent(name string) {
	for range maxCallerRetries {
		a, refusal, ok := c.call(name, searchPath, "")
		if ok && refusal == nil {
			want := name + " run by "
			c.env.report.check(guaranteeWholeAnswer, len(a.Body) > len(want) && string(a.Body[:len(want)]) == want,
				"%s: got %s", name, a.Body)
			return
		}
		time.Sleep(c.env.randDuration(20 * time.Millisecond))
	}
	c.env.report.check(guaranteeWholeAnswer, false, "%s: repeatable call never answered", name)
}

// bookWithRetries makes a call that must not run twice: with an idempotency key through up to three
// random daemons at once and again later, or once without a key.
func (c *caller) bookWithRetries(name string) {
	key := name
	if c.env.randBool(0.3) {
		key = ""
		c.bookOnce(name, key)
		c.env.report.check(guaranteeAtMostOnce, c.env.ledger.bodyRuns(name) <= 1,
			"%s without a key ran %d times", name, c.env.ledger.bodyRuns(name))
		return
	}
	var wg sync.WaitGroup
	for range 1 + c.env.randN(3) {
		wg.Go(func() { c.bookOnce(name, key) })
	}
	wg.Wait()
	for range 1 + c.env.randN(4) {
		time.Sleep(c.env.randDuration(30 * time.Millisecond))
		c.bookOnce(name, key)
	}
	c.env.report.check(guaranteeAtMostOnce, c.env.ledger.bodyRuns(name) <= 1,
		"%s ran %d times", name, c.env.ledger.bodyRuns(name))
}

func (c *caller) bookOnce(name, key string) {
	before := c.env.ledger.bodyRuns(name)
	a, refusal, ok := c.call(name, bookPath, key)
	if !ok {
		return
	}
	if refusal == nil {
		c.env.report.check(guaranteeAtMostOnce, c.env.ledger.bodyRuns(name) == 1,
			"%s told completed, ran %d times: %s", name, c.env.ledger.bodyRuns(name), a.Body)
		return
	}
	if refusal.Detail.Outcome != outcome.NotRun {
		return
	}
	c.env.report.check(guaranteeNotRun, before == 0, "%s told not run by %s, had run", name, refusal.Detail.Code)
	// A paused daemon may still run the call: check again at the end of the run.
	c.env.recheckLater(refusal.Detail.RequestID, name)
}

// call sends one call to a random daemon; ok is false if the daemon has crashed before or during the
// call.
func (c *caller) call(name, path, key string) (dispatcher.CallResponse, *dispatcher.Refusal, bool) {
	n := c.env.anyNode()
	if n.gate() != nil {
		return dispatcher.CallResponse{}, nil, false
	}
	a, refusal := n.service.Call(context.Background(), dispatcher.CallRequest{
		RequestID: dispatcher.NewRequestID(), Organisation: organisation(c.id % organisations),
		Method: "POST", Path: path, URI: path, Body: []byte(name), IdempotencyKey: key,
		Priority: dispatcher.PriorityUnset, Timeout: 2 * time.Second,
	})
	if n.gate() != nil {
		return dispatcher.CallResponse{}, nil, false
	}
	if refusal != nil {
		c.env.report.countOutcome("call " + string(refusal.Detail.Outcome) + " " + refusal.Detail.Code)
		c.env.report.check(guaranteeNotRun, refusal.Detail.Outcome != outcome.NotRun || refusal.Detail.RetryAfterMillis > 0,
			"%s: %s without a time to come back", name, refusal.Detail.Code)
		return dispatcher.CallResponse{}, refusal, true
	}
	c.env.report.countOutcome("call completed")
	return a, nil, true
}
