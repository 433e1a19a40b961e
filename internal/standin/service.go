package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/engine"
)

// ServiceConfig sets a plain service's address and pace.
type ServiceConfig struct {
	Name string `json:"name"`
	// Address is "ip:port"; empty is a free port of 127.0.0.1.
	Address string `json:"address"`
	// Slots is reported as the number of calls that run at once.
	Slots int `json:"slots"`
	// DelayMillis is the time of one call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// Service is a plain service that echoes its calls and counts their runs.
type Service struct {
	*faultServer
	config ServiceConfig

	mu      sync.Mutex
	running int
	ledger  ServiceLedger
}

// ServiceLedger counts what a service really ran.
type ServiceLedger struct {
	Runs int `json:"runs"`
	// Attempts and Keys count the runs by X-Attempt-Id and by Idempotency-Key.
	Attempts map[string]int `json:"attempts"`
	Keys     map[string]int `json:"keys"`
}

// Echo is the body of a service's answer.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Run numbers the runs of the service from one.
	Run int `json:"run"`
}

// NewService returns a service that does not listen yet.
func NewService(c ServiceConfig) *Service {
	if c.Address == "" {
		c.Address = listenAnywhere
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	s := &Service{config: c}
	s.ledger = ServiceLedger{Attempts: map[string]int{}, Keys: map[string]int{}}
	s.faultServer = newFaultServer(c.Address, s.handle)
	return s
}

// Ledger returns the runs so far.
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
	faults := s.take()
	if !faults.hold() {
		_ = ctx.Conn().Close()
		return
	}
	if faults.Refuse {
		ctx.Response.Header.Set("X-Not-Run", "true")
		writeError(ctx, fasthttp.StatusServiceUnavailable, "refused")
		return
	}
	echo := s.run(ctx)
	time.Sleep(millis(s.config.DelayMillis))
	s.end()
	if faults.CutAfterRun {
		_ = ctx.Conn().Close()
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, echo)
}

// run counts the call before anyone can see its answer.
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
