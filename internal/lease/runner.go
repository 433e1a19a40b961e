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

// Default timing.
const (
	DefaultDuration = 15 * time.Second
	DefaultMargin   = 2 * time.Second
)

// roundsPerDuration is the least number of rounds, in which the lease is renewed or checked, that
// begin within its duration if the store answers at once.
const roundsPerDuration = 3

// maxCallsPerRound bounds the store calls of one round.
const maxCallsPerRound = 4

// Metrics counts the work of a Runner.
type Metrics struct {
	// Acquired and Lost count the times that this member acquired and lost or released the lease, as
	// seen at the end of each round.
	Acquired atomic.Uint64
	Lost     atomic.Uint64
	// Calls counts store calls. Unanswered counts failed reads, and writes whose effect is unknown.
	Calls      atomic.Uint64
	Unanswered atomic.Uint64
}

// Config holds the parameters and dependencies of a Runner.
type Config struct {
	// Name is the name of the object of the lease.
	Name string
	// Self identifies this run of the daemon; it must differ after each start.
	Self    string
	Store   objectstore.Store
	Timing  Timing
	Metrics *Metrics
	Logger  *log.Logger
	// Now is the clock; it defaults to time.Now.
	Now func() time.Time
	// HeldElsewhere reports whether another member claims to hold the lease. While it returns true
	// and this member does not hold the lease, this member does not call the store, except at the
	// end of Run. It may be nil.
	HeldElsewhere func() bool
	// Eras tracks the eras of the store. It may be nil for a store without eras.
	Eras *objectstore.EraTracker
	// FirstStart means that the system has never run before, so that a missing lease was never held.
	FirstStart bool
	// HolderEnded reports whether a holder is an earlier run of this host, which has ended. The
	// lease of such a holder is taken over without waiting until it expires. It may be nil.
	HolderEnded func(holder string) bool
}

// Runner acquires and renews one lease while it runs. Its methods other than Run are safe for
// concurrent use.
type Runner struct {
	config Config

	mu      sync.Mutex
	machine *StateMachine
	held    bool
}

// NewRunner returns a runner, which calls the store only in Run. Timing, Metrics, Logger and Now
// have defaults, which zero values select.
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
	if config.Eras == nil {
		config.Eras = new(objectstore.EraTracker)
	}
	machine := NewStateMachine(config.Self, config.Timing, uuid.NewString, config.HolderEnded)
	if config.FirstStart {
		machine.AssumeFirstStart()
	}
	return &Runner{config: config, machine: machine}
}

// Valid reports whether this member holds the lease now, and returns the fencing token if so. It has
// to be called before every order.
func (r *Runner) Valid(now time.Time) (fencing uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Valid(now)
}

// OnReport records that the holder, which is another host, reports to have written a version of the
// lease.
func (r *Runner) OnReport(version objectstore.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.OnReport(version, now)
}

// OnRestore records that the store was restored from an older copy, which began an era.
func (r *Runner) OnRestore(era uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.ObserveEra(era, now)
}

// Uninterrupted reports whether this host, when it last acquired the lease, took it over from
// itself, so that no other host held it in between, or was the first holder ever.
func (r *Runner) Uninterrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Uninterrupted()
}

// HeldVersion returns the stored version of the lease if this member holds it now; zero otherwise.
func (r *Runner) HeldVersion(now time.Time) objectstore.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.HeldVersion(now)
}

// Run acquires and renews the lease until the context ends. It then gives the lease up, and tries
// for one round to free it in the store.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, held := r.Valid(r.config.Now()); held || !r.config.HeldElsewhere() {
			r.runRound(ctx)
		}
		r.sleep(ctx)
	}
	r.mu.Lock()
	r.machine.Release()
	r.mu.Unlock()
	r.runRound(context.WithoutCancel(ctx))
}

// sleep waits for the next round. The delay is the duration divided by roundsPerDuration, less a
// random part of up to a quarter, so that members do not call the store at the same time.
func (r *Runner) sleep(ctx context.Context) {
	interval := r.config.Timing.Duration / roundsPerDuration
	interval -= rand.N(interval / 4)
	select {
	case <-ctx.Done():
	case <-time.After(interval):
	}
}

// runRound makes the store calls that are due, at most maxCallsPerRound. It makes no two reads of one
// object in a row, and ends after the first call for which perform returns false.
func (r *Runner) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timing.Duration/roundsPerDuration)
	defer cancel()
	read := false
	for range maxCallsPerRound {
		action := r.nextAction()
		if action.Kind == ActionNone || action.Kind == ActionRead && read {
			break
		}
		if !r.perform(ctx, action) {
			break
		}
		read = action.Kind == ActionRead && r.inCurrentEra(action)
	}
	r.recordChange()
}

func (r *Runner) nextAction() Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Next(r.config.Now())
}

// perform makes one store call and reports whether the round may continue with another.
func (r *Runner) perform(ctx context.Context, action Action) bool {
	r.config.Metrics.Calls.Add(1)
	if action.Kind == ActionRead {
		object, err := r.config.Store.Get(ctx, objectstore.KindLease, r.objectName(action.Era))
		if r.eraChanged(action) {
			return true
		}
		return r.onReadResult(object, err)
	}
	object, err := r.put(ctx, action)
	if r.eraChanged(action) {
		return true
	}
	return r.onWriteResult(action, object, err)
}

// objectName returns the name of the object that holds the lease in an era of the store.
func (r *Runner) objectName(era uint64) string {
	return objectstore.NameInEra(r.config.Name, era)
}

func (r *Runner) inCurrentEra(action Action) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return action.Era == r.machine.era
}

// eraChanged tells the state machine the newest era of the store, and reports whether that is another
// one than the action's. The result of the action then does not count.
func (r *Runner) eraChanged(action Action) bool {
	era, known := r.config.Eras.Era()
	if !known {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.ObserveEra(era, r.config.Now())
	return era != action.Era
}

func (r *Runner) put(ctx context.Context, action Action) (objectstore.Object, error) {
	value, err := action.Record.encode()
	if err != nil {
		return objectstore.Object{}, err
	}
	if action.Version == 0 {
		return r.config.Store.Create(ctx, objectstore.KindLease, r.objectName(action.Era), value)
	}
	return r.config.Store.Update(ctx, objectstore.Object{
		Kind:    objectstore.KindLease,
		Name:    r.objectName(action.Era),
		Version: action.Version,
		Value:   value,
	})
}

func (r *Runner) onReadResult(object objectstore.Object, err error) bool {
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

func (r *Runner) onWriteResult(action Action, object objectstore.Object, err error) bool {
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

// recordChange counts and logs that the lease was acquired or lost since the previous round.
func (r *Runner) recordChange() {
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
