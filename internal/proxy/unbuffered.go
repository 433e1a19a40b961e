package proxy

import (
	"io"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
)

// uncountedBytes is the largest size of a response buffer that is not reserved: a connection takes as much.
const uncountedBytes = 4 << 10

// responseBuffer holds a response that is read, or a part of it, within the budget for bodies. It grows as the response comes.
type responseBuffer struct {
	// budget is nil for a buffer that is not counted.
	budget  *bodybudget.Budget
	holding *bodybudget.Holding
	content []byte
	// uncounted is the largest size that is not reserved; zero for uncountedBytes.
	uncounted int
}

// makeRoom makes room for a number of bytes, if there is less. It returns bodybudget.ErrNoRoom if there is too little memory.
func (b *responseBuffer) makeRoom(bytes int) error {
	if len(b.content)+bytes <= cap(b.content) {
		return nil
	}
	size := max(2*cap(b.content), uncountedBytes, len(b.content)+bytes)
	if size > b.largestUncounted() {
		if err := b.reserve(size); err != nil {
			return err
		}
	}
	larger := make([]byte, len(b.content), size)
	copy(larger, b.content)
	b.giveBack()
	b.content = larger
	return nil
}

func (b *responseBuffer) largestUncounted() int { return max(b.uncounted, uncountedBytes) }

// giveBack returns what is reserved for the content, which is dropped or has been copied.
func (b *responseBuffer) giveBack() {
	if size := cap(b.content); size > b.largestUncounted() && b.holding != nil {
		b.holding.Return(int64(size))
	}
	b.content = nil
}

// reserve reserves a number of bytes. The response is not evicted for others: its request has run.
func (b *responseBuffer) reserve(size int) error {
	if b.budget == nil {
		return nil
	}
	if b.holding == nil {
		b.holding = b.budget.Open(clock.Now(), func() {})
		b.holding.Complete()
	}
	return b.holding.Acquire(int64(size))
}

// free returns the room for further bytes.
func (b *responseBuffer) free() []byte { return b.content[len(b.content):cap(b.content)] }

func (b *responseBuffer) release() { b.holding.Release() }

// relayUnbuffered forwards a response that has begun to come, without holding more of it. If it is cut off, the caller's is
// cut off as well.
func (a *attempt) relayUnbuffered(body *httpclient.Body, begun []byte) (outcome, balancer.Result) {
	x := a.exchange
	now := clock.Now()
	x.markStarted(a.sentAt)
	if !a.mayForward() {
		return outcomeFailed, a.errorResult()
	}
	x.proxy.telemetry.Unbuffered(x, a, len(begun))
	length := -1
	if a.framing == httpclient.FramingLength {
		length = body.Response.Header.ContentLength()
	}
	rest := &passedOn{attempt: a, body: body, begun: begun, came: len(begun), length: length}
	resp := a.newResponse(body)
	defer fasthttp.ReleaseResponse(resp)
	resp.SetBodyStream(rest, length)
	x.sendResponse(resp)
	switch {
	case rest.err != nil:
		a.err = rest.err
		x.abort()
		return outcomeDone, balancer.ResultFailed
	case x.broken:
		a.err = errCallerGone
		return outcomeDone, balancer.ResultCancelled
	}
	a.observeTrailer(body)
	body.Finish()
	return a.forwarded(now)
}

// passedOn reads a response of which a part has been read.
type passedOn struct {
	attempt *attempt
	body    *httpclient.Body
	begun   []byte
	// came is the number of bytes that have come, and length how many there are; negative if that is not known.
	came, length int
	// err is why the response is not whole; nil if it is, as far as it has been read.
	err error
}

// Read implements io.Reader.
func (p *passedOn) Read(to []byte) (int, error) {
	if len(p.begun) > 0 {
		n := copy(to, p.begun)
		p.begun = p.begun[n:]
		return n, nil
	}
	n, err := p.body.Read(to)
	if n > 0 {
		p.attempt.heardEndpoint()
	}
	p.came += n
	if p.err = p.check(err); p.err != nil {
		return n, p.err
	}
	return n, err
}

// check returns why a response of which a part has been read is not whole, nil if it may be, and records that it has ended.
// The caller does not have the end yet.
func (p *passedOn) check(readErr error) error {
	switch {
	case p.came > maxResponseBytes:
		return errResponseTooLarge
	case readErr != nil && readErr != io.EOF:
		return readErr
	case readErr == nil && p.came != p.length:
		return nil
	}
	if err := p.attempt.checkEnd(); err != nil {
		return err
	}
	if !p.attempt.completed {
		p.attempt.recordCompletion()
	}
	return nil
}
