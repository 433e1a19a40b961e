package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/claim"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

var errNodeGone = errors.New("soak: daemon gone")

// node is the request-serving code of one daemon. A pause blocks its calls to the outside; after a
// crash they fail.
type node struct {
	env     *environment
	name    string
	writer  string
	service *dispatcher.Service
	claims  *claim.Service
	router  *route.Router
	crashed chan struct{}

	mu      sync.Mutex
	paused  chan struct{}
	stopped atomic.Bool
	// noticedAt maps each leaving host to the time at which the node received the notice.
	noticedAt map[string]time.Time
	// closings are, by address, the times for which endpoints want no requests from this node.
	closings map[string][]closing
	// replaced holds the host instances that are gone for good.
	replaced map[string]bool
}

func newNode(env *environment, name string, run int) *node {
	n := &node{
		env: env, name: name, writer: fmt.Sprintf("%s-%d", name, run),
		crashed: make(chan struct{}), router: route.NewRouter("dc-0"),
		noticedAt: map[string]time.Time{}, replaced: map[string]bool{},
		closings: map[string][]closing{},
	}
	n.router.SetTable(route.Compile(env.configuration))
	limiter := ratelimit.NewLimiter(name)
	limiter.SetConfiguration(time.Now(), env.configuration)
	n.claims = claim.NewService(claim.Config{
		Member: name, Writer: n.writer, Store: gatedStore{n},
		Owner: env.owner, Forward: forwarder{n}, WriterEnded: env.writerGone,
		Settings: claim.Settings{
			Shards: 4, MaxGroupDelay: 5 * time.Millisecond,
			StoreTimeout: 200 * time.Millisecond, ForwardTimeout: 200 * time.Millisecond,
		},
	})
	signer, err := resumetoken.NewSigner([]byte("soak"))
	if err != nil {
		panic(err)
	}
	settings := dispatcher.DefaultSettings()
	settings.FirstChunkTimeout = 200 * time.Millisecond
	settings.ChunkTimeout = 200 * time.Millisecond
	settings.MaxAttempts = 64
	settings.MaxStreams = 256
	rates := dispatcher.DefaultMoveRates()
	rates.Margin = 20 * time.Millisecond
	rates.TransferTokensPerSecond = 20000
	n.service = dispatcher.New(dispatcher.Dependencies{
		Settings: settings, Router: checkedRouter{n.router, n}, Limiter: limiter, Claims: n.claims,
		Engines: gatedEngines{n}, Signer: signer,
		Metrics: dispatcher.NewMetrics(prometheus.NewRegistry()), MoveRates: rates,
		Quarantine: quarantine.NewTable(name, 1), MayProbe: func() bool { return true },
		Accepts: func(context.Context, string) bool { return true },
	})
	return n
}

// gate blocks while the daemon is paused; it returns an error if the daemon has crashed.
func (n *node) gate() error {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-n.crashed:
		}
	}
	select {
	case <-n.crashed:
		return errNodeGone
	default:
		return nil
	}
}

func (n *node) pause(d time.Duration) {
	resume := make(chan struct{})
	n.mu.Lock()
	n.paused = resume
	n.mu.Unlock()
	time.Sleep(d)
	n.mu.Lock()
	n.paused = nil
	n.mu.Unlock()
	close(resume)
}

func (n *node) isCrashed() bool {
	select {
	case <-n.crashed:
		return true
	default:
		return false
	}
}

// observeHostState informs the node of a host's state.
func (n *node) observeHostState(s fleet.HostState) {
	if n.gate() != nil {
		return
	}
	n.router.SetHostState(s)
	if s.Phase != fleet.PhaseLeaving {
		return
	}
	n.recordNotice(s)
	n.service.HostLeaving(s)
}

// recordNotice records a notice, unless it is a late one for an instance that has been replaced.
func (n *node) recordNotice(s fleet.HostState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.replaced[s.Instance] {
		n.noticedAt[s.Host] = time.Now()
	}
}

// dropNotice removes a notice, because the instance is about to be replaced.
func (n *node) dropNotice(host, instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.noticedAt, host)
	n.replaced[instance] = true
}

