package proxy

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine/verify"
)

// readBufferBytes is the size of the buffer for reading a stream.
const readBufferBytes = 4 << 10

// errCutInsideEvent means that a stream ended before the blank line that ends its last event.
var errCutInsideEvent = errors.New("stream ended inside an event")

// errNoEvent means that a stream whose end is that of its connection had no event. Nothing shows that
// it is whole.
var errNoEvent = errors.New("stream without an event ended with its connection")

// errCallerGone means that writing to the caller failed.
var errCallerGone = errors.New("write to the caller failed")

// beginContinuation records which events of its stream the caller has before the first attempt.
func (x *exchange) beginContinuation() {
	asksForRest := x.route.Kind == fleet.RouteStream && x.info.isResumption()
	x.continuation = newContinuation(asksForRest, x.info.LastEventID, x.route.Resumable)
	x.continuation.repeats = x.relayed != nil
}

// relayStream forwards complete events as they arrive.
func (a *attempt) relayStream(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	x.continuation.begin(x.headSent)
	events := eventReader{buffer: responseBuffer{budget: x.proxy.Bodies, uncounted: uncountedEventBytes}}
	defer events.buffer.release()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 && a.peer == nil {
			a.heard()
		}
		if addErr := events.add(buffer[:n]); addErr != nil {
			a.err = addErr
			return outcomeFailed, balancer.ResultFailed
		}
		if relayErr := a.relayEvents(body, &events); relayErr != nil {
			return a.relayFailed(relayErr)
		}
		if err == nil {
			continue
		}
		a.partialBytes = len(events.partial())
		if a.partialBytes > 0 {
			x.continuation.endDoubted = false
		}
		a.err = a.streamError(err)
		if a.err == nil {
			a.err = a.checkStreamEnd(body)
		}
		x.proxy.telemetry.StreamEnded(a)
		if a.err != nil {
			return a.streamBroken()
		}
		return a.endStream(body)
	}
}

// streamError returns why a stream that ended with readErr is not whole, and nil if it is.
func (a *attempt) streamError(readErr error) error {
	switch {
	case readErr != io.EOF:
		return readErr
	case a.partialBytes > 0:
		return errCutInsideEvent
	case a.events == 0 && a.framing == httpclient.FramingClose && !a.exchange.continuation.endDoubted:
		return errNoEvent
	}
	return nil
}

// checkStreamEnd returns an error if a stream that ended in order is not known to be complete.
func (a *attempt) checkStreamEnd(body *httpclient.Body) error {
	c := &a.exchange.continuation
	doubt := a.checkEnd()
	if doubt == nil {
		doubt = a.checkMarkedEnd(body)
	}
	ends := a.framing != httpclient.FramingClose || a.presence == verify.Present
	if err := c.end(ends && len(body.Response.Header.ContentType()) > 0); err != nil {
		return err
	}
	c.endDoubted = errors.Is(doubt, errEndpointGone)
	c.endMarked = c.endDoubted && a.framing != httpclient.FramingClose
	return doubt
}

// relayFailed records err and returns the outcome of an attempt whose events could not be relayed.
func (a *attempt) relayFailed(err error) (outcome, balancer.Result) {
	a.err = err
	if errors.Is(err, errCallerGone) {
		a.exchange.abort()
		return outcomeDone, balancer.ResultCancelled
	}
	a.exchange.proxy.telemetry.StreamEnded(a)
	return outcomeFailed, balancer.ResultFailed
}

// streamBroken returns the outcome of a stream that its endpoint did not finish.
func (a *attempt) streamBroken() (outcome, balancer.Result) {
	if a.ctx.Err() != nil {
		return a.contextEnded()
	}
	return outcomeFailed, balancer.ResultFailed
}

// relayEvents forwards the complete events received so far, and flushes them together. Events that
// the caller already has are dropped.
func (a *attempt) relayEvents(body *httpclient.Body, events *eventReader) error {
	x := a.exchange
	wrote := false
	for {
		e, ok := events.next()
		if !ok {
			break
		}
		a.events++
		isNew, err := x.continuation.accept(e)
		if err != nil {
			return err
		}
		if a.firstEventAt.IsZero() {
			a.observeFirstEvent()
		}
		if !isNew {
			continue
		}
		x.info.LastEventID = x.continuation.lastID
		a.beginStream(&body.Response.Header)
		x.writeChunk(e.text)
		wrote = true
	}
	if !wrote {
		return nil
	}
	a.observeEventInterval()
	return x.flush()
}

// observeEventInterval records the time since events were last forwarded to the caller in this
// attempt.
func (a *attempt) observeEventInterval() {
	now := clock.Now()
	if !a.lastEventAt.IsZero() {
		a.exchange.proxy.telemetry.ObserveEventInterval(now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// observeFirstEvent records the arrival of the stream's first event, which shows that the request
// runs.
func (a *attempt) observeFirstEvent() {
	now := clock.Now()
	a.firstEventAt = now
	if a.wait != nil && !a.exchange.continuation.mayContinue() {
		a.wait.Keep()
	}
	a.balancerAttempt.FirstEvent(now)
	a.recordOrigin(now)
	a.exchange.markStarted(now)
}

// beginStream writes the head of a streamed response, unless that was done before. If the stream
// continues at another endpoint, the caller therefore keeps the header of the first one.
func (a *attempt) beginStream(header *fasthttp.ResponseHeader) {
	x := a.exchange
	if x.headSent {
		return
	}
	x.headSent = true
	x.status = header.StatusCode()
	var head fasthttp.ResponseHeader
	copyHeader(&head, header)
	a.markAnswered(&head)
	head.SetContentLength(-1)
	x.announceClose(&head)
	if err := head.Write(x.conn.writer); err != nil {
		x.broken = true
	}
}

func (x *exchange) writeChunk(p []byte) {
	w := x.conn.writer
	size := strconv.AppendInt(make([]byte, 0, 16), int64(len(p)), 16)
	_, _ = w.Write(append(size, '\r', '\n'))
	_, _ = w.Write(p)
	_, err := w.WriteString("\r\n")
	if err != nil {
		x.broken = true
	}
}

func (x *exchange) flush() error {
	if err := x.conn.writer.Flush(); err != nil {
		x.broken = true
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// endStream ends the caller's response after the endpoint has ended its own.
func (a *attempt) endStream(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	x.markStarted(a.sentAt)
	a.recordCompletion()
	defer body.Finish()
	a.beginStream(&body.Response.Header)
	if err := x.writeEnd(); err != nil {
		return a.relayFailed(err)
	}
	x.proxy.telemetry.Responded(x, a, clock.Now())
	return outcomeDone, balancer.ResultOK
}

// writeEnd marks the end of the caller's streamed response.
func (x *exchange) writeEnd() error {
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		x.broken = true
	}
	return x.flush()
}
