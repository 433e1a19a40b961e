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

// PlatformConfig sets the object store's listener and limits.
type PlatformConfig struct {
	StoreConfig
	// Address is "ip:port"; empty is a free port of 127.0.0.1.
	Address string `json:"address"`
	// Token is the bearer token that callers must send; empty asks for none.
	Token string `json:"token"`
}

// EndpointConfig sets one engine or service of a site.
type EndpointConfig struct {
	EngineConfig
	Kind       fleet.FleetKind `json:"kind"`
	Fleet      string          `json:"fleet"`
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	// DelayMillis is the time of one call of a service, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// SiteConfig sets all outside systems of one process.
type SiteConfig struct {
	Platform  PlatformConfig   `json:"platform"`
	Cloud     CloudConfig      `json:"cloud"`
	Hosts     []HostSpec       `json:"hosts"`
	Endpoints []EndpointConfig `json:"endpoints"`
}

// ParseSiteConfig reads JSON with comments; an unknown key is an error.
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

// endpoint is what a site needs of engines and services alike.
type endpoint interface {
	Listen() error
	Close()
	Address() string
	SetFaults(Faults)
}

// placed is an endpoint and where it runs.
type placed struct {
	endpoint
	config EndpointConfig
}

// Site is the platform, the cloud and the endpoints in one process.
type Site struct {
	Store *Store
	Cloud *Cloud

	config    SiteConfig
	server    *faultServer
	endpoints map[string]placed
	stop      context.Context
	cancel    context.CancelFunc
}

// NewSite returns a site that does not listen yet.
func NewSite(c SiteConfig) (*Site, error) {
	if c.Platform.Address == "" {
		c.Platform.Address = listenAnywhere
	}
	s := &Site{Store: NewStore(c.Platform.StoreConfig), config: c, endpoints: map[string]placed{}}
	s.stop, s.cancel = context.WithCancel(context.Background())
	s.Cloud = newCloud(c.Cloud, s.Store, s.startHost, s.endHost)
	s.server = newFaultServer(c.Platform.Address, s.handle)
	var findings []error
	for _, e := range c.Endpoints {
		findings = append(findings, s.addEndpoint(e))
	}
	s.addHosts()
	return s, errors.Join(findings...)
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
		s.endpoints[c.Name] = placed{NewEngine(c.EngineConfig), c}
	case fleet.FleetService:
		service := ServiceConfig{Name: c.Name, Address: c.Address, Slots: c.Slots, DelayMillis: c.DelayMillis}
		s.endpoints[c.Name] = placed{NewService(service), c}
	default:
		return fmt.Errorf("standin: endpoint %q: kind %q is not model or service", c.Name, c.Kind)
	}
	return nil
}

// addHosts makes the listed hosts known and those that only endpoints name.
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

// Listen opens all listeners; the endpoints of stopped hosts stay closed.
func (s *Site) Listen() error {
	if err := s.server.Listen(); err != nil {
		return err
	}
	off := map[string]bool{}
	for _, h := range s.config.Hosts {
		off[h.Name] = h.Stopped
	}
	for name, e := range s.endpoints {
		if off[e.config.Host] {
			continue
		}
		if err := e.Listen(); err != nil {
			return fmt.Errorf("standin: endpoint %q: %w", name, err)
		}
	}
	return nil
}

// Address is "ip:port" of the platform and the cloud.
func (s *Site) Address() string { return s.server.Address() }

// Close ends everything.
func (s *Site) Close() {
	s.cancel()
	s.Cloud.Close()
	s.server.Close()
	for _, e := range s.endpoints {
		e.Close()
	}
}

// Engine returns an engine of the site, nil if there is none of that name.
func (s *Site) Engine(name string) *Engine {
	e, _ := s.endpoints[name].endpoint.(*Engine)
	return e
}

// Service returns a service of the site, nil if there is none of that name.
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

func (s *Site) endHost(host string) {
	for _, e := range s.endpoints {
		if e.config.Host == host {
			e.Close()
		}
	}
}

// ListenMap tells where everything listens.
type ListenMap struct {
	Platform  string           `json:"platform"`
	Endpoints []ListenEndpoint `json:"endpoints"`
}

// ListenEndpoint tells where one endpoint listens.
type ListenEndpoint struct {
	Name       string          `json:"name"`
	Kind       fleet.FleetKind `json:"kind"`
	Fleet      string          `json:"fleet"`
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	Address    string          `json:"address"`
}

// ListenMap returns the addresses, by endpoint name.
func (s *Site) ListenMap() ListenMap {
	m := ListenMap{Platform: s.Address(), Endpoints: []ListenEndpoint{}}
	for name, e := range s.endpoints {
		c := e.config
		m.Endpoints = append(m.Endpoints, ListenEndpoint{name, c.Kind, c.Fleet, c.Host, c.DataCentre, e.Address()})
	}
	sort.Slice(m.Endpoints, func(i, j int) bool { return m.Endpoints[i].Name < m.Endpoints[j].Name })
	return m
}

// handle serves the platform, the cloud and the site's own calls.
func (s *Site) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if rest, ok := strings.CutPrefix(path, "/standin/"); ok {
		s.handleOwn(ctx, rest)
		return
	}
	token := s.config.Platform.Token
	if token != "" && string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) != "Bearer "+token {
		writeError(ctx, fasthttp.StatusUnauthorized, "bad_token")
		return
	}
	switch {
	case strings.HasPrefix(path, "/objects/"):
		s.Store.handleObjects(s.stop, ctx)
	case strings.HasPrefix(path, "/cloud/"):
		s.Cloud.handle(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no_such_path")
	}
}

// handleOwn serves the calls that belong to the stand-in itself.
func (s *Site) handleOwn(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "endpoints":
		writeJSON(ctx, fasthttp.StatusOK, s.ListenMap())
	case "store/counts":
		writeJSON(ctx, fasthttp.StatusOK, s.Store.Counts())
	case "store/faults":
		var f StoreFaults
		if decode(ctx, &f) {
			s.Store.SetFaults(f)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	default:
		s.handleEndpoint(ctx, strings.TrimPrefix(path, "endpoints/"))
	}
}

// handleEndpoint serves "{name}/faults" and "{name}/revive"; unlike the endpoint's
// own listener it is reached whatever the endpoint's faults are.
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
		if !decode(ctx, &f) {
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
