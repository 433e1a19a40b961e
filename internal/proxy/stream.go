package proxy

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
)

// readBufferBytes is the size of the buffer for reading a stream.
const readBufferBytes = 4 << 10

// errMissingEvents means that a stream has skipped events that the caller lacks.
var errMissingEvents = errors.New("events missing from the stream")

// errCutInsideEvent means that a stream ended before the blank line that ends its last event.
var errCutInsideEvent = errors.New("stream ended inside an event")

// errNoEvent means that a stream whose end is that of its connection had no event. Nothing shows that
// it is whole.
var errNoEvent = errors.New("stream without an event ended with its connection")

// errCallerGone means that writing to the caller failed.
var errCallerGone = errors.New("write to the caller failed")

// relayStream forwards complete events as they arrive.
func (a *attempt) relayStream(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	var events eventReader
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
		a.err = a.streamError(err)
		if a.err == nil {
			a.err = a.checkEnd()
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
	case a.events == 0 && a.framing == httpclient.FramingClose:
		return errNoEvent
	}
	return nil
}

// relayFailed records err and returns the outcome of an attempt whose events could not be relayed.
func (a *attempt) relayFailed(err error) (outcome, balancer.Result) {
	a.err = err
	if errors.Is(err, errCallerGone) {
		a.exchange.abort()
		return outcomeDone, balancer.ResultCancelled
	}
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
		if a.firstEventAt.IsZero() {
			a.observeFirstEvent()
		}
		if e.id != "" {
			isNew, err := x.acceptEvent(e)
			if err != nil {
				return err
			}
			if !isNew {
				continue
			}
		}
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
	a.balancerAttempt.FirstEvent(now)
	a.recordOrigin(now)
	a.exchange.markStarted(now)
}

// acceptEvent reports whether the caller lacks an event, and records the event's id if so. The
// caller has the events whose number is not above that of the last event that it received. Once the
// head of the response is sent, a gap in the numbers is an error. If this event or the last one has
// no number, this one counts as new.
func (x *exchange) acceptEvent(e event) (bool, error) {
	last, err := strconv.ParseInt(x.info.LastEventID, 10, 64)
	if x.info.LastEventID != "" && err == nil && e.number > 0 {
		if e.number <= last {
			return false, nil
		}
		if e.number > last+1 && x.headSent {
			return false, fmt.Errorf("%w: %d after %d", errMissingEvents, e.number, last)
		}
	}
	x.info.LastEventID = e.id
	return true, nil
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
	x.extendWriteDeadline()
	if err := head.Write(x.conn.writer); err != nil {
		x.broken = true
	}
}

func (x *exchange) extendWriteDeadline() {
	_ = x.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (x *exchange) writeChunk(p []byte) {
	x.extendWriteDeadline()
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
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		x.broken = true
	}
	if err := x.flush(); err != nil {
		return a.relayFailed(err)
	}
	x.proxy.telemetry.Responded(x, a, clock.Now())
	return outcomeDone, balancer.ResultOK
}
