package httpclient

import "github.com/valyala/fasthttp"

// HeaderValues returns copies of all values of a header field; the results of PeekAll are valid only until
// its next call.
func HeaderValues(h *fasthttp.ResponseHeader, name string) []string {
	var values []string
	for _, value := range h.PeekAll(name) {
		values = append(values, string(value))
	}
	return values
}
