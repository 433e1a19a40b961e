package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// attempt is one generation at one endpoint, new or attached to.
type attempt struct {
	endpoint   fleet.Endpoint
	stream     engine.StreamID
	cancel     context.CancelFunc
	received   chan received
	started    time.Time
	firstToken time.Duration
}

// received is a chunk or an error that the reader received from the engine.
type received struct {
	chunk engine.Chunk
	err   error
}

// startAttempt begins an attempt and starts its reader.
func (c *ChatStream) startAttempt(endpoint fleet.Endpoint, g engine.Generate) {
	ctx, cancel := context.WithCancel(c.ctx)
	a := &attempt{
		endpoint: endpoint,
		stream:   g.Stream,
		cancel:   cancel,
		received: make(chan received, c.service.settings.ChunkBuffer),
		started:  c.service.now(),
	}
	c.current = a
	c.attempts++
	c.service.router.Begin(endpoint.Name)
	c.progress.set(location{endpoint: endpoint, stream: g.Stream}, c.machine.Offset())
	c.service.streams.add(endpoint.Name, c)
	client := c.service.engines
	c.service.pool.Submit(func() { a.run(ctx, client, g) })
}

// run reads the engine's stream until it ends or the attempt is cancelled.
func (a *attempt) run(ctx context.Context, client engine.Client, g engine.Generate) {
	stream, err := client.Generate(ctx, a.endpoint.Address, g)
	if err != nil {
		a.deliver(ctx, received{err: err})
		return
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			err = fmt.Errorf("stream ended early: %w", io.ErrUnexpectedEOF)
		}
		if !a.deliver(ctx, received{chunk: chunk, err: err}) {
			return
		}
		if err != nil || chunk.Finish != "" {
			return
		}
	}
}

// deliver passes r to the stream; it returns false if the attempt was cancelled.
func (a *attempt) deliver(ctx context.Context, r received) bool {
	select {
	case a.received <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *attempt) chunkArrived(now time.Time) {
	if a.firstToken == 0 {
		a.firstToken = now.Sub(a.started)
	}
}

// receive waits for the current attempt's next chunk. An error means that the attempt is over:
// it failed or timed out, the stream is to move (errMoved), or the request has ended.
func (c *ChatStream) receive() (engine.Chunk, error) {
	timeout := c.service.settings.ChunkTimeout
	if c.current.firstToken == 0 {
		timeout = c.service.settings.FirstChunkTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		// Chunks that the old endpoint has already sent are delivered before a move.
		select {
		case r := <-c.current.received:
			return r.chunk, r.err
		default:
		}
		select {
		case r := <-c.current.received:
			return r.chunk, r.err
		case m := <-c.moves:
			if c.applyMove(m) {
				return engine.Chunk{}, errMoved
			}
		case <-timer.C:
			return engine.Chunk{}, errChunkTimeout
		case <-c.ctx.Done():
			return engine.Chunk{}, c.ctx.Err()
		}
	}
}

// endAttempt closes the current attempt and reports its result.
func (c *ChatStream) endAttempt(r route.Result) {
	a := c.current
	c.current = nil
	a.cancel()
	c.service.streams.remove(a.endpoint.Name, c)
	now := c.service.now()
	r.FirstToken = a.firstToken
	r.Duration = now.Sub(a.started)
	c.service.router.End(now, a.endpoint.Name, r)
	c.service.metrics.Attempts.WithLabelValues(resultLabel(r)).Inc()
}

// resultOf returns the result reported to the router: whether the endpoint is at fault for err.
func resultOf(err error) route.Result {
	return route.Result{Failed: !isNotEndpointFault(err)}
}

// isNotEndpointFault reports whether err ended an attempt through no fault of the endpoint.
func isNotEndpointFault(err error) bool {
	return errors.Is(err, context.Canceled) ||
		errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, engine.ErrNoStream) ||
		errors.Is(err, engine.ErrClosed) ||
		errors.Is(err, errMoved)
}

func resultLabel(r route.Result) string {
	switch {
	case r.OK:
		return "ok"
	case r.Failed:
		return "failed"
	default:
		return "ended"
	}
}