// leavingTolerance allows for a notice that arrives between the choice of an endpoint and the
// dispatch to it.
const leavingTolerance = 100 * time.Millisecond

// checkedRouter checks that no new work is sent to a host more than leavingTolerance after the node
// received its notice.
type checkedRouter struct {
	*route.Router
	n *node
}

// Begin implements dispatcher.Router.
func (r checkedRouter) Begin(endpoint string) {
	r.n.mu.Lock()
	noticedAt, leaving := r.n.noticedAt["host-"+endpoint]
	r.n.mu.Unlock()
	ok := !leaving || time.Since(noticedAt) < leavingTolerance
	r.n.env.report.check(guaranteeLeaving, ok,
		"%s sends to %s %s after the notice", r.n.name, endpoint, time.Since(noticedAt))
	r.Router.Begin(endpoint)
}

// gatedStore is the object store as the node reaches it.
type gatedStore struct{ n *node }

func (s gatedStore) reach() (objectstore.Store, error) {
	if err := s.n.gate(); err != nil {
		return nil, fmt.Errorf("%w: %w", objectstore.ErrUnavailable, err)
	}
	return s.n.env.store, nil
}

// Get implements objectstore.Store.
func (s gatedStore) Get(ctx context.Context, k objectstore.Kind, name string) (objectstore.Object, error) {
	store, err := s.reach()
	if err != nil {
		return objectstore.Object{}, err
	}
	return store.Get(ctx, k, name)
}

// List implements objectstore.Store.
func (s gatedStore) List(ctx context.Context, k objectstore.Kind) ([]objectstore.Object, objectstore.Version, error) {
	store, err := s.reach()
	if err != nil {
		return nil, 0, err
	}
	return store.List(ctx, k)
}

// Create implements objectstore.Store.
func (s gatedStore) Create(
	ctx context.Context, k objectstore.Kind, name string, v json.RawMessage,
) (objectstore.Object, error) {
	store, err := s.reach()
	if err != nil {
		return objectstore.Object{}, err
	}
	return store.Create(ctx, k, name, v)
}

// Update implements objectstore.Store.
func (s gatedStore) Update(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	store, err := s.reach()
	if err != nil {
		return objectstore.Object{}, err
	}
	return store.Update(ctx, o)
}

// UpdateStatus implements objectstore.Store.
func (s gatedStore) UpdateStatus(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	store, err := s.reach()
	if err != nil {
		return objectstore.Object{}, err
	}
	return store.UpdateStatus(ctx, o)
}

// Delete implements objectstore.Store.
func (s gatedStore) Delete(ctx context.Context, o objectstore.Object) error {
	store, err := s.reach()
	if err != nil {
		return err
	}
	return store.Delete(ctx, o)
}

// Watch implements objectstore.Store.
func (s gatedStore) Watch(ctx context.Context, k objectstore.Kind, after objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	store, err := s.reach()
	if err != nil {
		return nil, 0, err
	}
	return store.Watch(ctx, k, after)
}

// gatedEngines are the endpoints as the node reaches them.
type gatedEngines struct{ n *node }

func (g gatedEngines) reach(address string) (*endpoint, error) {
	if err := g.n.gate(); err != nil {
		return nil, err
	}
	return g.n.env.endpointAt(address), nil
}

// Generate implements engine.Client.
func (g gatedEngines) Generate(ctx context.Context, address string, r engine.Generate) (engine.Stream, error) {
	e, err := g.reach(address)
	if err != nil {
		return nil, err
	}
	if r.Attach {
		return e.generate(ctx, r)
	}
	var stream engine.Stream
	err = g.withPermit(address, func() error {
		stream, err = e.generate(ctx, r)
		return err
	})
	return stream, err
}

// withPermit sends a request that starts new work, as the HTTP client does: it asks the router before,
// and tells it what the response says.
func (g gatedEngines) withPermit(address string, send func() error) error {
	permit, err := g.n.router.Acquire(time.Now(), address)
	if err != nil {
		return errors.Join(engine.ErrClosed, engine.ErrNotSent, err)
	}
	defer permit.Release()
	g.n.checkOpen(address)
	err = send()
	var closed *closedError
	if !errors.As(err, &closed) {
		if err == nil {
			permit.Answered()
		}
		return err
	}
	g.n.close(address, closed.retryAfter)
	return err
}

