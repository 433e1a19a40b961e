package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
)

// maxAnswerBytes bounds an answer that is held before it is relayed.
const maxAnswerBytes = 16 << 20

// keepAliveShare of the time that an endpoint keeps an idle connection it is used.
const keepAliveShare = 0.7

// attempt is one sending of a request to one endpoint.
type attempt struct {
	exchange *exchange
	choice   balancer.Choice
	ctx      context.Context
	placed   *balancer.Attempt
	sentAt   time.Time
	// err is why the attempt failed.
	err error
	// status is the endpoint's.
	status int
	// firstEventAt is when a stream's first event arrived, and lastEventAt its newest.
	firstEventAt time.Time
	lastEventAt  time.Time
}

func (a *attempt) run() (outcome, balancer.Result) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.encode(req)
	x := a.exchange
	target := httpclient.Target{Address: a.choice.Endpoint.Address, Instance: a.choice.Endpoint.ID}
	body, err := x.proxy.Upstream.OpenTarget(a.ctx, target, req, a.owns)
	if err != nil {
		return a.sendFailed(err)
	}
	defer body.Close()
	return a.relay(body)
}

func (a *attempt) encode(req *fasthttp.Request) {
	x := a.exchange
	send := UpstreamRequest{
		Endpoint:    a.choice.Endpoint.ID,
		TimeLeft:    x.deadline.Sub(clock.Now()),
		Priority:    -1,
		FetchFrom:   a.choice.FetchFrom,
		LastEventID: x.ask.LastEventID,
	}
	if x.organisation != nil {
		send.Organisation = x.organisation.Name
	}
	if x.route.Kind == fleet.RouteStream {
		send.Priority = min(max(x.priority, 0), maxPriorityClass)
	}
	x.proxy.HeaderCodec.EncodeUpstream(&req.Header, &x.request.Header, send)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.ResetConnectionClose()
	req.Header.SetNoDefaultContentType(true)
	if body := x.request.Body(); len(body) > 0 {
		req.SetBodyRaw(body)
	}
}

// maxPriorityClass is the last rank that engines know.
const maxPriorityClass = 9

// owns tells this attempt's answer from late or extra ones to earlier requests.
func (a *attempt) owns(h *fasthttp.ResponseHeader) bool {
	return a.exchange.proxy.HeaderCodec.DecodeResponse(h).ID == a.exchange.ask.ID
}

func (a *attempt) sendFailed(err error) (outcome, balancer.Result) {
	a.err = err
	switch {
	case errors.Is(err, httpclient.ErrNotSent) && a.ctx.Err() != nil:
		return outcomeNotSent, balancer.ResultCancelled
	case errors.Is(err, httpclient.ErrNotSent):
		return outcomeNotSent, balancer.ResultUnreachable
	case a.ctx.Err() != nil:
		return a.stopped()
	}
	return outcomeFailed, balancer.ResultFailed
}

// stopped is the outcome of an attempt that ended with its context.
func (a *attempt) stopped() (outcome, balancer.Result) {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return outcomeFailed, balancer.ResultFailed
	}
	// The caller has left: there is nobody to tell.
	a.exchange.begin(clock.Now())
	a.exchange.left()
	return outcomeDone, balancer.ResultCancelled
}

func (a *attempt) relay(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	header := &body.Response.Header
	reply := x.proxy.HeaderCodec.DecodeResponse(header)
	a.status = header.StatusCode()
	if reply.KeepAlive > 0 {
		body.SetIdleTimeout(time.Duration(float64(reply.KeepAlive) * keepAliveShare))
	}
	if reply.Load != nil {
		a.placed.ObserveLoad(clock.Now(), reply.Load.Running+reply.Load.Waiting)
	}
	if reply.NotExecuted {
		body.Finish()
		if reply.WrongEndpoint {
			return outcomeNotExecuted, balancer.ResultAddressReused
		}
		return outcomeNotExecuted, balancer.ResultRefused
	}
	if x.route.Kind == fleet.RouteStream && a.status == fasthttp.StatusOK {
		return a.relayStream(body)
	}
	return a.relayWhole(body)
}

// relayWhole passes an answer on once it is complete, so that a part never looks whole.
func (a *attempt) relayWhole(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	content, err := readAll(body)
	if err != nil {
		a.err = err
		if a.ctx.Err() != nil {
			return a.stopped()
		}
		return outcomeFailed, balancer.ResultFailed
	}
	now := clock.Now()
	x.begin(a.sentAt)
	if a.worthRepeating() {
		return outcomeFailed, balancer.ResultError
	}
	defer body.Finish()
	if x.headSent {
		// A stream that was to go on elsewhere was answered by a failure.
		return outcomeFailed, balancer.ResultError
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	copyHeader(&resp.Header, &body.Response.Header)
	resp.SkipBody = x.request.Header.IsHead()
	resp.SetBodyRaw(content)
	x.write(resp)
	x.proxy.events.Answered(x, a, now)
	if a.status >= fasthttp.StatusInternalServerError {
		return outcomeDone, balancer.ResultError
	}
	return outcomeDone, balancer.ResultOK
}

// worthRepeating reports whether another endpoint may do better than this one's error.
func (a *attempt) worthRepeating() bool {
	x := a.exchange
	if a.status < fasthttp.StatusInternalServerError || !x.route.Retryable() {
		return false
	}
	if x.sends+1 >= x.route.MaxAttempts {
		return false
	}
	return x.deadline.Sub(clock.Now()) > 2*a.choice.FirstEvent
}

func readAll(body *httpclient.Body) ([]byte, error) {
	var content []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := body.Read(buffer)
		content = append(content, buffer[:n]...)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
		if len(content) > maxAnswerBytes {
			return nil, errAnswerTooLarge
		}
	}
}

var errAnswerTooLarge = errors.New("answer too large")

// hopHeaders concern the endpoint's connection only.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderProxyConnection,
}

// copyHeader takes over an endpoint's answer header.
func copyHeader(to, from *fasthttp.ResponseHeader) {
	from.CopyTo(to)
	for _, name := range hopHeaders {
		to.Del(name)
	}
	to.ResetConnectionClose()
	to.SetNoDefaultContentType(true)
}
