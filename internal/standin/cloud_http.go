package standin

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// hostsAnswer is the body of a host list answer.
type hostsAnswer struct {
	Hosts []ListedHost `json:"hosts"`
}

// noticesAnswer is the body of a notices answer.
type noticesAnswer struct {
	Notices []Notice `json:"notices"`
}

// noticeRequest announces the end of a host or of a data centre's hosts.
type noticeRequest struct {
	Host       string  `json:"host"`
	DataCentre string  `json:"data_centre"`
	Seconds    float64 `json:"seconds"`
}

// refusalsRequest replaces the refused placements.
type refusalsRequest struct {
	Refusals []Placement `json:"refusals"`
}

// priceRequest changes the prices of a placement.
type priceRequest struct {
	Placement
	PricePerHour int64 `json:"price_per_hour_milli"`
}

// handle serves the cloud API.
func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/cloud/hosts":
		writeJSON(ctx, fasthttp.StatusOK, hostsAnswer{Hosts: c.List()})
	case path == "/cloud/notices":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		writeJSON(ctx, fasthttp.StatusOK, noticesAnswer{Notices: c.Notices(after)})
	case !ctx.IsPost():
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	case path == "/cloud/notice":
		c.handleNotice(ctx)
	case path == "/cloud/refusals":
		var r refusalsRequest
		if decode(ctx, &r) {
			c.Refuse(r.Refusals)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	case path == "/cloud/prices":
		var r priceRequest
		if decode(ctx, &r) {
			c.SetPrice(r.Placement, r.PricePerHour)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	default:
		c.handleHost(ctx, strings.TrimPrefix(path, "/cloud/hosts/"))
	}
}

func (c *Cloud) handleNotice(ctx *fasthttp.RequestCtx) {
	var r noticeRequest
	if !decode(ctx, &r) {
		return
	}
	notices, err := c.Notice(r.Host, r.DataCentre, time.Duration(r.Seconds*float64(time.Second)))
	if err != nil {
		writeCloudError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, noticesAnswer{Notices: notices})
}

// handleHost serves "{name}/start" and "{name}/stop".
func (c *Cloud) handleHost(ctx *fasthttp.RequestCtx, rest string) {
	name, action, _ := strings.Cut(rest, "/")
	switch action {
	case "start":
		var s HostSpec
		if len(ctx.PostBody()) > 0 && !decode(ctx, &s) {
			return
		}
		s.Name = name
		state, err := c.Start(s)
		if err != nil {
			writeCloudError(ctx, err)
			return
		}
		writeJSON(ctx, fasthttp.StatusCreated, state)
	case "stop":
		if err := c.Stop(name); err != nil {
			writeCloudError(ctx, err)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	}
}

func writeCloudError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, ErrStartRefused):
		writeError(ctx, fasthttp.StatusServiceUnavailable, "start_refused")
	case errors.Is(err, ErrHostRunning):
		writeError(ctx, fasthttp.StatusConflict, "host_running")
	default:
		writeError(ctx, fasthttp.StatusNotFound, "unknown_host")
	}
}
