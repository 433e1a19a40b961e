package operators

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"rattanchute/internal/adapter/bodyhttp"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/discard"
	"rattanchute/internal/fleet"
	"rattanchute/internal/settings"
)

// Backend implements the operations that a daemon offers to operators.
type Backend interface {
	// Configuration returns the configuration stored in the platform or, while the platform
	// is unreachable, the one in force on this daemon.
	Configuration(ctx context.Context) (api.Configuration, error)
	// Apply accepts a change. Its errors are those of configstore.Accept.
	Apply(ctx context.Context, c configstore.Change) (configstore.Accepted, error)
	// Audit returns up to limit entries, newest first.
	Audit(ctx context.Context, limit int) ([]configstore.Entry, error)
	Status() api.Status
	// Members returns the daemons with their status, see Gather.
	Members(ctx context.Context) []api.Member
	Explain(request api.ExplainRequest) api.Explanation
	Quarantines() api.Quarantines
	// Release ends the quarantines of the parts on all daemons.
	Release(operator string, r api.ReleaseRequest)
	// Drain makes a daemon fail its readiness check, so that the load balancer sends it no
	// more requests. The daemon still serves those that arrive. Drain returns ErrUnknownNode
	// if no daemon of that name is known.
	Drain(ctx context.Context, node string) (api.Status, error)
}

// ErrUnknownNode means that there is no daemon of the given name.
var ErrUnknownNode = errors.New("operators: no such daemon")

// operationTimeout bounds an operation of the backend that takes a context.
const operationTimeout = 15 * time.Second

// Handler serves metrics, health and readiness without a key, and routes the requests of
// authenticated operators to the backend.
type Handler struct {
	backend Backend
	bodies  bodyhttp.Receiver
	keys    []operatorKey
	metrics fasthttp.RequestHandler
	log     *log.Logger
}

// NewHandler returns the handler of the operators' listener. The budget bounds the memory of bodies.
func NewHandler(
	backend Backend, operators []settings.Operator, bodies *bodybudget.Budget, metrics prometheus.Gatherer, logger *log.Logger,
) *Handler {
	return &Handler{
		log:     logger,
		backend: backend,
		bodies: bodyhttp.Receiver{
			Budget: bodies, Discards: discard.NewPool(), MaxBytes: fleet.MaxTextBytes, IdleTimeout: readTimeout, Timeout: readTimeout,
			Log: logger, Listener: "operators",
		},
		keys:    newOperatorKeys(operators),
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})),
	}
}

func (h *Handler) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case api.PathMetrics:
		h.bodies.Refuse(ctx)
		h.metrics(ctx)
	case api.PathHealth:
		h.bodies.Refuse(ctx)
		ctx.SetBodyString("ok\n")
	case api.PathReady:
		h.bodies.Refuse(ctx)
		h.ready(ctx)
	default:
		h.serveOperator(ctx)
	}
}

func (h *Handler) ready(ctx *fasthttp.RequestCtx) {
	status := h.backend.Status()
	if status.Ready {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready: " + status.NotReady + "\n")
}

// route is a method and path that is served to authenticated operators.
type route struct {
	method string
	path   string
	serve  func(ctx *fasthttp.RequestCtx, operator string)
}

func (h *Handler) routes() []route {
	return []route{
		{fasthttp.MethodGet, api.PathConfiguration, h.configuration},
		{fasthttp.MethodPut, api.PathConfiguration, h.apply},
		{fasthttp.MethodGet, api.PathStatus, h.status},
		{fasthttp.MethodGet, api.PathMembers, h.members},
		{fasthttp.MethodPost, api.PathExplain, h.explain},
		{fasthttp.MethodPost, api.PathDrain, h.drain},
		{fasthttp.MethodGet, api.PathQuarantines, h.quarantines},
		{fasthttp.MethodPost, api.PathRelease, h.release},
		{fasthttp.MethodGet, api.PathAudit, h.audit},
	}
}

func (h *Handler) serveOperator(ctx *fasthttp.RequestCtx) {
	operator, ok := h.authenticate(&ctx.Request.Header)
	if !ok {
		h.bodies.Refuse(ctx)
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		writeProblem(ctx, fasthttp.StatusUnauthorized,
			api.Problem{Code: api.CodeUnauthorised, Message: "an operator's key is needed"})
		return
	}
	pathExists := false
	for _, r := range h.routes() {
		if r.path != string(ctx.Path()) {
			continue
		}
		pathExists = true
		if r.method == string(ctx.Method()) {
			h.serveRoute(ctx, r, operator)
			return
		}
	}
	if pathExists {
		writeProblem(ctx, fasthttp.StatusMethodNotAllowed,
			api.Problem{Code: api.CodeMethodNotAllowed, Message: "the path has no such method"})
		return
	}
	writeProblem(ctx, fasthttp.StatusNotFound, api.Problem{Code: api.CodeNotFound, Message: "there is no such path"})
}

// serveRoute receives the body of an operator's request and serves it.
func (h *Handler) serveRoute(ctx *fasthttp.RequestCtx, r route, operator string) {
	held, err := h.bodies.Receive(ctx, "")
	if err != nil {
		refuseBody(ctx, err)
		return
	}
	defer held.Release()
	r.serve(ctx, operator)
}

// operationContext returns a context that ends after operationTimeout.
func operationContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), operationTimeout)
}
