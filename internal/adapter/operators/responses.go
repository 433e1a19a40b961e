package operators

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/findings/jsonc"
)

// The default and the maximum number of audit entries in a response.
const (
	defaultAuditLimit = 100
	maxAuditLimit     = 10_000
)

const contentTypeJSON = "application/json"

func (h *Handler) status(ctx *fasthttp.RequestCtx, _ string) {
	writeOK(ctx, h.backend.Status())
}

func (h *Handler) members(ctx *fasthttp.RequestCtx, _ string) {
	operation, cancel := operationContext()
	defer cancel()
	writeOK(ctx, api.Members{Members: h.backend.Members(operation)})
}

func (h *Handler) drain(ctx *fasthttp.RequestCtx, _ string) {
	var request api.DrainRequest
	document := jsonc.Parse("request", ctx.PostBody())
	document.Decode(&request)
	if request.Node == "" {
		document.Add(jsonc.Path{}.Key("node"), "node is empty", "accepted is the name of a daemon")
	}
	if writeBodyFindings(ctx, document) {
		return
	}
	operation, cancel := operationContext()
	defer cancel()
	status, err := h.backend.Drain(operation, request.Node)
	if err != nil {
		h.writeError(ctx, err)
		return
	}
	writeOK(ctx, status)
}

func (h *Handler) quarantines(ctx *fasthttp.RequestCtx, _ string) {
	writeOK(ctx, h.backend.Quarantines())
}

func (h *Handler) release(ctx *fasthttp.RequestCtx, operator string) {
	var request api.ReleaseRequest
	document := jsonc.Parse("request", ctx.PostBody())
	document.Decode(&request)
	if (len(request.Parts) == 0) == (request.Fingerprint == "") {
		document.Add(jsonc.Path{}.Key("parts"), "the request names no quarantine",
			`accepted is either "fleet" and "parts" or "fingerprint"`)
	}
	if writeBodyFindings(ctx, document) {
		return
	}
	h.backend.Release(operator, request)
	writeOK(ctx, h.backend.Quarantines())
}

func (h *Handler) explain(ctx *fasthttp.RequestCtx, _ string) {
	var request api.ExplainRequest
	document := jsonc.Parse("request", ctx.PostBody())
	document.Decode(&request)
	if (request.Model == "") == (request.Path == "") {
		document.Add(nil, "the request names no call", `accepted is either "model" or "method" and "path"`)
	}
	if writeBodyFindings(ctx, document) {
		return
	}
	writeOK(ctx, h.backend.Explain(request))
}

// writeBodyFindings responds with the findings of a request body and returns true, if
// there are any.
func writeBodyFindings(ctx *fasthttp.RequestCtx, document *jsonc.Document) bool {
	list := document.Findings()
	if len(list) == 0 {
		return false
	}
	writeProblem(ctx, fasthttp.StatusBadRequest, api.Problem{
		Code:     api.CodeBadRequest,
		Message:  "the request is not valid",
		Findings: list,
	})
	return true
}

func (h *Handler) audit(ctx *fasthttp.RequestCtx, _ string) {
	limit := defaultAuditLimit
	if raw := ctx.QueryArgs().Peek(api.QueryLimit); len(raw) > 0 {
		n, err := strconv.Atoi(string(raw))
		if err != nil || n < 1 || n > maxAuditLimit {
			writeProblem(ctx, fasthttp.StatusBadRequest, api.Problem{
				Code:    api.CodeBadRequest,
				Message: "limit is not a number from 1 to " + strconv.Itoa(maxAuditLimit),
				Field:   api.QueryLimit,
			})
			return
		}
		limit = n
	}
	operation, cancel := operationContext()
	defer cancel()
	entries, err := h.backend.Audit(operation, limit)
	if err != nil {
		h.writeError(ctx, err)
		return
	}
	writeOK(ctx, api.Audit{Entries: entries})
}

func writeOK(ctx *fasthttp.RequestCtx, body any) {
	writeJSON(ctx, fasthttp.StatusOK, body)
}

func writeProblem(ctx *fasthttp.RequestCtx, status int, p api.Problem) {
	writeJSON(ctx, status, p)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(raw)
}
