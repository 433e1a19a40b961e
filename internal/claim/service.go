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

// ErrDeferred means that a report is not recorded yet. It is retried in the background, unless the
// backlog is full or closed: then it is lost.
var ErrDeferred = errors.New("claim: store unreachable, report queued")

// ErrIgnored means that a report came too late or from an attempt that does not hold the claim. It
// changes nothing.
var ErrIgnored = errors.New("claim: attempt does not hold the claim")

// ErrClosed means that this member commits no more operations; the sender has to commit the
// operation itself.
var ErrClosed = errors.New("claim: service closed")

// Config holds the parameters and dependencies of a Service.
type Config struct {
	// Member is this daemon's name among the members, as returned by Owner.
	Member string
	// Writer identifies this run of the daemon; it changes with each start.
	Writer string
	Store  objectstore.Store
	// Owner returns the member that owns a shard. This member commits the operations itself if Owner
	// is nil or returns an empty name.
	Owner func(shard int) string
	// Forward sends operations to other owners; nil means that this member commits all operations
	// itself.
	Forward Forwarder
	// WriterEnded reports whether a writer is known to have ended; nil means that this is never
	// known.
	WriterEnded func(writer string) bool
	Settings    Settings
	Metrics     *Metrics
	Logger      *log.Logger
}

// Service claims keys for the attempts of one daemon, and commits the operations that other daemons
// forward to it.
type Service struct {
	config  Config
	pool    pond.Pool
	breaker breaker
	backlog *backlog
	tasks   sync.WaitGroup

	mu         sync.Mutex
	layout     layout
	committers map[int]*Committer
	// unresponsiveUntil holds the time until which no operation is forwarded to a member that did
	// not answer.
	unresponsiveUntil map[string]time.Time
	closed            bool
}

// NewService returns a new service. It reads and writes nothing before the first operation.
func NewService(config Config) *Service {
	config.Settings = config.Settings.withDefaults()
	if config.Metrics == nil {
		config.Metrics = new(Metrics)
	}
	if config.Logger == nil {
		config.Logger = &log.DefaultLogger
	}
	s := &Service{
		config:            config,
		pool:              pond.NewPool(config.Settings.Writers, pond.WithoutPanicRecovery()),
		committers:        map[int]*Committer{},
		unresponsiveUntil: map[string]time.Time{},
	}
	s.backlog = &backlog{limit: config.Settings.MaxBacklog, send: s.resend, metrics: config.Metrics}
	return s
}

// Acquire claims the key for an attempt. The name of the attempt must be new for each call. Only
// after Granted may the caller dispatch the attempt, and only once; after any other result it must
// never dispatch it.
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
	if op.Key.isTooOld(time.Now()) {
		return Result{Kind: Expired}
	}
	result := s.commitAtOwner(ctx, op)
	if result.Kind == Refused && result.MayBeStored {
		// This attempt will never be dispatched, so its claim may be withdrawn.
		s.backlog.add(withdrawOp(op))
	}
	return result
}

func withdrawOp(op Op) Op {
	op.Kind = OpWithdraw
	return op
}

// Complete records the response of an attempt that was granted the claim and was executed. A body that is
// larger than MaxBodyBytes, or for which the shard has no room, is omitted, so that HasBody is not set.
// The errors are those of a report: ErrDeferred, ErrIgnored and, for an invalid operation, ErrInvalid.
func (s *Service) Complete(ctx context.Context, key Key, attempt string, status int, body []byte) error {
	op := Op{Kind: OpComplete, Key: key, Attempt: attempt, Writer: s.config.Writer, Status: status}
	if len(body) > MaxBodyBytes {
		op.BodyOmitted = true
	} else {
		op.Body = body
	}
	return s.report(ctx, op)
}

// Withdraw withdraws the claim of an attempt that was granted it, provably was not executed, and
// will not be dispatched again. It returns the same errors as Complete.
func (s *Service) Withdraw(ctx context.Context, key Key, attempt string) error {
	return s.report(ctx, Op{Kind: OpWithdraw, Key: key, Attempt: attempt, Writer: s.config.Writer})
}

func (s *Service) report(ctx context.Context, op Op) error {
	if err := op.Validate(); err != nil {
		return err
	}
	result := s.commitAtOwner(ctx, op)
	switch result.Kind {
	case Recorded:
		return nil
	case Ignored:
		return ErrIgnored
	}
	s.backlog.add(op)
	return ErrDeferred
}

// resend retries a report of the backlog and returns whether it is settled.
func (s *Service) resend(op Op) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.Settings.ForwardTimeout)
	defer cancel()
	return s.commitAtOwner(ctx, op).Kind != Refused
}

// Handle commits an operation that another member has forwarded, and never forwards it again. It
// returns an error, ErrInvalid or ErrClosed, only for an operation that it has not applied.
func (s *Service) Handle(ctx context.Context, op Op) (Result, error) {
	if err := op.Validate(); err != nil {
		return Result{}, err
	}
	if s.isClosed() {
		return Result{}, ErrClosed
	}
	return s.commitLocally(ctx, op), nil
}

func (s *Service) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Backlog returns the number of reports that could not be recorded yet.
func (s *Service) Backlog() int {
	return s.backlog.size()
}

// Flush waits until every report of the backlog is recorded or ignored, and returns an error if the
// context ends first. A graceful shutdown calls it after the last request and before Close.
func (s *Service) Flush(ctx context.Context) error {
	return s.backlog.flush(ctx)
}

// Close stops the service and waits for the writes in progress. Pending operations are refused.
// Reports in the backlog are lost; the outcome of their keys stays unknown.
func (s *Service) Close() {
	s.backlog.close()
	s.mu.Lock()
	s.closed = true
	committers := slices.Collect(maps.Values(s.committers))
	s.mu.Unlock()
	// The pool needs no shutdown: it keeps no goroutine once its tasks have ended.
	for _, c := range committers {
		c.close()
	}
	s.tasks.Wait()
}
