// Package callers is the HTTP listener for callers: chat completions, the model list
// and a pass-through for plain services. It reads requests, tells organisations apart
// by their key, and writes answers; what happens to a request is package dispatcher's.
package callers
