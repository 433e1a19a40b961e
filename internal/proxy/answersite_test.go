package proxy

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"rattanchute/internal/fleet"
)

// answerWay is a way on which a request and its answer come.
type answerWay struct {
	route       fleet.Route
	throughPeer bool
}

func (w answerWay) String() string {
	return fmt.Sprintf("%v, %d attempts, peer %v", w.route.Kind, w.route.MaxAttempts, w.throughPeer)
}

func answerWays() []answerWay {
	var ways []answerWay
	for _, route := range []fleet.Route{nonIdempotentRoute, idempotentRoute, streamRoute, resumableRoute} {
		ways = append(ways, answerWay{route, false}, answerWay{route, true})
	}
	return ways
}

// judgeBroken returns what is wrong with what the caller got whose answers were all broken, and with how often its request ran;
// empty if nothing is.
func (w answerWay) judgeBroken(got callerResponse, runs int) string {
	switch {
	case runs == 0:
		return "request not run"
	case runs > w.route.MaxAttempts, runs > 1 && !w.route.Retryable():
		return "run too often"
	case got.err != nil && w.route.Kind == fleet.RouteStream && got.status == http.StatusOK:
		// Events were passed on before the answer broke, and the stream is broken off.
		return ""
	case got.err != nil:
		return "no proper answer"
	case got.status != http.StatusBadGateway:
		return "not a failure of the endpoint"
	}
	return ""
}

// runCounts are how often requests ran, by their ids.
type runCounts struct {
	mu   sync.Mutex
	byID map[string]int
}

func (c *runCounts) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[string]int{}
	}
	c.byID[id]++
}

func (c *runCounts) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// upload sends a request with an id and a body of a size, and reads the response.
func (p *testProxy) upload(t *testing.T, id string, bytes int) callerResponse {
	t.Helper()
	conn := p.dial(t)
	defer func() { _ = conn.Close() }()
	// The path keeps requests apart that would otherwise count as one that crashes endpoints.
	_, _ = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: site\r\nKey: k\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, bytes, strings.Repeat("b", bytes))
	return readResponse(t, bufio.NewReader(conn))
}

// answerSite is a proxy whose two endpoints give the same raw answer to all requests.
type answerSite struct {
	proxy  *testProxy
	answer atomic.Value
	runs   runCounts
	played int
}

func newAnswerSite(t *testing.T, way answerWay) *answerSite {
	t.Helper()
	s := &answerSite{}
	respond := func(r *receivedRequest) bool {
		s.runs.add(r.id())
		r.writeRaw("%s", strings.ReplaceAll(s.answer.Load().(string), "ID", r.id()))
		return false
	}
	s.proxy = proxyFor(t, way.throughPeer, way.route, newTestEndpoint(t, respond), newTestEndpoint(t, respond))
	return s
}

// answerBodies are the sizes of the bodies of requests. A large one is written while the answer is read.
var answerBodies = []int{4, 40 << 10}

// play sends a request with a body of a size, which gets an answer in which ID stands for its id, and returns what the caller got
// and how often the request ran.
func (s *answerSite) play(t *testing.T, answer string, bodyBytes int) (callerResponse, int) {
	t.Helper()
	s.played++
	s.answer.Store(answer)
	id := fmt.Sprintf("%s%05d", cutProcess, s.played)
	got := s.proxy.upload(t, id, bodyBytes)
	return got, s.runs.of(id)
}

// framedAnswer is what follows the status line of an answer: the field lines, and the body as it is sent.
type framedAnswer struct{ fields, body string }

// framedAnswers returns an answer in each framing. That of a stream has events.
func framedAnswers(stream bool) map[string]framedAnswer {
	body, fields := "fine", "Id: ID\r\n"
	if stream {
		body, fields = eventTexts(1, 2), fields+"Content-Type: text/event-stream\r\n"
	}
	return map[string]framedAnswer{
		"length":  {fmt.Sprintf("%sContent-Length: %d\r\n", fields, len(body)), body},
		"chunked": {fields + "Transfer-Encoding: chunked\r\n", chunks(body) + "0\r\n\r\n"},
		"close":   {fields, body},
	}
}
