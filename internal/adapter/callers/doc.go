// Package callers is the HTTP server for callers: chat completions, the model list and
// a reverse proxy for plain services. It parses requests, identifies organisations by
// their API key and writes responses; package dispatcher runs the requests.
package callers
