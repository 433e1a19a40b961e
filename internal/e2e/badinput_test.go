package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/testsite"
)

// badRequest is a request that must be refused without being sent to any endpoint.
type badRequest struct {
	name    string
	method  string
	path    string
	body    string
	headers []testsite.Header
	status  int
	code    string
	field   string
}

var badRequests = []badRequest{
	{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "bad_request", "body"},
	{"wrong type", "POST", "/v1/chat/completions", `{"model":7}`, nil, 400, "bad_request", "model"},
	{"no messages", "POST", "/v1/chat/completions", `{"model":"test-model"}`, nil, 400, "bad_request", "messages"},
	{"unknown model", "POST", "/v1/chat/completions", `{"model":"x","messages":[{"role":"u"}]}`, nil, 404, "unknown_model", "model"},
	{"wrong method", "PUT", "/v1/chat/completions", `{}`, nil, 405, "method_not_allowed", ""},
	{"unknown path", "GET", "/nowhere", "", nil, 404, "unknown_path", "path"},
	{"bad priority", "GET", "/app/x", "", []testsite.Header{{Name: "X-Priority", Value: "11"}}, 400, "bad_request", "X-Priority"},
	{"bad timeout", "GET", "/app/x", "", []testsite.Header{{Name: "X-Request-Timeout-Ms", Value: "-1"}}, 400, "bad_request", "X-Request-Timeout-Ms"},
	{"long key", "POST", "/app/book", "", []testsite.Header{{Name: "Idempotency-Key", Value: strings.Repeat("k", 300)}}, 400, "bad_request", "Idempotency-Key"},
	{"forged token", "POST", "/v1/chat/completions", `{"model":"test-model","messages":[{"role":"u"}],"stream":true}`,
		[]testsite.Header{{Name: outcome.HeaderResumeToken, Value: "e30.e30"}}, 403, "bad_resume_token", "X-Resume-Token"},
	{"bad event id", "POST", "/v1/chat/completions", `{"model":"test-model","messages":[{"role":"u"}],"stream":true}`,
		[]testsite.Header{{Name: "Last-Event-ID", Value: "x"}}, 400, "bad_request", "Last-Event-ID"},
	{"large body", "POST", "/v1/chat/completions", strings.Repeat("x", 9<<20), nil, 413, "body_too_large", ""},
	{"header flood", "GET", "/app/x", "", []testsite.Header{{Name: "X-Flood", Value: strings.Repeat("x", 128<<10)}}, 431, "headers_too_large", ""},
}

func TestBadInputIsRefusedWithoutDispatch(t *testing.T) {
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Services: 1, Engine: smallEngine})
	address := s.Daemons[0].Callers
	for _, tc := range badRequests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			caller := testsite.NewCaller(testsite.CallerKey, address)
			resp, err := caller.Call(t.Context(), tc.method, tc.path, []byte(tc.body), tc.headers...)
			is.NoErr(err)
			is.Equal(resp.Status, tc.status)
			is.Equal(resp.Error.Code, tc.code)
			is.Equal(resp.Error.Field, tc.field)
			is.Equal(resp.Error.Outcome, outcome.NotRun)
		})
	}
	t.Run("wrong key", func(t *testing.T) {
		is := is.New(t)
		resp, err := testsite.NewCaller("wrong", address).Call(t.Context(), http.MethodGet, "/v1/models", nil)
		is.NoErr(err)
		is.Equal(resp.Status, http.StatusUnauthorized)
	})
	t.Run("nothing was dispatched", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(s.Standin.Engine("engine-0").Ledger()), 0)
		is.Equal(s.Standin.Service("service-0").Ledger().Runs, 0)
	})
	t.Run("the daemon serves", func(t *testing.T) {
		for _, r := range startJobs(s, newJobs(1, 3))() {
			r.check(t)
		}
	})
}

// TestSlowHeaderSendersAreDisconnected opens connections that never finish their headers.
// They must not keep other requests from being served, and must end with a timeout.
func TestSlowHeaderSendersAreDisconnected(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Engine: smallEngine, ReadHeaderTimeout: "300ms"})
	var conns []net.Conn
	for range 50 {
		conn, err := net.Dial("tcp", s.Daemons[0].Callers)
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-A:")
		is.NoErr(err)
		conns = append(conns, conn)
	}
	for _, r := range startJobs(s, newJobs(2, 3))() {
		r.check(t)
	}
	for _, conn := range conns {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	}
}
