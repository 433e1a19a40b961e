package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"

	"rattanchute/internal/engine"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

// Settings bound how long a request may take and how often it is tried.
type Settings struct {
	// DefaultTimeout holds for a request that names none; MaxTimeout caps the others.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// FirstChunkTimeout is the longest wait for the first chunk of an attempt.
	FirstChunkTimeout time.Duration
	// ChunkTimeout is the longest silence of an engine between two chunks.
	ChunkTimeout time.Duration
	// RecoveryWindow is how long an interrupted stream looks for another endpoint.
	RecoveryWindow time.Duration
	// RecordTimeout is the longest wait for a completed call's record before the
	// answer is passed on.
	RecordTimeout time.Duration
	// TokenLifetime is how long a resume token is accepted.
	TokenLifetime time.Duration
	// MaxAttempts bounds the attempts of one request; a stream counts anew with each
	// token that it delivers.
	MaxAttempts int
	// MaxStreams bounds the open streams of the process; one more is refused.
	MaxStreams int
	// ChunkBuffer bounds the chunks of one stream that wait for a slow caller. When it
	// is full, the stream's reader stops and the engine's connection fills up.
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

// Service serves requests. All methods may be called from many goroutines.
type Service struct {
	settings  Settings
	session   string
	router    Router
	admitter  Limiter
	claims    Claims
	engines   engine.Client
	signer    *resumetoken.Signer
	counters  *Metrics
	streams   *registry
	moveRates MoveRates
	pool      pond.Pool
	inflight  *inflight
	// opened counts the streams being opened or open.
	opened atomic.Int64
	// ending is done once open streams are to be ended.
	ending context.Context
	endAll context.CancelFunc
	now    func() time.Time
}

// Dependencies are what a Service is made of.
type Dependencies struct {
	Settings  Settings
	Router    Router
	Limiter   Limiter
	Claims    Claims
	Engines   engine.Client
	Signer    *resumetoken.Signer
	Metrics   *Metrics
	MoveRates MoveRates
}

// backgroundWorkers are the workers beside those of open streams.
const backgroundWorkers = 64

// New returns a service over its parts.
func New(p Dependencies) *Service {
	ending, endAll := context.WithCancel(context.Background())
	return &Service{
		ending:    ending,
		endAll:    endAll,
		inflight:  newInflight(),
		settings:  p.Settings,
		session:   uuid.NewString()[:8],
		router:    p.Router,
		admitter:  p.Limiter,
		claims:    p.Claims,
		engines:   p.Engines,
		signer:    p.Signer,
		counters:  p.Metrics,
		streams:   newRegistry(),
		moveRates: p.MoveRates,
		// Each open stream keeps a worker that reads from its engine; the others move
		// streams and record outcomes.
		pool: pond.NewPool(p.Settings.MaxStreams + backgroundWorkers),
		now:  time.Now,
	}
}

// NewRequestID returns an id for a request; ids sort by time.
func NewRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// StopAccepting makes the service answer every new request "not run" from now on.
func (s *Service) StopAccepting() { s.inflight.refuse() }

// Drain waits, after Refuse, until no request is in flight or ctx ends.
func (s *Service) Drain(ctx context.Context) error { return s.inflight.wait(ctx) }

// InFlight is the number of requests in flight.
func (s *Service) InFlight() int { return s.inflight.open() }

// OpenStreams is the number of streams that engines are making now.
func (s *Service) OpenStreams() int { return s.streams.count() }

// EndStreams ends all open streams; their callers get a resume token to go on with at
// another daemon. It waits until they have ended, at most for the given time.
func (s *Service) EndStreams(wait time.Duration) error {
	s.endAll()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return s.Drain(ctx)
}

// enter counts a request in; false when the service takes no more.
func (s *Service) enter() bool {
	if !s.inflight.enter() {
		return false
	}
	s.counters.InFlight.Inc()
	return true
}

func (s *Service) leave() {
	s.counters.InFlight.Dec()
	s.inflight.leave()
}

// done gives an admitted request back.
func (s *Service) done(a ratelimit.Request) {
	s.admitter.Done(s.now(), ratelimit.Completion{Organisation: a.Organisation, Fleet: a.Fleet})
}

// choose takes an endpoint chosen earlier if it still takes new work, since a claim or
// a planned move may have waited, and else asks the router.
func (s *Service) choose(earlier *route.Choice, q route.Query) (route.Choice, error) {
	now := s.now()
	if earlier != nil && s.router.Available(now, earlier.Endpoint.Name) {
		return *earlier, nil
	}
	return s.router.Choose(now, randomWord(), q)
}

func (s *Service) timeout(asked time.Duration) time.Duration {
	if asked <= 0 {
		return s.settings.DefaultTimeout
	}
	return min(asked, s.settings.MaxTimeout)
}

func randomWord() uint64 { return rand.Uint64() }
