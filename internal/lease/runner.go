package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
)

// Defaults of the timing.
const (
	DefaultDuration = 15 * time.Second
	DefaultMargin   = 2 * time.Second
)

// renewalsPerDuration is how many times a lease is looked at while it lasts.
const renewalsPerDuration = 3

// maxSteps limits the store calls of one round.
const maxSteps = 4

// Metrics counts what a Runner does.
type Metrics struct {
	// Acquired and Lost count the changes of what this member holds.
	Acquired atomic.Uint64
	Lost     atomic.Uint64
	// Calls counts store calls, Unanswered those without an answer.
	Calls      atomic.Uint64
	Unanswered atomic.Uint64
}

// Config is what a Runner works with.
type Config struct {
	// Name is the name of the lease's object.
	Name string
	// Self names this run of the daemon, different after each start.
	Self    string
	Store   objectstore.Store
	Timing  Timing
	Metrics *Metrics
	Logger  *log.Logger
	// Now is the clock; it defaults to time.Now.
	Now func() time.Time
	// HeldElsewhere, if set, saves store calls: while it reports that another member says
	// it holds the lease, this one does not look.
	HeldElsewhere func() bool
	// HolderEnded, if set, tells of a holder that it acts no more, such as an earlier run of this
	// host: its lease is not waited for.
	HolderEnded func(holder string) bool
}

// Runner keeps one lease for as long as it runs. Valid may be called from anywhere.
type Runner struct {
	config Config

	mu      sync.Mutex
	machine *StateMachine
	held    bool
}

// NewRunner makes a runner; zero settings stand for the defaults.
func NewRunner(config Config) *Runner {
	if config.Timing == (Timing{}) {
		config.Timing = Timing{Duration: DefaultDuration, Margin: DefaultMargin}
	}
	if config.Metrics == nil {
		config.Metrics = new(Metrics)
	}
	if config.Logger == nil {
		config.Logger = &log.DefaultLogger
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.HeldElsewhere == nil {
		config.HeldElsewhere = func() bool { return false }
	}
	machine := NewStateMachine(config.Self, config.Timing, uuid.NewString, config.HolderEnded)
	return &Runner{config: config, machine: machine}
}

// Valid reports whether the lease is held now, and its fencing number. It is to be asked
// before every order.
func (r *Runner) Valid(now time.Time) (fencing uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Valid(now)
}

// OnReport takes in that a holder elsewhere says it has written a version of the lease.
func (r *Runner) OnReport(version uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.OnReport(version, now)
}

// Uninterrupted reports whether nobody else held the lease since this host last did.
func (r *Runner) Uninterrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Uninterrupted()
}

// HeldVersion is the stored version of the lease that is held now; zero if none is.
func (r *Runner) HeldVersion(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.HeldVersion(now)
}

// Run takes and renews the lease until the context ends, and then gives it up.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, held := r.Valid(r.config.Now()); held || !r.config.HeldElsewhere() {
			r.round(ctx)
		}
		r.sleep(ctx)
	}
	r.mu.Lock()
	r.machine.Release()
	r.mu.Unlock()
	r.round(context.WithoutCancel(ctx))
}

// sleep waits for the next round, a little less than a third of the duration at random,
// so that members do not call in step.
func (r *Runner) sleep(ctx context.Context) {
	interval := r.config.Timing.Duration / renewalsPerDuration
	interval -= rand.N(interval / 4)
	select {
	case <-ctx.Done():
	case <-time.After(interval):
	}
}

// round makes the store calls that are due.
func (r *Runner) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timing.Duration/renewalsPerDuration)
	defer cancel()
	read := false
	for range maxSteps {
		action := r.next()
		if action.Kind == ActionNone || action.Kind == ActionRead && read {
			break
		}
		if !r.perform(ctx, action) {
			break
		}
		read = action.Kind == ActionRead
	}
	r.noteChange()
}

func (r *Runner) next() Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Next(r.config.Now())
}

// perform makes one store call and reports whether more may be done in this round.
func (r *Runner) perform(ctx context.Context, action Action) bool {
	r.config.Metrics.Calls.Add(1)
	if action.Kind == ActionRead {
		object, err := r.config.Store.Get(ctx, objectstore.KindLease, r.config.Name)
		return r.takeRead(object, err)
	}
	object, err := r.put(ctx, action)
	return r.takeWrite(action, object, err)
}

func (r *Runner) put(ctx context.Context, action Action) (objectstore.Object, error) {
	value, err := action.Record.encode()
	if err != nil {
		return objectstore.Object{}, err
	}
	if action.Version == 0 {
		return r.config.Store.Create(ctx, objectstore.KindLease, r.config.Name, value)
	}
	return r.config.Store.Update(ctx, objectstore.Object{
		Kind:    objectstore.KindLease,
		Name:    r.config.Name,
		Version: action.Version,
		Value:   value,
	})
}

func (r *Runner) takeRead(object objectstore.Object, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		r.machine.OnMissing(r.config.Now())
		return true
	case err != nil:
		r.config.Metrics.Unanswered.Add(1)
		return false
	}
	return r.machine.OnRead(object.Version, object.Value, r.config.Now()) == nil
}

func (r *Runner) takeWrite(action Action, object objectstore.Object, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.machine.OnWritten(action, object.Version, r.config.Now())
		return false
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrNotFound):
		r.machine.OnConflict()
		return true
	case errors.Is(err, objectstore.ErrThrottled):
		return false
	}
	r.config.Metrics.Unanswered.Add(1)
	r.machine.Unanswered(action)
	return true
}

// noteChange counts and logs when the lease was won or lost.
func (r *Runner) noteChange() {
	r.mu.Lock()
	fencing, held := r.machine.Valid(r.config.Now())
	changed := held != r.held
	r.held = held
	r.mu.Unlock()
	if !changed {
		return
	}
	if held {
		r.config.Metrics.Acquired.Add(1)
		r.config.Logger.Info().Str("lease", r.config.Name).Uint64("fencing", fencing).Msg("lease acquired")
		return
	}
	r.config.Metrics.Lost.Add(1)
	r.config.Logger.Info().Str("lease", r.config.Name).Msg("lease lost")
}
