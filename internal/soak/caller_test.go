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

// callerTries bounds how often a caller comes back before its request counts as lost.
const callerTries = 400

// caller makes requests of all kinds, one after the other.
type caller struct {
	w  *world
	id int
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%d-%d", c.id, i)
		switch c.w.below(4) {
		case 0, 1:
			c.stream(name)
		case 2:
			c.repeatable(name)
		default:
			c.book(name)
		}
	}
}

// stream reads one streamed answer, coming back with the token whenever it is cut.
func (c *caller) stream(name string) {
	total := 50 + int(c.w.below(250))
	body := fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, testModel, name, total)
	req, err := chat.Decode(body)
	if err != nil {
		panic(err)
	}
	ask := dispatcher.ChatRequest{
		RequestID: dispatcher.NewRequestID(), Organisation: organisation(c.id % organisations),
		Body: body, Request: req, Priority: dispatcher.PriorityUnset, ResumeOffset: -1,
	}
	text, accepted, done := c.readAll(ask)
	if !accepted {
		return
	}
	want := make([]string, total)
	for i := range want {
		want[i] = expectedToken(body, i)
	}
	c.w.report.check(promiseSurvives, done, "%s: accepted, not completed after %d tries", name, callerTries)
	c.w.report.check(promiseWhole, !done || slices.Equal(text, want), "%s: %d tokens, want %d, or other text", name, len(text), total)
}

func (c *caller) readAll(ask dispatcher.ChatRequest) (text []string, accepted, done bool) {
	for range callerTries {
		got, tokenText, err := c.readOnce(ask)
		text = append(text, got...)
		accepted = accepted || tokenText != ""
		if err == nil {
			return text, true, true
		}
		if tokenText != "" {
			ask.ResumeToken = tokenText
		}
		if ask.ResumeToken != "" {
			ask.ResumeOffset = len(text)
		}
		time.Sleep(c.w.upTo(20 * time.Millisecond))
	}
	return text, accepted, false
}

// readOnce reads from one daemon until the end or a cut.
func (c *caller) readOnce(ask dispatcher.ChatRequest) ([]string, string, error) {
	n := c.w.anyNode()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n.gate() != nil {
		return nil, "", errNodeGone
	}
	stream, refusal := n.service.OpenChat(ctx, ask)
	if refusal != nil {
		c.w.report.told("stream " + string(refusal.Detail.Outcome) + " " + refusal.Detail.Code)
		return nil, "", errors.New(refusal.Detail.Message)
	}
	defer stream.Close()
	if n.isCrashed() {
		return nil, "", errNodeGone
	}
	text, token, err := c.readEvents(n, stream)
	return text, token, err
}

// readEvents passes events on as a connection to the daemon would: none after a crash.
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
			c.w.report.told("stream interrupted")
			c.w.report.check(promiseStop, !n.stopped.Load(), "%s was cut by a stopping daemon: %v", stream.RequestID(), err)
			return text, stream.ErrorDetail(err).ResumeToken, err
		}
		text = append(text, e.Text)
		if e.ResumeToken != "" {
			token = e.ResumeToken
		}
	}
}

// repeatable calls a service until it answers.
func (c *caller) repeatable(name string) {
	for range callerTries {
		a, refusal, ok := c.call(name, searchPath, "")
		if ok && refusal == nil {
			want := name + " run by "
			c.w.report.check(promiseWhole, len(a.Body) > len(want) && string(a.Body[:len(want)]) == want, "%s: got %s", name, a.Body)
			return
		}
		time.Sleep(c.w.upTo(20 * time.Millisecond))
	}
	c.w.report.check(promiseWhole, false, "%s: repeatable call never answered", name)
}

// book makes a call that must not run twice: with a key from several daemons at once
// and again later, or once without a key.
func (c *caller) book(name string) {
	key := name
	if c.w.chance(0.3) {
		key = ""
		c.bookOnce(name, key)
		c.w.report.check(promiseOnce, c.w.ledger.bodyRuns(name) <= 1, "%s without a key ran %d times", name, c.w.ledger.bodyRuns(name))
		return
	}
	var wg sync.WaitGroup
	for range 1 + c.w.below(3) {
		wg.Go(func() { c.bookOnce(name, key) })
	}
	wg.Wait()
	for range 1 + c.w.below(4) {
		time.Sleep(c.w.upTo(30 * time.Millisecond))
		c.bookOnce(name, key)
	}
	c.w.report.check(promiseOnce, c.w.ledger.bodyRuns(name) <= 1, "%s ran %d times", name, c.w.ledger.bodyRuns(name))
}

func (c *caller) bookOnce(name, key string) {
	before := c.w.ledger.bodyRuns(name)
	a, refusal, ok := c.call(name, bookPath, key)
	if !ok {
		return
	}
	if refusal == nil {
		c.w.report.check(promiseOnce, c.w.ledger.bodyRuns(name) == 1, "%s told completed, ran %d times: %s", name, c.w.ledger.bodyRuns(name), a.Body)
		return
	}
	if refusal.Detail.Outcome != outcome.NotRun {
		return
	}
	c.w.report.check(promiseNotRun, before == 0, "%s told not run by %s, had run", name, refusal.Detail.Code)
	// A daemon that was paused may still act: look again at the end of the run.
	c.w.lookLater(refusal.Detail.RequestID, name)
}

// call sends one call to any daemon; ok is false if the daemon died meanwhile.
func (c *caller) call(name, path, key string) (dispatcher.CallResponse, *dispatcher.Refusal, bool) {
	n := c.w.anyNode()
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
		c.w.report.told("call " + string(refusal.Detail.Outcome) + " " + refusal.Detail.Code)
		c.w.report.check(promiseNotRun, refusal.Detail.Outcome != outcome.NotRun || refusal.Detail.RetryAfterMillis > 0,
			"%s: %s without a time to come back", name, refusal.Detail.Code)
		return dispatcher.CallResponse{}, refusal, true
	}
	c.w.report.told("call completed")
	return a, nil, true
}
