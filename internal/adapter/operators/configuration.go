package operators

import (
	"errors"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/findings"
	"rattanchute/internal/fleet"
)

// maxHeaderValueBytes bounds the headers with the id and the file name of a change.
const maxHeaderValueBytes = 128

// retryAfterSeconds is the Retry-After value of error responses with status 503. The readiness
// check has none.
const retryAfterSeconds = "1"

func (h *Handler) configuration(ctx *fasthttp.RequestCtx, _ string) {
	operation, cancel := operationContext()
	defer cancel()
	c, err := h.backend.Configuration(operation)
	if err != nil {
		h.writeError(ctx, err)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(uint64(c.Generation), 10)))
	writeOK(ctx, c)
}

func (h *Handler) apply(ctx *fasthttp.RequestCtx, operator string) {
	base, ok := baseGeneration(ctx)
	if !ok {
		writeHeaderProblem(ctx, api.HeaderIfMatch, `the generation that the text was derived from, such as "12"`)
		return
	}
	id := string(ctx.Request.Header.Peek(api.HeaderChangeID))
	if id == "" || len(id) > maxHeaderValueBytes {
		writeHeaderProblem(ctx, api.HeaderChangeID, "a unique id of at most 128 bytes")
		return
	}
	file := string(ctx.Request.Header.Peek(api.HeaderFile))
	if file == "" || len(file) > maxHeaderValueBytes {
		file = "configuration"
	}
	operation, cancel := operationContext()
	defer cancel()
	accepted, err := h.backend.Apply(operation, configstore.Change{
		ID:       id,
		Operator: operator,
		Base:     base,
		File:     file,
		Text:     string(ctx.PostBody()),
	})
	if err != nil {
		h.writeError(ctx, err)
		return
	}
	writeOK(ctx, api.Applied{Entry: accepted.Entry})
}

func baseGeneration(ctx *fasthttp.RequestCtx) (fleet.Generation, bool) {
	header := string(ctx.Request.Header.Peek(api.HeaderIfMatch))
	n, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	return fleet.Generation(n), err == nil
}

func writeHeaderProblem(ctx *fasthttp.RequestCtx, name, accepted string) {
	writeProblem(ctx, fasthttp.StatusBadRequest, api.Problem{
		Code:    api.CodeBadRequest,
		Message: "header " + name + " is missing or wrong; accepted is " + accepted,
		Field:   name,
	})
}

// writeError maps an error of the backend to a response. Errors of no known kind are
// reported as unavailable.
func (h *Handler) writeError(ctx *fasthttp.RequestCtx, err error) {
	var list findings.List
	var conflict *configstore.ConflictError
	var unknown *configstore.UnknownOutcomeError
	p := api.Problem{Message: err.Error()}
	switch {
	case errors.As(err, &list):
		p.Code = api.CodeFindings
		p.Message = "the configuration is not valid"
		p.Findings = list
		writeProblem(ctx, fasthttp.StatusUnprocessableEntity, p)
	case errors.As(err, &conflict):
		p.Code = api.CodeConflict
		p.Conflict = &api.Conflict{
			Base:        conflict.Base,
			Current:     conflict.Current,
			BaseKnown:   conflict.BaseKnown,
			Differences: conflict.Differences,
		}
		writeProblem(ctx, fasthttp.StatusConflict, p)
	case errors.Is(err, ErrUnknownNode):
		p.Code = api.CodeNotFound
		writeProblem(ctx, fasthttp.StatusNotFound, p)
	case errors.As(err, &unknown):
		p.Code = api.CodeUnknownEffect
		writeUnavailable(ctx, p)
	default:
		p.Code = api.CodeUnavailable
		writeUnavailable(ctx, p)
	}
}

func writeUnavailable(ctx *fasthttp.RequestCtx, p api.Problem) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	writeProblem(ctx, fasthttp.StatusServiceUnavailable, p)
}
