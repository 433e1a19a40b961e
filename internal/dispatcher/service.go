package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"

	"rattanchute/internal/engine"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/verify"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

// Settings limit how long a request may take and how often it is attempted.
type Settings struct {
	// DefaultTimeout applies to a request without a timeout; MaxTimeout caps the others.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// FirstChunkTimeout is the longest wait for the first chunk of an attempt.
	FirstChunkTimeout time.Duration
	// ChunkTimeout is the longest time between two chunks of an attempt.
	ChunkTimeout time.Duration
	// RecoveryWindow is how long an interrupted stream tries to find another endpoint.
	RecoveryWindow time.Duration
	// RecordTimeout is the longest time that a completed call's response waits for its record to be
	// written.
	RecordTimeout time.Duration
	// TokenLifetime is how long a resume token is accepted.
	TokenLifetime time.Duration
	// MaxAttempts limits the attempts of one request; a stream starts counting again with each
	// token that it delivers.
	MaxAttempts int
	// MaxStreams limits the open streams of the process; further ones are refused.
	MaxStreams int
	// ChunkBuffer limits the chunks of one stream that wait for a slow caller. When it is full, the
	// reader of the stream stops and the connection to the engine fills up.
	ChunkBuffer int
}

// DefaultSettings returns the settings for the planned load of one entry host.
func DefaultSettings() Settings {
	return Settings{
		DefaultTimeout:    5 * time.Minute,
		MaxTimeout:        30 * time.Minute,
		FirstChunkTimeout: 10 * time.Second,
		ChunkTimeout:      5 * time.Second,
		RecoveryWindow:    10 * time.Second,
		RecordTimeout:     500 * time.Millisecond,
		TokenLifetime:     15 * time.Minute,
		MaxAttempts:       8,
		MaxStreams:        4096,
		ChunkBuffer:       64,
	}
}

// Service serves chat requests and calls of plain services. It is safe for concurrent use.
type Service struct {
	settings Settings
	session  string
	router   Router
	limiter  Limiter
	claims   Claims
	engines  engine.Client
	signer   *resumetoken.Signer
	metrics  *Metrics
	// quarantine knows the requests and the prompts that crash endpoints; mayProbe reports whether this daemon may probe them.
	quarantine *quarantine.Table
	mayProbe   func() bool
	crashes    verify.Verifier
	streams    *streamRegistry
	moveRates  MoveRates
	pool       pond.Pool
	inflight   *inflight
	// openCount is the number of streams that are open or being opened.
	openCount atomic.Int64
	// endContext is cancelled to end all open streams.
	endContext context.Context
	endStreams context.CancelFunc
	now        func() time.Time
}

// Dependencies holds what a Service is built from.
type Dependencies struct {
	Settings  Settings
	Router    Router
	Limiter   Limiter
	Claims    Claims
	Engines   engine.Client
	Signer    *resumetoken.Signer
	Metrics   *Metrics
	MoveRates MoveRates
	// Quarantine knows the requests and the prompts that crash endpoints.
	Quarantine *quarantine.Table
	// MayProbe reports whether this daemon may send a quarantined request to find out whether it still crashes
	// endpoints. At most one daemon may.
	MayProbe func() bool
	// Accepts reports whether an endpoint's address accepts a connection before the context ends.
	Accepts func(ctx context.Context, address string) bool
	// Listens reports whether a process listens at an endpoint's address, as verify.Verifier says.
	Listens func(ctx context.Context, address string, settle time.Duration) (bool, error)
}

// backgroundWorkers is the number of workers besides those that read open streams.
const backgroundWorkers = 64

// New returns a service with the given dependencies.
func New(d Dependencies) *Service {
	endContext, endStreams := context.WithCancel(context.Background())
	return &Service{
		endContext: endContext,
		endStreams: endStreams,
		inflight:   newInflight(),
		settings:   d.Settings,
		session:    uuid.NewString()[:8],
		router:     d.Router,
		limiter:    d.Limiter,
		claims:     d.Claims,
		engines:    d.Engines,
		signer:     d.Signer,
		metrics:    d.Metrics,
		streams:    newStreamRegistry(),
		moveRates:  d.MoveRates,
		quarantine: d.Quarantine,
		mayProbe:   d.MayProbe,
		crashes:    verify.Verifier{Table: d.Quarantine, Accepts: d.Accepts, Listens: d.Listens, Now: time.Now},
		// Each open stream occupies a worker that reads from its engine; the other workers move
		// streams and record outcomes.
		pool: pond.NewPool(d.Settings.MaxStreams + backgroundWorkers),
		now:  time.Now,
	}
}

// NewRequestID returns a request id. Ids sort by time, except that a random id is returned if a
// version 7 UUID cannot be generated.
func NewRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// StopAccepting makes the service refuse every new request, with the outcome "not run".
func (s *Service) StopAccepting() { s.inflight.stopAccepting() }

// Drain waits, after StopAccepting, until no request is in flight or ctx ends.
func (s *Service) Drain(ctx context.Context) error { return s.inflight.wait(ctx) }

// InFlight returns the number of requests in flight.
func (s *Service) InFlight() int { return s.inflight.current() }

// OpenStreams returns the number of streams that have a running attempt at an engine.
func (s *Service) OpenStreams() int { return s.streams.count() }

// EndStreams ends all open streams; their callers get a resume token with which they can continue
// at another daemon. It then waits, after StopAccepting, until no request is in flight, for at most
// the given time. Without StopAccepting it always waits for the given time and returns an error.
func (s *Service) EndStreams(wait time.Duration) error {
	s.endStreams()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return s.Drain(ctx)
}

// enter counts a new request; it returns false if the service accepts no more.
func (s *Service) enter() bool {
	if !s.inflight.enter() {
		return false
	}
	s.metrics.InFlight.Inc()
	return true
}

func (s *Service) leave() {
	s.metrics.InFlight.Dec()
	s.inflight.leave()
}

// completed notifies the limiter that an admitted request has ended.
func (s *Service) completed(a ratelimit.Request) {
	s.limiter.Done(s.now(), ratelimit.Completion{Organisation: a.Organisation, Fleet: a.Fleet})
}

// choose returns the endpoint chosen earlier if it still accepts new work, as time may have passed
// while a claim or a planned move was waiting; otherwise it asks the router.
func (s *Service) choose(earlier *route.Choice, q route.Query) (route.Choice, error) {
	now := s.now()
	if earlier != nil && s.router.Available(now, earlier.Endpoint.Name) {
		return *earlier, nil
	}
	return s.router.Choose(now, randomBits(), q)
}

func (s *Service) timeout(requested time.Duration) time.Duration {
	if requested <= 0 {
		return s.settings.DefaultTimeout
	}
	return min(requested, s.settings.MaxTimeout)
}

func randomBits() uint64 { return rand.Uint64() }