// close records that an endpoint wants no requests from this node for some time.
func (n *node) close(address string, retryAfter time.Duration) {
	now := time.Now()
	n.router.Observe(now, float64(n.env.randN(100))/100, address, "", backpressure.Signal{RetryAfter: retryAfter})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closings[address] = append(n.closings[address], closing{observed: time.Now(), until: now.Add(retryAfter)})
}

// closing is one time for which an endpoint wants no requests, from when the node has read it.
type closing struct{ observed, until time.Time }

// closedTolerance allows for a request that was permitted while the response was being read.
const closedTolerance = 20 * time.Millisecond

// checkOpen checks that an endpoint gets no request while it is closed to this node.
func (n *node) checkOpen(address string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.closings[address][:0]
	var closedFor time.Duration
	for _, c := range n.closings[address] {
		if !now.Before(c.until) {
			continue
		}
		kept = append(kept, c)
		if now.Sub(c.observed) >= closedTolerance {
			closedFor = max(closedFor, c.until.Sub(now))
		}
	}
	n.closings[address] = kept
	n.env.report.check(guaranteeClosed, closedFor == 0, "%s sends to %s, closed for %s more", n.name, address, closedFor)
}

// Call implements engine.Client.
func (g gatedEngines) Call(ctx context.Context, address string, c engine.Call) (engine.Response, error) {
	e, err := g.reach(address)
	if err != nil {
		return engine.Response{}, err
	}
	var response engine.Response
	err = g.withPermit(address, func() error {
		response, err = e.call(ctx, c)
		return err
	})
	return response, err
}

// Load implements engine.Client.
func (g gatedEngines) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{}, errConnectionCut
}

// CacheEvents implements engine.Client.
func (g gatedEngines) CacheEvents(context.Context, string, uint64) ([]engine.CacheEvent, error) {
	return nil, errConnectionCut
}

// ExportKV implements engine.Client.
func (g gatedEngines) ExportKV(ctx context.Context, address string, s engine.StreamID) (engine.KVBlob, error) {
	e, err := g.reach(address)
	if err != nil {
		return engine.KVBlob{}, err
	}
	g.n.env.sleep(ctx, g.n.env.randDuration(20*time.Millisecond))
	if e.isDead() || g.n.env.randBool(0.5) {
		g.n.env.report.countFault(faultTransfer)
		return engine.KVBlob{}, errEndpointGone
	}
	return engine.KVBlob{Stream: s, Source: address}, nil
}

// ImportKV implements engine.Client.
func (g gatedEngines) ImportKV(ctx context.Context, address string, _ engine.KVBlob) error {
	e, err := g.reach(address)
	if err != nil {
		return err
	}
	if e.isDead() {
		return errEndpointGone
	}
	return nil
}

// Order implements engine.Client.
func (g gatedEngines) Order(context.Context, string, engine.Order) error { return errEndpointGone }

// forwarder forwards claims between nodes, with lost and repeated messages.
type forwarder struct{ n *node }

// Forward implements claim.Forwarder.
func (f forwarder) Forward(ctx context.Context, owner string, op claim.Op) (claim.Result, error) {
	if err := f.n.gate(); err != nil {
		return claim.Result{}, err
	}
	env := f.n.env
	to := env.node(owner)
	if to == nil || env.randBool(0.05) {
		env.report.countFault(faultForwardLost)
		return claim.Result{}, errConnectionCut
	}
	if err := to.gate(); err != nil {
		return claim.Result{}, err
	}
	if env.randBool(0.05) {
		env.report.countFault(faultForwardTwice)
		go func() { _, _ = to.claims.Handle(context.Background(), op) }()
	}
	result, err := to.claims.Handle(ctx, op)
	if env.randBool(0.05) {
		env.report.countFault(faultForwardAnswer)
		return claim.Result{}, errConnectionCut
	}
	return result, err
}
