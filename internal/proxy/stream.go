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

// readSize is how much of a stream is read at once.
const readSize = 4 << 10

// errGap means that events of a stream are missing.
var errGap = errors.New("gap between events")

// errCallerGone means that the caller's connection takes no more bytes.
var errCallerGone = errors.New("caller does not take the answer")

// relayStream passes complete events on as they arrive.
func (a *attempt) relayStream(body *httpclient.Body) (outcome, balancer.Result) {
	var events eventReader
	buffer := make([]byte, readSize)
	for {
		n, err := body.Read(buffer)
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
		if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			a.err = err
			return a.streamBroke()
		}
		return a.endStream(body, events.rest())
	}
}

func (a *attempt) relayFailed(err error) (outcome, balancer.Result) {
	a.err = err
	if errors.Is(err, errCallerGone) {
		a.exchange.cut()
		return outcomeDone, balancer.ResultCancelled
	}
	return outcomeFailed, balancer.ResultFailed
}

// streamBroke decides how a stream ends that its endpoint did not finish.
func (a *attempt) streamBroke() (outcome, balancer.Result) {
	if a.ctx.Err() != nil {
		return a.stopped()
	}
	return outcomeFailed, balancer.ResultFailed
}

// relayEvents passes the complete events on in one write.
func (a *attempt) relayEvents(body *httpclient.Body, events *eventReader) error {
	x := a.exchange
	wrote := false
	for {
		e, ok := events.next()
		if !ok {
			break
		}
		if a.firstEventAt.IsZero() {
			a.noteFirstEvent()
		}
		if e.id != "" {
			news, err := x.advance(e)
			if err != nil {
				return err
			}
			if !news {
				continue
			}
		}
		x.beginStream(&body.Response.Header)
		x.writeChunk(e.text)
		wrote = true
	}
	if !wrote {
		return nil
	}
	a.notePause()
	return x.flush()
}

// notePause counts the time since the events before.
func (a *attempt) notePause() {
	now := clock.Now()
	if !a.lastEventAt.IsZero() {
		a.exchange.proxy.events.ObserveEventInterval(now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

func (a *attempt) noteFirstEvent() {
	now := clock.Now()
	a.firstEventAt = now
	a.placed.FirstEvent(now)
	a.exchange.begin(now)
}

// advance notes an event's id and reports whether the caller lacks the event. Ids of one
// stream rise; after the first they must not leave any out.
func (x *exchange) advance(e event) (bool, error) {
	last, err := strconv.ParseInt(x.ask.LastEventID, 10, 64)
	if x.ask.LastEventID != "" && err == nil && e.number > 0 {
		if e.number <= last {
			return false, nil
		}
		if e.number > last+1 && x.headSent {
			return false, fmt.Errorf("%w: %d after %d", errGap, e.number, last)
		}
	}
	x.ask.LastEventID = e.id
	return true, nil
}

// beginStream sends the head of a streamed answer, once. The header is that of the first
// endpoint that answered.
func (x *exchange) beginStream(header *fasthttp.ResponseHeader) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.status = header.StatusCode()
	var head fasthttp.ResponseHeader
	copyHeader(&head, header)
	head.SetContentLength(-1)
	if x.close {
		head.SetConnectionClose()
	}
	x.extendWrite()
	if err := head.Write(x.conn.writer); err != nil {
		x.broken = true
	}
}

func (x *exchange) extendWrite() {
	_ = x.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (x *exchange) writeChunk(p []byte) {
	x.extendWrite()
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

// endStream ends the caller's answer after the endpoint has ended its own.
func (a *attempt) endStream(body *httpclient.Body, rest []byte) (outcome, balancer.Result) {
	x := a.exchange
	x.begin(a.sentAt)
	defer body.Finish()
	if len(rest) > 0 && x.headSent && x.sends > 0 {
		// What follows the last event belongs to no event that can be joined.
		rest = nil
	}
	x.beginStream(&body.Response.Header)
	if len(rest) > 0 {
		x.writeChunk(rest)
	}
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		x.broken = true
	}
	if err := x.flush(); err != nil {
		return a.relayFailed(err)
	}
	x.proxy.events.Answered(x, a, clock.Now())
	return outcomeDone, balancer.ResultOK
}
