package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/engine"
)

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Name string `json:"name"`
	// Address is the listen address, "ip:port"; if empty, a free port of 127.0.0.1 is used.
	Address string `json:"address"`
	// Slots is the reported number of calls that can run concurrently; it is not enforced.
	Slots int `json:"slots"`
	// DelayMillis is the duration of one call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// Service is a fake HTTP service that echoes each request and counts the executions.
type Service struct {
	*faultServer
	config ServiceConfig

	mu      sync.Mutex
	running int
	ledger  ServiceLedger
}

// ServiceLedger counts the requests that a service executed.
type ServiceLedger struct {
	Runs int `json:"runs"`
	// Attempts and Keys count the executions by X-Attempt-Id and by Idempotency-Key.
	Attempts map[string]int `json:"attempts"`
	Keys     map[string]int `json:"keys"`
}

// Echo is the response body of a service.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Run is the number of this execution, counted from one.
	Run int `json:"run"`
}

// NewService returns a service that does not listen yet.
func NewService(c ServiceConfig) *Service {
	if c.Address == "" {
		c.Address = anyLocalPort
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	s := &Service{config: c}
	s.ledger = ServiceLedger{Attempts: map[string]int{}, Keys: map[string]int{}}
	s.faultServer = newFaultServer(c.Address, s.handle)
	return s
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() ServiceLedger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceLedger{
		Runs:     s.ledger.Runs,
		Attempts: maps.Clone(s.ledger.Attempts),
		Keys:     maps.Clone(s.ledger.Keys),
	}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/faults":
		s.handleFaults(ctx)
	case "/v1/ledger":
		writeJSON(ctx, fasthttp.StatusOK, s.Ledger())
	case "/v1/load":
		writeJSON(ctx, fasthttp.StatusOK, s.load())
	default:
		s.handleCall(ctx)
	}
}

func (s *Service) load() engine.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Load{Running: s.running, Slots: s.config.Slots, At: time.Now()}
}

func (s *Service) handleCall(ctx *fasthttp.RequestCtx) {
	faults := s.takeFaults()
	if !faults.wait() {
		_ = ctx.Conn().Close()
		return
	}
	faults.signal(ctx)
	if faults.Refuse {
		ctx.Response.Header.Set("X-Not-Run", "true")
		faults.refuse(ctx)
		return
	}
	echo := s.run(ctx)
	if faults.crashesOn(ctx.PostBody()) {
		s.crash(millis(faults.CrashMillis))
		<-faults.stopped
		_ = ctx.Conn().Close()
		return
	}
	time.Sleep(millis(s.config.DelayMillis))
	s.end()
	if faults.CutAfterRun {
		_ = ctx.Conn().Close()
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, echo)
}

// run counts the execution of a call and returns the body of its response. It is called before
// the response is sent, so the ledger includes every call whose response a caller has received.
func (s *Service) run(ctx *fasthttp.RequestCtx) Echo {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.ledger.Runs++
	if id := string(ctx.Request.Header.Peek("X-Attempt-Id")); id != "" {
		s.ledger.Attempts[id]++
	}
	if key := string(ctx.Request.Header.Peek("Idempotency-Key")); key != "" {
		s.ledger.Keys[key]++
	}
	return Echo{
		Method: string(ctx.Method()),
		Path:   string(ctx.RequestURI()),
		Body:   string(ctx.PostBody()),
		Run:    s.ledger.Runs,
	}
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
