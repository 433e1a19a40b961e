package claim

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
)

// ErrDeferred means that a report is not recorded yet; it is sent again in the background.
var ErrDeferred = errors.New("claim: store not reached, report kept for later")

// ErrIgnored means that a report came too late or from an attempt without a claim.
var ErrIgnored = errors.New("claim: attempt does not hold the claim")

// ErrClosed means that this member commits nothing more; the sender does it itself.
var ErrClosed = errors.New("claim: service closed")

// Config is what a Service works with.
type Config struct {
	// Member is this daemon's name among the members, as Owner returns it.
	Member string
	// Writer names this run of the daemon, different after each start.
	Writer string
	Store  objectstore.Store
	// Owner returns the member that owns a shard; nil means this one owns all.
	Owner func(shard int) string
	// Forward reaches other owners; nil commits everything here.
	Forward Forwarder
	// WriterEnded reports whether a writer is known to have ended; nil knows of none.
	WriterEnded func(writer string) bool
	Settings    Settings
	Metrics     *Metrics
	Logger      *log.Logger
}

// Service claims keys for the attempts of one daemon, and commits the operations that
// other daemons forward to it.
type Service struct {
	config  Config
	pool    pond.Pool
	breaker breaker
	backlog *backlog
	tasks   sync.WaitGroup

	mu         sync.Mutex
	layout     layout
	committers map[int]*Committer
	// silent holds until when members that did not answer are passed over.
	silent map[string]time.Time
	closed bool
}

// NewService makes a service; nothing is read or written before the first operation.
func NewService(config Config) *Service {
	config.Settings = config.Settings.withDefaults()
	if config.Metrics == nil {
		config.Metrics = new(Metrics)
	}
	if config.Logger == nil {
		config.Logger = &log.DefaultLogger
	}
	s := &Service{
		config:     config,
		pool:       pond.NewPool(config.Settings.Writers, pond.WithoutPanicRecovery()),
		committers: map[int]*Committer{},
		silent:     map[string]time.Time{},
	}
	s.backlog = &backlog{limit: config.Settings.MaxBacklog, send: s.settle, metrics: config.Metrics}
	return s
}

// Acquire claims the key for an attempt. The attempt name must be new for each call.
// Only Granted allows the caller to dispatch, once; after any other result it must
// never dispatch this attempt.
func (s *Service) Acquire(ctx context.Context, key Key, attempt string) Result {
	op := Op{Kind: OpAcquire, Key: key, Attempt: attempt, Writer: s.config.Writer}
	result := s.acquire(ctx, op)
	s.config.Metrics.countAcquire(result.Kind)
	return result
}

func (s *Service) acquire(ctx context.Context, op Op) Result {
	if op.Validate() != nil {
		return refused(ShardFullRetryAfter, false)
	}
	if op.Key.tooOld(time.Now()) {
		return Result{Kind: Expired}
	}
	result := s.do(ctx, op)
	if result.Kind == Refused && result.MayBeStored {
		// The attempt is given up for good here, so its claim may be taken back.
		s.backlog.add(withdrawal(op))
	}
	return result
}

func withdrawal(op Op) Op {
	op.Kind = OpWithdraw
	return op
}

// Complete records the answer of an attempt that was granted the claim and has run. A
// body over MaxBodyBytes is not kept.
func (s *Service) Complete(ctx context.Context, key Key, attempt string, status int, body []byte) error {
	if len(body) > MaxBodyBytes {
		body = nil
	}
	return s.report(ctx, Op{Kind: OpComplete, Key: key, Attempt: attempt,
		Writer: s.config.Writer, Status: status, Body: body})
}

// Withdraw withdraws the claim of an attempt that was granted it, is proved not to have
// run, and will not be dispatched again.
func (s *Service) Withdraw(ctx context.Context, key Key, attempt string) error {
	return s.report(ctx, Op{Kind: OpWithdraw, Key: key, Attempt: attempt, Writer: s.config.Writer})
}

func (s *Service) report(ctx context.Context, op Op) error {
	if err := op.Validate(); err != nil {
		return err
	}
	result := s.do(ctx, op)
	switch result.Kind {
	case Recorded:
		return nil
	case Ignored:
		return ErrIgnored
	}
	s.backlog.add(op)
	return ErrDeferred
}

// settle sends a report of the backlog again.
func (s *Service) settle(op Op) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.Settings.ForwardTimeout)
	defer cancel()
	return s.do(ctx, op).Kind != Refused
}

// Handle commits an operation that another member has forwarded. It never forwards.
func (s *Service) Handle(ctx context.Context, op Op) (Result, error) {
	if err := op.Validate(); err != nil {
		return Result{}, err
	}
	if s.isClosed() {
		return Result{}, ErrClosed
	}
	return s.commit(ctx, op), nil
}

func (s *Service) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Backlog returns the number of reports that wait for the store.
func (s *Service) Backlog() int {
	return s.backlog.size()
}

// Flush waits until every report of the backlog is recorded, or the context ends. A
// graceful stop calls it after the last request and before Close.
func (s *Service) Flush(ctx context.Context) error {
	return s.backlog.flush(ctx)
}

// Close ends the service. What waits is refused; reports in the backlog are lost, which
// leaves their keys unknown.
func (s *Service) Close() {
	s.backlog.close()
	s.mu.Lock()
	s.closed = true
	committers := slices.Collect(maps.Values(s.committers))
	s.mu.Unlock()
	// The pool keeps no goroutine once its tasks have ended.
	for _, c := range committers {
		c.close()
	}
	s.tasks.Wait()
}
