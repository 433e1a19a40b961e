package servebench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/engine"
	"rattanchute/internal/testsite"
)

// variant is one of the two ways of sending requests that are compared: through the daemon or
// directly to the engines.
type variant struct {
	name      string
	model     string
	addresses []string
	// direct selects the engine's protocol instead of the callers' protocol.
	direct       bool
	client       *httpclient.Client
	requestCount atomic.Uint64
	openRequests atomic.Int64
}

// lastRequestNumber makes prompts and stream IDs unique over all variants and runs, so that no
// engine has a part of a prompt in its cache.
var lastRequestNumber atomic.Uint64

func newVariant(name string, f fleetPlan, addresses []string) *variant {
	return &variant{name: name, model: f.model, addresses: addresses, direct: name == directSet,
		client: httpclient.New(httpclient.Options{})}
}

// variants returns both variants for a fleet.
func (s *site) variants(f fleetPlan) (proxied, direct *variant) {
	return newVariant(daemonSet, f, []string{s.daemon.Callers}),
		newVariant(directSet, f, s.addresses(f, directSet))
}

// requestSpec describes one request.
type requestSpec struct {
	// intended is the scheduled start of the request. Latency is measured from here.
	intended time.Time
	tokens   int
	// deadline is how long the caller waits after the scheduled start; zero means until the context of
	// the load ends.
	deadline time.Duration
}

// result is the result of one request.
type result struct {
	requestSpec
	status int
	// receivedTokens is the number of tokens that were received.
	receivedTokens int
	firstToken     time.Time
	ended          time.Time
	completed      bool
}

// buildRequest builds the request and returns the address to send it to. The addresses are used in
// turn.
func (v *variant) buildRequest(req *fasthttp.Request, spec requestSpec) string {
	n := lastRequestNumber.Add(1)
	address := v.addresses[v.requestCount.Add(1)%uint64(len(v.addresses))]
	body := testsite.ModelBody(v.model, prompt(n), spec.tokens, true)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(address)
	req.Header.SetContentType("application/json")
	if !v.direct {
		req.Header.SetRequestURI("/v1/chat/completions")
		req.Header.Set("Authorization", "Bearer "+testsite.CallerKey)
		if spec.deadline > 0 {
			req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(spec.deadline.Milliseconds(), 10))
		}
		req.SetBody(body)
		return address
	}
	req.Header.SetRequestURI("/v1/generate")
	generate, err := json.Marshal(engine.Generate{Stream: engine.StreamID(fmt.Sprintf("bench-%d", n)), Body: body})
	if err != nil {
		// A struct of strings and valid JSON always encodes.
		panic(err)
	}
	req.SetBody(generate)
	return address
}

// prompt returns a text that shares no prefix with the prompt of another request.
func prompt(n uint64) string {
	return strconv.FormatUint(n, 10) + strings.Repeat(" word", promptWords-1)
}

// run sends one request and reads its response. It calls onToken for each token, with the times of
// this token and of the one before it, which is zero for the first.
func (v *variant) run(ctx context.Context, spec requestSpec, onToken func(now, last time.Time)) result {
	v.openRequests.Add(1)
	defer v.openRequests.Add(-1)
	r := result{requestSpec: spec}
	if spec.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, spec.intended.Add(spec.deadline))
		defer cancel()
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	address := v.buildRequest(req, spec)
	body, err := v.client.Open(ctx, address, req)
	if err != nil {
		r.ended = time.Now()
		return r
	}
	r.status = body.Response.StatusCode()
	if r.status == fasthttp.StatusOK {
		r.read(body, onToken)
	}
	r.ended = time.Now()
	if r.completed || r.status != fasthttp.StatusOK {
		body.Finish()
	} else {
		body.Close()
	}
	return r
}

var (
	dataPrefix  = []byte("data: ")
	errorPrefix = []byte(`{"error"`)
	doneMarker  = []byte("[DONE]")
)

// read counts the tokens of a streamed response, records the time of the first and passes the times
// of all to onToken.
func (r *result) read(body *httpclient.Body, onToken func(now, last time.Time)) {
	lines := bufio.NewScanner(body)
	var last time.Time
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			r.completed = r.receivedTokens == r.tokens
			return
		}
		if bytes.HasPrefix(data, errorPrefix) {
			return
		}
		now := time.Now()
		if r.receivedTokens == 0 {
			r.firstToken = now
		}
		r.receivedTokens++
		onToken(now, last)
		last = now
	}
}

// good reports whether the response was complete, with its first token within the target and its
// end within the deadline.
func (r result) good() bool {
	return r.inTime() && r.firstToken.Sub(r.intended) <= firstTokenTarget
}

// inTime reports whether the response was complete within the deadline.
func (r result) inTime() bool {
	return r.completed && r.ended.Sub(r.intended) <= r.deadline
}
