package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/engine"
)

// handle serves the HTTP API of the engine.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		e.handleFaults(ctx)
		return
	}
	if path == "/v1/generate" {
		e.handleGenerate(ctx)
		return
	}
	f := e.currentFaults()
	if f.Freeze && !f.wait() {
		_ = ctx.Conn().Close()
		return
	}
	f.signal(ctx)
	switch {
	case path == "/v1/load":
		writeJSON(ctx, fasthttp.StatusOK, e.Load())
	case path == "/v1/state":
		writeJSON(ctx, fasthttp.StatusOK, e.State())
	case path == "/v1/ledger":
		writeJSON(ctx, fasthttp.StatusOK, e.sortedLedger())
	case path == "/v1/cache/events":
		e.handleCacheEvents(ctx)
	case path == "/v1/orders":
		e.handleOrder(ctx)
	case strings.HasPrefix(path, "/v1/kv/"):
		e.handleKV(ctx, strings.TrimPrefix(path, "/v1/kv/"))
	case strings.HasPrefix(path, "/v1/streams/"):
		e.handleCancel(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	}
}

func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	e.received.Add(1)
	faults := e.takeFaults()
	if !faults.wait() {
		_ = ctx.Conn().Close()
		return
	}
	faults.signal(ctx)
	if faults.Refuse {
		faults.refuse(ctx)
		return
	}
	var g engine.Generate
	if err := json.Unmarshal(ctx.PostBody(), &g); err != nil || g.Offset < 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	s, err := e.open(g)
	if err != nil {
		writeEngineError(ctx, err)
		return
	}
	if g.Offset >= s.prompt.MaxTokens {
		e.detach(s)
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	if faults.crashesOn(g.Body) {
		faults.CutAfterChunks = 1
		defer e.crash(millis(faults.CrashMillis))
	}
	w := &chunkWriter{engine: e, stream: s, offset: g.Offset, faults: faults.Faults, conn: ctx.Conn()}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(w.writeAll)
}

func writeEngineError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, engine.ErrNoStream):
		writeError(ctx, fasthttp.StatusNotFound, "no_stream")
	case errors.Is(err, engine.ErrNotSent):
		writeError(ctx, fasthttp.StatusServiceUnavailable, "refused")
	case errors.Is(err, engine.ErrFenced):
		writeError(ctx, fasthttp.StatusConflict, "fenced")
	case errors.Is(err, errBadRequest):
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
	default:
		writeError(ctx, fasthttp.StatusBadGateway, err.Error())
	}
}

// chunkWriter sends the chunks of a stream to one reader.
type chunkWriter struct {
	engine *Engine
	stream *stream
	offset int
	faults Faults
	conn   net.Conn
	sent   int
}

// writeAll sends chunks until the last one is sent, the stream is cancelled, the reader
// disconnects or a fault closes the connection.
func (c *chunkWriter) writeAll(w *bufio.Writer) {
	defer c.engine.detach(c.stream)
	for {
		chunk, ok := c.stream.chunk(c.offset)
		if !ok {
			return
		}
		if f := c.engine.currentFaults(); f.Freeze && !f.wait() {
			return
		}
		if c.sent == 0 || chunk.Finish != "" {
			load := c.engine.Load()
			chunk.Load = &load
		}
		if !c.write(w, chunk) {
			return
		}
		c.offset++
		c.sent++
		if c.sent == c.faults.CutAfterChunks {
			_ = c.conn.Close()
			return
		}
		if chunk.Finish != "" {
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
			return
		}
	}
}

// write sends one chunk and the extra chunks that the faults demand. It reports whether
// the reader is still connected.
func (c *chunkWriter) write(w *bufio.Writer, chunk engine.Chunk) bool {
	if c.faults.ForeignChunks {
		foreign := chunk
		foreign.Stream += "-foreign"
		foreign.Text = " foreign"
		writeEvent(w, foreign)
	}
	writeEvent(w, chunk)
	if c.faults.DuplicateChunks {
		writeEvent(w, chunk)
	}
	return w.Flush() == nil
}

func writeEvent(w *bufio.Writer, chunk engine.Chunk) {
	b, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
}

func (e *Engine) sortedLedger() []LedgerEntry {
	list := []LedgerEntry{}
	for _, entry := range e.Ledger() {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Stream < list[j].Stream })
	return list
}

// cacheEventsResponse is the response body of the cache event log.
type cacheEventsResponse struct {
	Events []engine.CacheEvent `json:"events"`
}

func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	e.mu.Lock()
	events := e.cache.events.after(after, time.Now())
	e.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, cacheEventsResponse{Events: events})
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
		return
	}
	if err := e.Order(o); err != nil {
		writeEngineError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, e.State())
}

// exportRequest names the stream whose KV cache is exported.
type exportRequest struct {
	Stream engine.StreamID `json:"stream"`
}

func (e *Engine) handleKV(ctx *fasthttp.RequestCtx, action string) {
	switch action {
	case "export":
		var r exportRequest
		_ = json.Unmarshal(ctx.PostBody(), &r)
		blob, err := e.ExportKV(r.Stream)
		if err != nil {
			writeEngineError(ctx, err)
			return
		}
		writeJSON(ctx, fasthttp.StatusOK, blob)
	case "import":
		var b engine.KVBlob
		if json.Unmarshal(ctx.PostBody(), &b) != nil {
			writeError(ctx, fasthttp.StatusBadRequest, "bad_request")
			return
		}
		if err := e.ImportKV(b); err != nil {
			writeEngineError(ctx, err)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "content":
		hashes, ok := e.exportedHashes(engine.StreamID(ctx.QueryArgs().Peek("stream")))
		if !ok {
			writeError(ctx, fasthttp.StatusNotFound, "no_export")
			return
		}
		writeJSON(ctx, fasthttp.StatusOK, kvHashes{Hashes: hashes})
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	}
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	raw := strings.TrimPrefix(string(ctx.RequestURI()), "/v1/streams/")
	raw, ok := strings.CutSuffix(raw, "/cancel")
	id, err := url.PathUnescape(raw)
	if !ok || err != nil {
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
		return
	}
	e.Cancel(engine.StreamID(id))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
