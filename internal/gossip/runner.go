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

// Transport sends a message to a peer and returns the peer's answer.
type Transport interface {
	Send(ctx context.Context, address string, m Message) (Message, error)
}

// RunnerSettings configure a runner.
type RunnerSettings struct {
	Machine   Settings
	Transport Transport
	Store     objectstore.Store
	// DecodeConfiguration reads a stored configuration; nil means DecodeConfiguration.
	DecodeConfiguration func(objectstore.Object) (fleet.Generation, []byte, error)
	// OnEvent is called from one goroutine, in the order of the events.
	OnEvent func(Event)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed starts the random source; zero means a random one.
	Seed uint64
	// Registerer takes the metrics; nil means none.
	Registerer prometheus.Registerer
}

// Runner drives a Machine: it sends its messages, watches the platform when the node
// is a relay, and hands on its events. Safe for concurrent use.
type Runner struct {
	settings RunnerSettings
	metrics  *metrics
	urgent   pond.Pool
	normal   pond.Pool
	ctx      context.Context
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	wake     chan struct{}
	stop     sync.Once

	mu      sync.Mutex
	machine *StateMachine
	rnd     *rand.Rand
	events  []Event
	ready   chan struct{}
	isReady bool
}

// NewRunner returns a runner that does nothing until Start, but answers peers.
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
		settings: s,
		metrics:  newMetrics(s.Registerer),
		urgent:   pond.NewPool(urgentWorkers, pond.WithQueueSize(sendQueue), pond.WithNonBlocking(true)),
		normal:   pond.NewPool(normalWorkers, pond.WithQueueSize(sendQueue), pond.WithNonBlocking(true)),
		wake:     make(chan struct{}, 1),
		ready:    make(chan struct{}),
		rnd:      rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	report := s.Machine.OnViolation
	s.Machine.OnViolation = func(text string) {
		r.metrics.violations.Inc()
		log.Error().Str("violation", text).Msg("spread: invariant broken")
		if report != nil {
			report(text)
		}
	}
	r.machine = New(s.Machine)
	return r
}

// Start begins the ticks, the watches and the announcement of this node.
func (r *Runner) Start() {
	r.loop(r.dispatchLoop)
	r.loop(r.tickLoop)
	r.loop(r.readConfigurationAtStart)
	r.loop(func() { r.relayLoop(objectstore.KindConfiguration, r.takeConfiguration) })
	r.loop(func() { r.relayLoop(objectstore.KindHost, r.takeHost) })
	r.loop(r.memberLoop)
}

func (r *Runner) loop(body func()) {
	r.loops.Add(1)
	go func() {
		defer r.loops.Done()
		body()
	}()
}

// Leave tells peers and the platform that this node departs, and stops the runner.
func (r *Runner) Leave(ctx context.Context) error {
	var sends []Send
	r.with(func(now time.Time) Output {
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

// Stop ends all goroutines without telling anyone.
func (r *Runner) Stop() {
	r.stop.Do(func() {
		r.cancel()
		r.loops.Wait()
		r.urgent.StopAndWait()
		r.normal.StopAndWait()
	})
}

// HandleMessage answers a peer's message.
func (r *Runner) HandleMessage(m Message) Message {
	r.metrics.received.WithLabelValues(string(m.Kind)).Inc()
	var reply Message
	r.with(func(now time.Time) Output {
		var out Output
		reply, out = r.machine.HandleMessage(now, r.rnd, m)
		return out
	})
	return reply
}

// ObserveConfiguration takes in a configuration accepted through this node.
func (r *Runner) ObserveConfiguration(g fleet.Generation, text []byte) {
	r.with(func(now time.Time) Output { return r.machine.ObserveConfiguration(now, r.rnd, g, text) })
}

// ObserveHostState takes in a host's state noticed by this node.
func (r *Runner) ObserveHostState(s fleet.HostState) {
	r.with(func(now time.Time) Output { return r.machine.ObserveHostState(now, r.rnd, s) })
}

// Ready is closed when the node may serve: see Machine.Ready.
func (r *Runner) Ready() <-chan struct{} { return r.ready }

// Configuration returns what is in force; generation zero means nothing is.
func (r *Runner) Configuration() (fleet.Generation, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Configuration()
}

// Members returns the live members by name, this node included.
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

// Owner returns the live member that has a duty.
func (r *Runner) Owner(duty membership.Duty) (membership.Member, bool) {
	return membership.Owner(duty, r.Members())
}

// Owns says whether this node has a duty.
func (r *Runner) Owns(duty membership.Duty) bool {
	owner, ok := r.Owner(duty)
	return ok && owner.Name == r.settings.Machine.Self.Name
}

// with runs one step of the machine and sees to what it puts out.
func (r *Runner) with(step func(now time.Time) Output) {
	r.mu.Lock()
	out := step(r.settings.Now())
	r.events = append(r.events, out.Events...)
	if r.machine.Ready() && !r.isReady {
		r.isReady = true
		close(r.ready)
	}
	r.observe()
	r.mu.Unlock()
	if len(out.Events) > 0 {
		r.signal()
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
	r.with(func(now time.Time) Output { return r.machine.Flush(now, r.rnd) })
}

func (r *Runner) observe() {
	generation, _ := r.machine.Configuration()
	r.metrics.generation.Set(float64(generation))
	r.metrics.members.Set(float64(len(r.machine.Members())))
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) tickLoop() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		r.with(func(now time.Time) Output { return r.machine.Tick(now, r.rnd) })
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
