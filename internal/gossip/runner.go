package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/fleet"
	"rattanchute/internal/membership"
	"rattanchute/internal/objectstore"
)

// Transport sends a message to a peer and returns the peer's reply.
type Transport interface {
	Send(ctx context.Context, address string, m Message) (Message, error)
}

// RunnerSettings configure a Runner.
type RunnerSettings struct {
	Machine   Settings
	Transport Transport
	Store     objectstore.Store
	// DecodeConfiguration decodes a stored configuration; nil means the package function
	// DecodeConfiguration.
	DecodeConfiguration func(objectstore.Object) (fleet.Generation, []byte, error)
	// OnEvent, if not nil, is called from a single goroutine, in the order of the events.
	OnEvent func(Event)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random source; zero means a random seed.
	Seed uint64
	// Registerer registers the metrics; nil means that they are not exported.
	Registerer prometheus.Registerer
}

// Runner drives a StateMachine: it sends the machine's messages, watches the platform while
// this node is a relay, and reports the machine's events. It is safe for concurrent use.
type Runner struct {
	settings      RunnerSettings
	metrics       *metrics
	urgentPool    pond.Pool
	normalPool    pond.Pool
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	eventsPending chan struct{}
	stopOnce      sync.Once

	mu      sync.Mutex
	machine *StateMachine
	rnd     *rand.Rand
	events  []Event
	ready   chan struct{}
	isReady bool
}

// NewRunner returns a runner. Until Start it only reacts to calls such as HandleMessage, and
// delivers no events.
func NewRunner(s RunnerSettings) *Runner {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	if s.DecodeConfiguration == nil {
		s.DecodeConfiguration = DecodeConfiguration
	}
	r := &Runner{
		settings:      s,
		metrics:       newMetrics(s.Registerer),
		urgentPool:    pond.NewPool(urgentWorkers, pond.WithQueueSize(sendQueue), pond.WithNonBlocking(true)),
		normalPool:    pond.NewPool(normalWorkers, pond.WithQueueSize(sendQueue), pond.WithNonBlocking(true)),
		eventsPending: make(chan struct{}, 1),
		ready:         make(chan struct{}),
		rnd:           rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	report := s.Machine.OnViolation
	s.Machine.OnViolation = func(text string) {
		r.metrics.violations.Inc()
		log.Error().Str("violation", text).Msg("gossip: invariant violated")
		if report != nil {
			report(text)
		}
	}
	r.machine = New(s.Machine)
	return r
}

// Start starts the goroutines that tick the machine, read and watch the platform, write this
// node's member object and deliver the events.
func (r *Runner) Start() {
	r.startLoop(r.dispatchLoop)
	r.startLoop(r.tickLoop)
	r.startLoop(r.readInitialConfiguration)
	r.startLoop(func() { r.relayLoop(objectstore.KindConfiguration, r.handleConfiguration) })
	r.startLoop(func() { r.relayLoop(objectstore.KindHost, r.handleHost) })
	r.startLoop(r.memberLoop)
}

func (r *Runner) startLoop(body func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		body()
	}()
}

// Leave announces this node's departure to up to Fanout peers, deletes its member object from the
// platform and stops the runner. It returns an error if the object could not be deleted; the
// runner is stopped nevertheless.
func (r *Runner) Leave(ctx context.Context) error {
	var sends []Send
	r.runStep(func(now time.Time) Output {
		out := r.machine.Leave(now, r.rnd)
		sends = out.Messages
		return Output{Events: out.Events}
	})
	for _, s := range sends {
		r.deliver(ctx, s)
	}
	err := r.removeMember(ctx)
	r.Stop()
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return nil
}

// Stop ends all goroutines and waits for them. It does not announce the node's departure.
func (r *Runner) Stop() {
	r.stopOnce.Do(func() {
		r.cancel()
		r.goroutines.Wait()
		r.urgentPool.StopAndWait()
		r.normalPool.StopAndWait()
	})
}

// HandleMessage processes a peer's message and returns the reply.
func (r *Runner) HandleMessage(m Message) Message {
	r.metrics.received.WithLabelValues(string(m.Kind)).Inc()
	var reply Message
	r.runStep(func(now time.Time) Output {
		var out Output
		reply, out = r.machine.HandleMessage(now, r.rnd, m)
		return out
	})
	return reply
}

// ObserveConfiguration processes a configuration that was read from the platform or accepted through
// this node.
func (r *Runner) ObserveConfiguration(g fleet.Generation, text []byte) {
	r.runStep(func(now time.Time) Output { return r.machine.ObserveConfiguration(now, r.rnd, g, text) })
}

// ObserveHostState processes a host state that was read from the platform or detected by this node.
func (r *Runner) ObserveHostState(s fleet.HostState) {
	r.runStep(func(now time.Time) Output { return r.machine.ObserveHostState(now, r.rnd, s) })
}

// Ready returns a channel that is closed once the node may serve requests; see
// StateMachine.Ready.
func (r *Runner) Ready() <-chan struct{} { return r.ready }

// Configuration returns the active configuration; generation zero means that there is none.
func (r *Runner) Configuration() (fleet.Generation, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Configuration()
}

// Members returns the live members ordered by name, including this node unless it has left. The
// caller must not modify the slice.
func (r *Runner) Members() []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Members()
}

// HostStates returns the states of all known runs of hosts.
func (r *Runner) HostStates() []fleet.HostState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.HostStates()
}

// Self returns this node's record.
func (r *Runner) Self() membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Self()
}

// Owner returns the live member that owns a duty; false if no member is live.
func (r *Runner) Owner(duty membership.Duty) (membership.Member, bool) {
	return membership.Owner(duty, r.Members())
}

// Owns reports whether this node owns a duty.
func (r *Runner) Owns(duty membership.Duty) bool {
	owner, ok := r.Owner(duty)
	return ok && owner.Name == r.settings.Machine.Self.Name
}

// runStep runs one step of the machine and carries out its output.
func (r *Runner) runStep(step func(now time.Time) Output) {
	r.mu.Lock()
	out := step(r.settings.Now())
	r.events = append(r.events, out.Events...)
	if r.machine.Ready() && !r.isReady {
		r.isReady = true
		close(r.ready)
	}
	r.updateGauges()
	r.mu.Unlock()
	if len(out.Events) > 0 {
		r.wakeDispatcher()
	}
	if out.FlushAfter > 0 {
		time.AfterFunc(out.FlushAfter, r.flush)
	}
	r.sendAll(out.Messages)
}

func (r *Runner) flush() {
	if r.ctx.Err() != nil {
		return
	}
	r.runStep(func(now time.Time) Output { return r.machine.Flush(now, r.rnd) })
}

func (r *Runner) updateGauges() {
	generation, _ := r.machine.Configuration()
	r.metrics.generation.Set(float64(generation))
	r.metrics.members.Set(float64(len(r.machine.Members())))
}

func (r *Runner) wakeDispatcher() {
	select {
	case r.eventsPending <- struct{}{}:
	default:
	}
}

func (r *Runner) tickLoop() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		r.runStep(func(now time.Time) Output { return r.machine.Tick(now, r.rnd) })
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
