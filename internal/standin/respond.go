package standin

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code string) {
	writeJSON(ctx, status, errorBody{Error: code})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// decodeBody parses the JSON request body into v. If the body is not valid, it responds
// with 400 and returns false.
func decodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}
