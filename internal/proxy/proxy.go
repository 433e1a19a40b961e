package proxy

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
	"rattanchute/internal/contain"
	"rattanchute/internal/discard"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/fleet"
	"rattanchute/internal/origin"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/verify"
	"rattanchute/internal/quota"
	"rattanchute/internal/retrybudget"
	"rattanchute/internal/rollout"
	"rattanchute/internal/route"
)

// Upstream sends requests to endpoints.
type Upstream interface {
	// OpenTarget sends a request and returns its response, of which the body is still to be read.
	OpenTarget(ctx context.Context, target httpclient.Target, req *fasthttp.Request,
		o httpclient.OpenOptions) (*httpclient.Body, error)
	// Accepts reports whether an address accepts a connection before the context ends.
	Accepts(ctx context.Context, address string) bool
	// Listens reports whether a process listens at an address, as verify.Verifier says.
	Listens(ctx context.Context, address string, settle time.Duration) (bool, error)
}

// Dependencies are the parts and limits that a Proxy is built from.
type Dependencies struct {
	HeaderCodec HeaderCodec
	Upstream    Upstream
	Balancer    *balancer.Table
	Quota       *quota.Ledger
	RetryBudget *retrybudget.Budget
	Telemetry   *Telemetry
	// Boundary contains panics: one ends its connection, and no other.
	Boundary *contain.Boundary
	Links    Links
	// Peers are the hosts that requests are relayed to.
	Peers Peers
	// Reaches reports whether a listed endpoint, by its ID, accepts a connection of this host, and PeerReaches
	// whether one of a peer.
	Reaches     func(id string) bool
	PeerReaches func(ctx context.Context, id string) bool
	// Shares shares the room of fleets between organisations.
	Shares *fairshare.Table
	// Quarantine knows the requests and the prompts that crash endpoints.
	Quarantine *quarantine.Table
	// Origins knows where streams began.
	Origins *origin.Table
	// OnlyVersion returns the version at which all streams of a fleet began that callers could resume at a time;
	// false if there may be several. It may wait for the store to confirm this.
	OnlyVersion func(at time.Time, fleet string) (string, bool)
	// Rollouts decides which versions get requests; nil if there are no roll-outs. OnRollout is called when other
	// hosts should hear what this one has just learned of a version.
	Rollouts  *rollout.Table
	OnRollout func()
	// MayProbe reports whether this host may send a quarantined request to find out whether it still crashes
	// endpoints. At most one host may.
	MayProbe func() bool
	// OnCrash is called when an endpoint may have crashed.
	OnCrash func()
	// OnStarted is called once for each request of an organisation that may have started to run.
	OnStarted func(now time.Time, organisation string)
	// OnLeaving is called when a response says for the first time that its endpoint leaves.
	OnLeaving func()
	// OnLimit is called when an endpoint states another rate limit than before.
	OnLimit func()
	// KeyMaxAge limits the use of keys: they are refused once the configuration has not been
	// confirmed to be the newest for this time. Zero means that they are never refused for that.
	KeyMaxAge time.Duration
	// DenyMaxAge limits denials: a caller is told that a route or key is unknown only if the
	// configuration was confirmed within this time, and is otherwise told to retry.
	DenyMaxAge time.Duration
	// Bodies bounds the memory of request bodies.
	Bodies *bodybudget.Budget
	// MaxConns returns how many connections of callers may be open, given the size of a connection's read buffer in bytes;
	// nil or a result that is not positive means no limit. MaxRelayConns is the same for those of peers.
	MaxConns      func(bufferBytes int) int
	MaxRelayConns int
}

// Proxy forwards callers' requests to endpoints.
type Proxy struct {
	Dependencies
	telemetry *Telemetry
	// table is nil until a configuration is in force.
	table atomic.Pointer[route.Table]
	// confirmedAt is when the configuration was last known to be the newest, in nanoseconds on the
	// clock of package clock; zero if that was never known.
	confirmedAt atomic.Int64
	// discards bounds what is read of requests that are refused unread.
	discards *discard.Pool
	// relayed is the number of requests of peers that are being served.
	relayed  atomic.Int64
	demand   *demandMeter
	crashes  verify.Verifier
	prefills *recentPrefills
}

// New returns a proxy that refuses all requests until a table is set.
func New(d Dependencies) *Proxy {
	return &Proxy{
		Dependencies: d, telemetry: d.Telemetry, demand: newDemandMeter(), prefills: newRecentPrefills(),
		discards: discard.NewPool(),
		crashes: verify.Verifier{
			Table: d.Quarantine, Accepts: d.Upstream.Accepts, Listens: d.Upstream.Listens, PeerReaches: d.PeerReaches, OnSurvived: d.OnCrash, Now: clock.Now,
		},
	}
}

// SetTable puts a configuration in force. A request uses the same table from its start to its end.
func (p *Proxy) SetTable(t *route.Table) {
	p.table.Store(t)
	if largest := p.limits().MaxBodyBytes; !p.Bodies.SetLargest(int64(largest)) {
		p.telemetry.BodyLimitTooLarge(largest, p.Bodies.Usage().Limit)
	}
}

// Table returns the table in force; nil if there is none.
func (p *Proxy) Table() *route.Table { return p.table.Load() }

// ConfirmConfiguration records that the configuration in force was the newest at an instant.
// Instants before the latest one recorded have no effect.
func (p *Proxy) ConfirmConfiguration(at time.Time) {
	for {
		old := p.confirmedAt.Load()
		if at.UnixNano() <= old || p.confirmedAt.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// WithdrawConfirmation takes back what ConfirmConfiguration has recorded, and reports whether there was anything.
func (p *Proxy) WithdrawConfirmation() bool { return p.confirmedAt.Swap(0) != 0 }

// ConfirmedAt returns when the configuration was last known to be the newest, on the clock of
// package clock; the origin of that clock (the host's boot) if that was never known.
func (p *Proxy) ConfirmedAt() time.Time { return time.Unix(0, p.confirmedAt.Load()) }

// ConfigurationAge returns how long ago the configuration was last known to be the newest. If that
// was never known, it returns a time longer than any limit.
func (p *Proxy) ConfigurationAge(now time.Time) time.Duration {
	at := p.confirmedAt.Load()
	if at == 0 {
		return 1 << 62
	}
	return now.Sub(time.Unix(0, at))
}

// limits returns the limits for callers' connections: those of the configuration in force, with
// defaults for those that it does not set.
func (p *Proxy) limits() fleet.CallerLimits {
	t := p.table.Load()
	if t == nil {
		return defaultLimits
	}
	return withDefaults(t.Configuration().CallerLimits)
}

func withDefaults(l fleet.CallerLimits) fleet.CallerLimits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultLimits.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultLimits.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	return l
}

// pickFleet picks one of the route's fleets at random, by weight. Without weights it picks the first
// one; without fleets it returns an empty name.
func pickFleet(r *fleet.Route) string {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Fleet
	}
	at := rand.Float64() * total
	for _, w := range r.Split {
		if at -= w.Weight; at < 0 {
			return w.Fleet
		}
	}
	return r.Split[len(r.Split)-1].Fleet
}
