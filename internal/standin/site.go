package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/fleet"
)

// PlatformConfig configures the object store and the listener of the platform API.
type PlatformConfig struct {
	StoreConfig
	// Address is the listen address, "ip:port"; if empty, a free port of 127.0.0.1 is used.
	Address string `json:"address"`
	// Token is the bearer token that requests to the object store and the cloud must carry; if
	// empty, none is required.
	Token string `json:"token"`
}

// EndpointConfig configures one engine or service of a site.
type EndpointConfig struct {
	EngineConfig
	Kind       fleet.FleetKind `json:"kind"`
	Fleet      string          `json:"fleet"`
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	// DelayMillis is the duration of one call of a service, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// SiteConfig configures all external systems that run in one process.
type SiteConfig struct {
	Platform  PlatformConfig   `json:"platform"`
	Cloud     CloudConfig      `json:"cloud"`
	Hosts     []HostSpec       `json:"hosts"`
	Endpoints []EndpointConfig `json:"endpoints"`
}

// ParseSiteConfig parses JSON with comments. An unknown key is an error.
func ParseSiteConfig(text []byte) (SiteConfig, error) {
	var c SiteConfig
	plain, err := hujson.Standardize(text)
	if err != nil {
		return c, fmt.Errorf("standin: settings: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("standin: settings: %w", err)
	}
	return c, nil
}

// endpoint is an Engine or a Service.
type endpoint interface {
	Listen() error
	Close()
	Address() string
	SetFaults(Faults)
}

// placedEndpoint is an endpoint with its configuration, which names its host.
type placedEndpoint struct {
	endpoint
	config EndpointConfig
}

// Site runs the platform, the cloud and the endpoints in one process.
type Site struct {
	Store *Store
	Cloud *Cloud

	config    SiteConfig
	server    *faultServer
	endpoints map[string]placedEndpoint
	// lifetime is the context of the object store's calls over HTTP; Close cancels it.
	lifetime context.Context
	cancel   context.CancelFunc
}

// NewSite returns a site that does not listen yet. The error joins the errors of all endpoints
// whose configuration is not valid; the site has the others.
func NewSite(c SiteConfig) (*Site, error) {
	if c.Platform.Address == "" {
		c.Platform.Address = anyLocalPort
	}
	s := &Site{Store: NewStore(c.Platform.StoreConfig), config: c, endpoints: map[string]placedEndpoint{}}
	s.lifetime, s.cancel = context.WithCancel(context.Background())
	s.Cloud = newCloud(c.Cloud, s.Store, s.startHost, s.stopHost)
	s.server = newFaultServer(c.Platform.Address, s.handle)
	var errs []error
	for _, e := range c.Endpoints {
		errs = append(errs, s.addEndpoint(e))
	}
	s.addHosts()
	return s, errors.Join(errs...)
}

func (s *Site) addEndpoint(c EndpointConfig) error {
	if c.Name == "" {
		return errors.New("standin: an endpoint has no name")
	}
	if _, ok := s.endpoints[c.Name]; ok {
		return fmt.Errorf("standin: endpoint %q is listed twice", c.Name)
	}
	switch c.Kind {
	case fleet.FleetModel:
		s.endpoints[c.Name] = placedEndpoint{NewEngine(c.EngineConfig), c}
	case fleet.FleetService:
		service := ServiceConfig{Name: c.Name, Address: c.Address, Slots: c.Slots, DelayMillis: c.DelayMillis}
		s.endpoints[c.Name] = placedEndpoint{NewService(service), c}
	default:
		return fmt.Errorf("standin: endpoint %q: kind %q is not model or service", c.Name, c.Kind)
	}
	return nil
}

// addHosts registers the configured hosts and the hosts that only endpoints refer to.
func (s *Site) addHosts() {
	known := map[string]bool{}
	for _, h := range s.config.Hosts {
		known[h.Name] = true
		s.Cloud.add(h)
	}
	for _, e := range s.config.Endpoints {
		if e.Host == "" || known[e.Host] {
			continue
		}
		known[e.Host] = true
		s.Cloud.add(HostSpec{Name: e.Host, DataCentre: e.DataCentre, Kind: fleet.HostReclaimable})
	}
}

// Listen opens all listeners except those of endpoints on stopped hosts.
func (s *Site) Listen() error {
	if err := s.server.Listen(); err != nil {
		return err
	}
	stopped := map[string]bool{}
	for _, h := range s.config.Hosts {
		stopped[h.Name] = h.Stopped
	}
	for name, e := range s.endpoints {
		if stopped[e.config.Host] {
			continue
		}
		if err := e.Listen(); err != nil {
			return fmt.Errorf("standin: endpoint %q: %w", name, err)
		}
	}
	return nil
}

// Address returns the "ip:port" on which the platform and the cloud are served.
func (s *Site) Address() string { return s.server.Address() }

// Close stops the platform, the cloud and all endpoints.
func (s *Site) Close() {
	s.cancel()
	s.Cloud.Close()
	s.server.Close()
	for _, e := range s.endpoints {
		e.Close()
	}
}

// Engine returns the engine with the given name, or nil if there is none.
func (s *Site) Engine(name string) *Engine {
	e, _ := s.endpoints[name].endpoint.(*Engine)
	return e
}

// Service returns the service with the given name, or nil if there is none.
func (s *Site) Service(name string) *Service {
	e, _ := s.endpoints[name].endpoint.(*Service)
	return e
}

func (s *Site) startHost(host string) {
	for _, e := range s.endpoints {
		if e.config.Host == host {
			_ = e.Listen()
		}
	}
}

func (s *Site) stopHost(host string) {
	for _, e := range s.endpoints {
		if e.config.Host == host {
			e.Close()
		}
	}
}

// ListenMap contains the listen addresses of a site.
type ListenMap struct {
	Platform  string           `json:"platform"`
	Endpoints []ListenEndpoint `json:"endpoints"`
}

// ListenEndpoint is one endpoint and its listen address.
type ListenEndpoint struct {
	Name       string          `json:"name"`
	Kind       fleet.FleetKind `json:"kind"`
	Fleet      string          `json:"fleet"`
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	Address    string          `json:"address"`
}

// ListenMap returns the listen addresses, with the endpoints sorted by name.
func (s *Site) ListenMap() ListenMap {
	m := ListenMap{Platform: s.Address(), Endpoints: []ListenEndpoint{}}
	for name, e := range s.endpoints {
		c := e.config
		m.Endpoints = append(m.Endpoints, ListenEndpoint{name, c.Kind, c.Fleet, c.Host, c.DataCentre, e.Address()})
	}
	sort.Slice(m.Endpoints, func(i, j int) bool { return m.Endpoints[i].Name < m.Endpoints[j].Name })
	return m
}

// handle serves the APIs of the platform and the cloud, and the control API.
func (s *Site) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if rest, ok := strings.CutPrefix(path, "/standin/"); ok {
		s.handleControl(ctx, rest)
		return
	}
	token := s.config.Platform.Token
	if token != "" && string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) != "Bearer "+token {
		writeError(ctx, fasthttp.StatusUnauthorized, "bad_token")
		return
	}
	switch {
	case strings.HasPrefix(path, "/objects/"):
		s.Store.handleObjects(s.lifetime, ctx)
	case strings.HasPrefix(path, "/cloud/"):
		s.Cloud.handle(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	}
}

// handleControl serves the control API of the fakes, under "/standin/". It needs no
// token.
func (s *Site) handleControl(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "endpoints":
		writeJSON(ctx, fasthttp.StatusOK, s.ListenMap())
	case "store/counts":
		writeJSON(ctx, fasthttp.StatusOK, s.Store.Counts())
	case "store/faults":
		var f StoreFaults
		if decodeBody(ctx, &f) {
			s.Store.SetFaults(f)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	default:
		s.handleEndpoint(ctx, strings.TrimPrefix(path, "endpoints/"))
	}
}

// handleEndpoint serves "{name}/faults" and "{name}/revive". Unlike the endpoint's own
// listener, it can be reached regardless of the endpoint's faults.
func (s *Site) handleEndpoint(ctx *fasthttp.RequestCtx, rest string) {
	name, action, _ := strings.Cut(rest, "/")
	e, ok := s.endpoints[name]
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no_such_endpoint")
		return
	}
	switch action {
	case "faults":
		var f Faults
		if !decodeBody(ctx, &f) {
			return
		}
		e.SetFaults(f)
	case "revive":
		e.SetFaults(Faults{})
		if err := e.Listen(); err != nil {
			writeError(ctx, fasthttp.StatusConflict, err.Error())
			return
		}
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
