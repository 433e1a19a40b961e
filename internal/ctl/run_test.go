package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
)

// daemon is a fake daemon that responds to each call with a prepared body.
type daemon struct {
	address  string
	handlers map[string]func(ctx *fasthttp.RequestCtx)
}

func startDaemon(t *testing.T) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{address: listener.Addr().String(), handlers: map[string]func(*fasthttp.RequestCtx){}}
	server := &fasthttp.Server{Handler: d.serve}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := errors.Join(server.Shutdown(), <-done); err != nil {
			t.Error(err)
		}
	})
	return d
}

func (d *daemon) serve(ctx *fasthttp.RequestCtx) {
	if handler, found := d.handlers[string(ctx.Method())+" "+string(ctx.Path())]; found {
		handler(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// setResponses sets the bodies of successive responses to a call. The last one is repeated.
func (d *daemon) setResponses(call string, bodies ...any) {
	served := 0
	d.handlers[call] = func(ctx *fasthttp.RequestCtx) {
		body := bodies[min(served, len(bodies)-1)]
		served++
		if _, isProblem := body.(api.Problem); isProblem {
			ctx.SetStatusCode(fasthttp.StatusConflict)
		}
		raw, _ := json.Marshal(body)
		ctx.SetBody(raw)
	}
}

type toolResult struct {
	code           int
	stdout, stderr string
}

// runTool runs a command line with a fake clock that only Sleep advances.
func runTool(servers string, args ...string) toolResult {
	var stdout, stderr bytes.Buffer
	clock := time.Unix(0, 0)
	variables := map[string]string{envServer: servers, envKey: "key"}
	files := map[string]string{"good": "{}", "bad": "{\n\"x\": 1}"}
	env := Environment{
		Stdout: &stdout,
		Stderr: &stderr,
		LookupEnv: func(name string) (string, bool) {
			value, found := variables[name]
			return value, found
		},
		ReadFile: func(name string) ([]byte, error) {
			if text, found := files[name]; found {
				return []byte(text), nil
			}
			return nil, errors.New("no such file")
		},
		Now:   func() time.Time { return clock },
		Sleep: func(d time.Duration) { clock = clock.Add(d) },
		NewID: func() string { return "id-1" },
	}
	code := Run(args, env)
	return toolResult{code, stdout.String(), stderr.String()}
}

const (
	callGet     = "GET " + api.PathConfiguration
	callPut     = "PUT " + api.PathConfiguration
	callMembers = "GET " + api.PathMembers
)

func TestValidateNeedsNoDaemon(t *testing.T) {
	is := is.New(t)
	is.Equal(runTool("", "validate", "good").code, ExitOK)
	bad := runTool("", "validate", "bad")
	is.Equal(bad.code, ExitRefused)
	is.True(strings.HasPrefix(bad.stderr, `bad:2:1: unknown key "x"; accepted are`))
	encoded := runTool("", "validate", "bad", "--output", "json")
	var f failure
	is.NoErr(json.Unmarshal([]byte(encoded.stdout), &f))
	is.Equal(f.Findings[0].Line, 2)
	is.Equal(runTool("", "validate", "missing").code, ExitUsage)
	is.Equal(runTool("", "validate", "good", "--output", "xml").code, ExitUsage)
}

func TestApplyExitCodes(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	ok := api.Applied{Entry: configstore.Entry{ID: "id-1", To: 8}}
	d.setResponses(callPut, ok)
	is.Equal(runTool(d.address, "apply", "good").code, ExitUsage) // no base
	is.Equal(runTool(d.address, "apply", "good", "--base", "7").code, ExitOK)
	is.Equal(runTool("127.0.0.1:1,"+d.address, "apply", "good", "--base", "7").code, ExitOK) // second server
	d.setResponses(callPut, api.Problem{Code: api.CodeConflict, Conflict: &api.Conflict{Base: 7, Current: 9}})
	conflict := runTool(d.address, "apply", "good", "--base", "7")
	is.Equal(conflict.code, ExitConflict)
	is.True(strings.Contains(conflict.stderr, "--base 9"))
	d.setResponses(callPut, api.Problem{Code: api.CodeUnknownEffect}, api.Problem{Code: api.CodeUnavailable}, ok)
	is.Equal(runTool(d.address, "apply", "good", "--base", "7").code, ExitOK) // resolved by sending the same id again
	d.setResponses(callPut, api.Problem{Code: api.CodeUnknownEffect})
	unknown := runTool(d.address, "apply", "good", "--base", "7")
	is.Equal(unknown.code, ExitUnreachable)
	is.True(strings.Contains(unknown.stderr, "whether change id-1 was accepted is not known"))
	d.setResponses(callPut, api.Problem{Code: api.CodeUnauthorised})
	is.Equal(runTool(d.address, "apply", "good", "--base", "7").code, ExitRefused)
	is.Equal(runTool("127.0.0.1:1", "get").code, ExitUnreachable)
}

func TestApplyWaitsAndNamesLaggingDaemons(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	members := func(slow *api.Status) api.Members {
		return api.Members{Members: []api.Member{
			{Node: "fast", State: api.MemberLive, Status: &api.Status{Generation: 8}},
			{Node: "slow", State: api.MemberSuspect, Status: slow, Problem: "no answer"},
			{Node: "dead", State: api.MemberDead},
		}}
	}
	d.setResponses(callPut, api.Applied{Entry: configstore.Entry{To: 8}})
	d.setResponses(callMembers, members(nil), members(&api.Status{Generation: 7}), members(&api.Status{Generation: 8}))
	done := runTool(d.address, "apply", "good", "--base", "7", "--wait")
	is.Equal(done.code, ExitOK)
	is.True(strings.Contains(done.stdout, "in force on 2 daemons"))
	d.setResponses(callMembers, members(&api.Status{Generation: 7}))
	lagging := runTool(d.address, "apply", "good", "--base", "7", "--wait", "--output", "json")
	is.Equal(lagging.code, ExitNotInForce)
	var f struct {
		Lagging []Lagging
		Result  applyResult
	}
	is.NoErr(json.Unmarshal([]byte(lagging.stdout), &f))
	is.Equal(f.Result.InForce, []string{"fast"})
	is.Equal(f.Lagging, []Lagging{{Node: "slow", Generation: fleet.Generation(7)}})
	d.setResponses(callMembers, members(nil))
	silent := runTool(d.address, "apply", "good", "--base", "7", "--wait")
	is.Equal(silent.code, ExitNotInForce)
	is.True(strings.Contains(silent.stderr, "slow (no answer)"))
}

func TestReadOnlyCommandsAndDrain(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	d.setResponses(callGet, api.Configuration{Generation: 3, Text: `{"data_centres": [{"name": "a", "region": "r"}]}`})
	d.setResponses(callMembers, api.Members{Members: []api.Member{
		{Node: "n1", State: api.MemberLive, Status: &api.Status{Ready: true, PlatformReachable: true}},
		{Node: "n2", State: api.MemberDead},
	}})
	d.setResponses("POST "+api.PathDrain, api.Status{Node: "n1"})
	d.setResponses("POST "+api.PathExplain, api.Explanation{Fleet: "llm", Endpoints: []api.EndpointDecision{{Endpoint: "e1"}}})
	quarantines := api.Quarantines{Quarantines: []api.Quarantine{{Fleet: "llm", Parts: []string{"p", "q"}, Crashes: 3}}}
	d.setResponses("GET "+api.PathQuarantines, quarantines)
	d.setResponses("POST "+api.PathRelease, api.Quarantines{})
	d.setResponses("GET "+api.PathAudit, api.Audit{Entries: []configstore.Entry{{Operator: "ana", To: 3}}})
	for _, c := range []struct{ args, want string }{
		{"get", `"name": "a"`},
		{"diff good", `data_centres/a: {"name":"a","region":"r"} -> absent`},
		{"status", "reachable"},
		{"drain n1", "n1 is draining"},
		{"explain --organisation o --model m", "e1"},
		{"quarantines", "p,q"},
		{"release llm p,q", "no quarantines"},
		{"release-request Zm9v", "no quarantines"},
		{"audit --limit 1", "ana: generation 0 -> 3"},
		{"version", "\n"},
	} {
		got := runTool(d.address, strings.Fields(c.args)...)
		is.Equal(got.code, ExitOK)
		is.True(strings.Contains(got.stdout, c.want))
		encoded := runTool(d.address, append(strings.Fields(c.args), "--output", "json")...)
		is.True(json.Valid([]byte(encoded.stdout)))
	}
	d.setResponses("POST "+api.PathDrain, api.Problem{Code: api.CodeNotFound})
	is.Equal(runTool(d.address, "drain", "n9").code, ExitRefused)
	is.Equal(runTool(d.address, "explain", "--model", "m").code, ExitUsage)
}
