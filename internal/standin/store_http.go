package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/objectstore"
)

// maxWatchWait limits the wait of a watch over HTTP.
const maxWatchWait = 60 * time.Second

// listResponse is the response body of a list call.
type listResponse struct {
	Version objectstore.Version  `json:"version"`
	Objects []objectstore.Object `json:"objects"`
}

// watchResponse is the response body of a watch call.
type watchResponse struct {
	Version objectstore.Version `json:"version"`
	Events  []objectstore.Event `json:"events"`
}

// objectRequest is the target of an object store call. name is empty for a call on all objects
// of a kind. ifMatch is the expected version; zero if the request has none, which conflicts
// with every stored object.
type objectRequest struct {
	kind    objectstore.Kind
	name    string
	ifMatch objectstore.Version
}

// handleObjects serves the HTTP API of the object store. The end of lifetime ends waiting
// watches.
func (s *Store) handleObjects(lifetime context.Context, ctx *fasthttp.RequestCtx) {
	r, ok := parseObjectRequest(ctx)
	if !ok {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_path")
		return
	}
	if r.name == "" {
		s.handleKind(lifetime, ctx, r)
		return
	}
	value := append(json.RawMessage(nil), ctx.PostBody()...)
	if (ctx.IsPost() || ctx.IsPut()) && !json.Valid(value) {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_json")
		return
	}
	target := objectstore.Object{Kind: r.kind, Name: r.name, Version: r.ifMatch, Value: value}
	var o objectstore.Object
	var err error
	status := fasthttp.StatusOK
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		o, err = s.Get(lifetime, r.kind, r.name)
	case fasthttp.MethodPost:
		status = fasthttp.StatusCreated
		o, err = s.Create(lifetime, r.kind, r.name, value)
	case fasthttp.MethodPut:
		if string(ctx.QueryArgs().Peek("part")) == "status" {
			target.Value, target.Status = nil, value
			o, err = s.UpdateStatus(lifetime, target)
			break
		}
		o, err = s.Update(lifetime, target)
	case fasthttp.MethodDelete:
		status = fasthttp.StatusNoContent
		err = s.Delete(lifetime, target)
	default:
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "bad_method")
		return
	}
	if err != nil {
		s.writeStoreError(ctx, err)
		return
	}
	if status == fasthttp.StatusNoContent {
		ctx.SetStatusCode(status)
		return
	}
	writeJSON(ctx, status, o)
}

// parseObjectRequest parses "/objects/{kind}/{name}". It uses the raw request target, so
// that a name may contain any character, an escaped slash included.
func parseObjectRequest(ctx *fasthttp.RequestCtx) (objectRequest, bool) {
	var r objectRequest
	path, _, _ := strings.Cut(string(ctx.RequestURI()), "?")
	path = strings.TrimPrefix(path, "/objects/")
	rawKind, rawName, _ := strings.Cut(path, "/")
	kind, kindErr := url.PathUnescape(rawKind)
	name, nameErr := url.PathUnescape(rawName)
	r.kind, r.name = objectstore.Kind(kind), name
	if ifMatch := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)); ifMatch != "" {
		v, err := strconv.ParseUint(ifMatch, 10, 64)
		if err != nil {
			return r, false
		}
		r.ifMatch = objectstore.Version(v)
	}
	return r, kindErr == nil && nameErr == nil && kind != ""
}

// handleKind serves the calls on all objects of a kind: list and watch.
func (s *Store) handleKind(lifetime context.Context, ctx *fasthttp.RequestCtx, r objectRequest) {
	if !ctx.IsGet() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "bad_method")
		return
	}
	args := ctx.QueryArgs()
	if !args.Has("watch") {
		objects, version, err := s.List(lifetime, r.kind)
		if err != nil {
			s.writeStoreError(ctx, err)
			return
		}
		writeJSON(ctx, fasthttp.StatusOK, listResponse{Version: version, Objects: objects})
		return
	}
	after, err := strconv.ParseUint(string(args.Peek("watch")), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_version")
		return
	}
	wait := min(millis(args.GetUintOrZero("timeout_ms")), maxWatchWait)
	events, version, err := s.WatchFor(lifetime, r.kind, objectstore.Version(after), wait)
	if err != nil {
		s.writeStoreError(ctx, err)
		return
	}
	if events == nil {
		events = []objectstore.Event{}
	}
	writeJSON(ctx, fasthttp.StatusOK, watchResponse{Version: version, Events: events})
}

func (s *Store) writeStoreError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		writeError(ctx, fasthttp.StatusNotFound, "not_found")
	case errors.Is(err, objectstore.ErrConflict):
		writeError(ctx, fasthttp.StatusConflict, "conflict")
	case errors.Is(err, objectstore.ErrTooLarge):
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "too_large")
	case errors.Is(err, objectstore.ErrThrottled):
		writeError(ctx, fasthttp.StatusTooManyRequests, "throttled")
	case errors.Is(err, objectstore.ErrCompacted):
		writeError(ctx, fasthttp.StatusGone, "compacted")
	default:
		s.writeUnavailable(ctx)
	}
}

func (s *Store) writeUnavailable(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	cut := s.faults.CutConnection
	s.mu.Unlock()
	if cut {
		_ = ctx.Conn().Close()
		return
	}
	writeError(ctx, fasthttp.StatusServiceUnavailable, "unavailable")
}
