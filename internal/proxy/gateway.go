package proxy

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quota"
	"rattanchute/internal/retrybudget"
	"rattanchute/internal/route"
)

// Upstream sends requests to endpoints.
type Upstream interface {
	OpenTarget(ctx context.Context, target httpclient.Target, req *fasthttp.Request, own func(*fasthttp.ResponseHeader) bool) (*httpclient.Body, error)
}

// Dependencies are what a gateway works with.
type Dependencies struct {
	HeaderCodec HeaderCodec
	Upstream    Upstream
	Balancer    *balancer.Table
	Quota       *quota.Ledger
	RetryBudget *retrybudget.Budget
	Telemetry   *Telemetry
	// OnStarted is told of each request that began to run, by organisation.
	OnStarted func(now time.Time, organisation string)
	// KeyMaxAge is how old the confirmation of the configuration may be for requests with a
	// key; zero allows any age.
	KeyMaxAge time.Duration
	// DenyMaxAge is how old it may be for telling a caller that a route or key is unknown.
	DenyMaxAge time.Duration
	// MaxBodyBytes bounds the bodies held at once.
	MaxBodyBytes int64
}

// Proxy passes callers' requests on to endpoints.
type Proxy struct {
	Dependencies
	events *Telemetry
	// table is nil until a configuration is in force.
	table atomic.Pointer[route.Table]
	// confirmedAt is when the configuration was last known to be the newest, since boot.
	confirmedAt atomic.Int64
	bodyBytes   atomic.Int64
	demand      *demandMeter
	reads       *recentReads
}

// New returns a gateway that refuses everything until a table is set.
func New(p Dependencies) *Proxy {
	return &Proxy{Dependencies: p, events: p.Telemetry, demand: newDemandMeter(), reads: newRecentReads()}
}

// SetTable puts a configuration in force. A request is served by one table from its start
// to its end.
func (g *Proxy) SetTable(t *route.Table) { g.table.Store(t) }

// Table is the one in force; nil if none is.
func (g *Proxy) Table() *route.Table { return g.table.Load() }

// ConfirmConfiguration notes that the configuration in force was the newest at an instant.
func (g *Proxy) ConfirmConfiguration(at time.Time) {
	for {
		old := g.confirmedAt.Load()
		if at.UnixNano() <= old || g.confirmedAt.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// ConfirmedAt is when the configuration was last known to be the newest, since boot.
func (g *Proxy) ConfirmedAt() time.Time { return time.Unix(0, g.confirmedAt.Load()) }

// ConfigurationAge is how long ago the configuration was last known to be the newest.
func (g *Proxy) ConfigurationAge(now time.Time) time.Duration {
	at := g.confirmedAt.Load()
	if at == 0 {
		return 1 << 62
	}
	return now.Sub(time.Unix(0, at))
}

// limits are those for callers' connections.
func (g *Proxy) limits() fleet.CallerLimits {
	t := g.table.Load()
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

// split draws one of the fleets of a route by weight.
func split(r *fleet.Route) string {
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
