package operators

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/settings"
)

// Backend is what the daemon does for its operators.
type Backend interface {
	// Configuration reads the configuration from the platform or, while that is down,
	// returns the one in force here.
	Configuration(ctx context.Context) (api.Configuration, error)
	// Apply accepts a change; its errors are those of change.Accept.
	Apply(ctx context.Context, c configstore.Change) (configstore.Accepted, error)
	// Audit returns up to limit entries, newest first.
	Audit(ctx context.Context, limit int) ([]configstore.Entry, error)
	Status() api.Status
	// Members returns the daemons with their status; see Gather.
	Members(ctx context.Context) []api.Member
	Explain(request api.ExplainRequest) api.Explanation
	// Drain makes a daemon fail its readiness and finish its open requests; ErrNoNode
	// if there is none of that name.
	Drain(ctx context.Context, node string) (api.Status, error)
}

// ErrUnknownNode means that no daemon of the name is known.
var ErrUnknownNode = errors.New("operators: no such daemon")

// operationTimeout bounds one request to the platform on an operator's behalf.
const operationTimeout = 15 * time.Second

// handler routes requests to the backend.
type handler struct {
	backend Backend
	keys    []operatorKey
	metrics fasthttp.RequestHandler
}

// NewHandler returns the handler of the operators' listener.
func NewHandler(backend Backend, operators []settings.Operator, metrics prometheus.Gatherer) fasthttp.RequestHandler {
	h := &handler{
		backend: backend,
		keys:    keysOf(operators),
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})),
	}
	return h.serve
}

func (h *handler) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case api.PathMetrics:
		h.metrics(ctx)
	case api.PathHealth:
		ctx.SetBodyString("ok\n")
	case api.PathReady:
		h.ready(ctx)
	default:
		h.serveOperator(ctx)
	}
}

func (h *handler) ready(ctx *fasthttp.RequestCtx) {
	status := h.backend.Status()
	if status.Ready {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready: " + status.NotReady + "\n")
}

// route is one method of one path for authenticated operators.
type route struct {
	method string
	path   string
	serve  func(ctx *fasthttp.RequestCtx, operator string)
}

func (h *handler) routes() []route {
	return []route{
		{fasthttp.MethodGet, api.PathConfiguration, h.configuration},
		{fasthttp.MethodPut, api.PathConfiguration, h.apply},
		{fasthttp.MethodGet, api.PathStatus, h.status},
		{fasthttp.MethodGet, api.PathMembers, h.members},
		{fasthttp.MethodPost, api.PathExplain, h.explain},
		{fasthttp.MethodPost, api.PathDrain, h.drain},
		{fasthttp.MethodGet, api.PathAudit, h.audit},
	}
}

func (h *handler) serveOperator(ctx *fasthttp.RequestCtx) {
	operator, ok := h.authenticate(ctx)
	if !ok {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		problem(ctx, fasthttp.StatusUnauthorized, api.Problem{Code: api.CodeUnauthorised, Message: "an operator's key is needed"})
		return
	}
	known := false
	for _, r := range h.routes() {
		if r.path != string(ctx.Path()) {
			continue
		}
		known = true
		if r.method == string(ctx.Method()) {
			r.serve(ctx, operator)
			return
		}
	}
	if known {
		problem(ctx, fasthttp.StatusMethodNotAllowed, api.Problem{Code: api.CodeMethodNotAllowed, Message: "the path has no such method"})
		return
	}
	problem(ctx, fasthttp.StatusNotFound, api.Problem{Code: api.CodeNotFound, Message: "there is no such path"})
}

// operationContext bounds what is done for one request.
func operationContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), operationTimeout)
}
