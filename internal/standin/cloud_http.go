package standin

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// hostsResponse is the response body of the host list.
type hostsResponse struct {
	Hosts []ListedHost `json:"hosts"`
}

// noticesResponse is the response body of the calls that return reclaim notices.
type noticesResponse struct {
	Notices []Notice `json:"notices"`
}

// noticeRequest requests a reclaim notice for a host, for all hosts of a data centre, or for both.
// Seconds is the notice period.
type noticeRequest struct {
	Host       string  `json:"host"`
	DataCentre string  `json:"data_centre"`
	Seconds    float64 `json:"seconds"`
}

// refusalsRequest replaces the placements in which host starts are refused.
type refusalsRequest struct {
	Refusals []Placement `json:"refusals"`
}

// priceRequest changes the price of all hosts that match a placement.
type priceRequest struct {
	Placement
	PricePerHour int64 `json:"price_per_hour_milli"`
}

// handle serves the HTTP API of the cloud.
func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/cloud/hosts":
		writeJSON(ctx, fasthttp.StatusOK, hostsResponse{Hosts: c.List()})
	case path == "/cloud/notices":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		writeJSON(ctx, fasthttp.StatusOK, noticesResponse{Notices: c.Notices(after)})
	case !ctx.IsPost():
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	case path == "/cloud/notice":
		c.handleNotice(ctx)
	case path == "/cloud/refusals":
		var r refusalsRequest
		if decodeBody(ctx, &r) {
			c.Refuse(r.Refusals)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	case path == "/cloud/prices":
		var r priceRequest
		if decodeBody(ctx, &r) {
			c.SetPrice(r.Placement, r.PricePerHour)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	default:
		c.handleHost(ctx, strings.TrimPrefix(path, "/cloud/hosts/"))
	}
}

func (c *Cloud) handleNotice(ctx *fasthttp.RequestCtx) {
	var r noticeRequest
	if !decodeBody(ctx, &r) {
		return
	}
	notices, err := c.Notice(r.Host, r.DataCentre, time.Duration(r.Seconds*float64(time.Second)))
	if err != nil {
		writeCloudError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, noticesResponse{Notices: notices})
}

// handleHost serves "{name}/start" and "{name}/stop".
func (c *Cloud) handleHost(ctx *fasthttp.RequestCtx, rest string) {
	name, action, _ := strings.Cut(rest, "/")
	switch action {
	case "start":
		var s HostSpec
		if len(ctx.PostBody()) > 0 && !decodeBody(ctx, &s) {
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
