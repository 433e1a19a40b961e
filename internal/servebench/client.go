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

// arm is one of the two ways that are compared.
type arm struct {
	name      string
	model     string
	addresses []string
	// direct speaks the engine's protocol, else the callers'.
	direct   bool
	exchange *httpclient.Client
	turn     atomic.Uint64
	open     atomic.Int64
}

// numbers makes prompts and stream ids differ over all arms and runs, so that no engine
// has anything of a request in its cache.
var numbers atomic.Uint64

func newArm(name string, f fleetPlan, addresses []string) *arm {
	return &arm{name: name, model: f.model, addresses: addresses, direct: name == reachedAlone,
		exchange: httpclient.New(httpclient.Options{})}
}

// arms are both ways to a fleet: through the daemon and straight to the engines.
func (s *site) arms(f fleetPlan) (through, direct *arm) {
	return newArm(behindDaemon, f, []string{s.daemon.Callers}),
		newArm(reachedAlone, f, s.addresses(f, reachedAlone))
}

// wish is one request.
type wish struct {
	// intended is when the request was due; latency counts from here.
	intended time.Time
	tokens   int
	// deadline is how long the caller waits; zero is as long as the load runs.
	deadline time.Duration
}

// result is what became of a request.
type result struct {
	wish
	status int
	// tokens counts those that arrived.
	arrived   int
	first     time.Time
	ended     time.Time
	completed bool
}

// request builds the request; it goes to the addresses in turn.
func (a *arm) request(req *fasthttp.Request, w wish) string {
	n := numbers.Add(1)
	address := a.addresses[a.turn.Add(1)%uint64(len(a.addresses))]
	body := testsite.ModelBody(a.model, prompt(n), w.tokens, true)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(address)
	req.Header.SetContentType("application/json")
	if !a.direct {
		req.Header.SetRequestURI("/v1/chat/completions")
		req.Header.Set("Authorization", "Bearer "+testsite.CallerKey)
		if w.deadline > 0 {
			req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(w.deadline.Milliseconds(), 10))
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

// prompt is a text that shares no prefix with another request's.
func prompt(n uint64) string {
	return strconv.FormatUint(n, 10) + strings.Repeat(" word", promptWords-1)
}

// run sends one request and reads its answer; onToken is told of each token.
func (a *arm) run(ctx context.Context, w wish, onToken func(now, last time.Time)) result {
	a.open.Add(1)
	defer a.open.Add(-1)
	r := result{wish: w}
	if w.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, w.intended.Add(w.deadline))
		defer cancel()
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	address := a.request(req, w)
	body, err := a.exchange.Open(ctx, address, req)
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

// read counts and times the tokens of a streamed answer.
func (r *result) read(body *httpclient.Body, onToken func(now, last time.Time)) {
	lines := bufio.NewScanner(body)
	var last time.Time
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			r.completed = r.arrived == r.tokens
			return
		}
		if bytes.HasPrefix(data, errorPrefix) {
			return
		}
		now := time.Now()
		if r.arrived == 0 {
			r.first = now
		}
		r.arrived++
		onToken(now, last)
		last = now
	}
}

// good tells whether a request was answered whole, with its first token in the target
// and by its deadline.
func (r result) good() bool {
	return r.inTime() && r.first.Sub(r.intended) <= firstTokenTarget
}

// inTime tells whether a request was answered whole by its deadline.
func (r result) inTime() bool {
	return r.completed && r.ended.Sub(r.intended) <= r.deadline
}
