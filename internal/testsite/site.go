// Package testsite starts a small site for tests and the demo: the stand-in's platform,
// cloud, engines and services, and several daemons in front of them.
package testsite

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"rattanchute/internal/fleet"
	"rattanchute/internal/standin"
)

// The secrets of a test site.
const (
	CallerKey      = "caller-key"
	OtherCallerKey = "other-caller-key"
	OperatorKey    = "operator-key"
	PlatformToken  = "platform-token"
	peerSecret     = "peer-secret-0123456789"
	resumeKey      = "resume-key-0123456789-0123456789-0123"
)

// Model is the model that the site's engines serve.
const Model = "test-model"

// Options set the size of a site.
type Options struct {
	Daemons  int
	Engines  int
	Services int
	// DataCentres spreads hosts and daemons in turn; at least one.
	DataCentres int
	Engine      standin.EngineConfig
	Cloud       standin.CloudConfig
	// ServiceDelayMillis is the time of one service call.
	ServiceDelayMillis int
	// RequestsPerSecond limits the first organisation; zero does not.
	RequestsPerSecond float64
	// ShutdownGrace is how long a stopping daemon waits; empty is half a minute.
	ShutdownGrace string
	// ReadHeaderTimeout bounds the arrival of a request; empty is the default.
	ReadHeaderTimeout string
	// MaxOpenStreams bounds the open streams of a daemon; zero is the usual bound.
	MaxOpenStreams int
	// TLS is the value of the daemons' settings key "tls"; empty leaves it out.
	TLS string
	// CallerTLS is how callers connect; nil is plainly.
	CallerTLS *tls.Config
}

func (o Options) shutdownGrace() string {
	if o.ShutdownGrace == "" {
		return "30s"
	}
	return o.ShutdownGrace
}

// Config returns the stand-in's settings and the matching configuration once the
// stand-in listens.
func (o Options) standin() standin.SiteConfig {
	c := standin.SiteConfig{Cloud: o.Cloud}
	c.Platform.Token = PlatformToken
	for i := range o.Engines {
		c.Hosts = append(c.Hosts, o.host("engine-host", i))
		e := standin.EndpointConfig{EngineConfig: o.Engine, Kind: fleet.FleetModel, Fleet: "llm"}
		e.Name = fmt.Sprintf("engine-%d", i)
		e.Host = fmt.Sprintf("engine-host-%d", i)
		e.DataCentre = o.dataCentre(i)
		c.Endpoints = append(c.Endpoints, e)
	}
	for i := range o.Services {
		c.Hosts = append(c.Hosts, o.host("service-host", i))
		e := standin.EndpointConfig{Kind: fleet.FleetService, Fleet: "app", DelayMillis: o.ServiceDelayMillis}
		e.Name = fmt.Sprintf("service-%d", i)
		e.Host = fmt.Sprintf("service-host-%d", i)
		e.DataCentre = o.dataCentre(i)
		c.Endpoints = append(c.Endpoints, e)
	}
	return c
}

func (o Options) host(prefix string, i int) standin.HostSpec {
	return standin.HostSpec{
		Name:       fmt.Sprintf("%s-%d", prefix, i),
		DataCentre: o.dataCentre(i),
		Class:      "small",
		Kind:       fleet.HostReclaimable,
	}
}

func (o Options) dataCentre(i int) string {
	return fmt.Sprintf("dc-%d", i%max(o.DataCentres, 1))
}

// Configuration declares the listening endpoints to the daemons.
func (o Options) configuration(m standin.ListenMap) []byte {
	cfg := fleet.Configuration{
		Fleets: []fleet.Fleet{
			{Name: "llm", Kind: fleet.FleetModel, Models: []string{Model}, SlotsPerEndpoint: max(o.Engine.Slots, 1)},
			{Name: "app", Kind: fleet.FleetService, PathPrefix: "/app/", SlotsPerEndpoint: 64, Calls: []fleet.Call{
				{Method: "POST", Path: "/app/book", Idempotent: false},
				{Method: "POST", Path: "/app/search", Idempotent: true},
			}},
		},
		Organisations: []fleet.Organisation{
			{Name: "first", KeyHashes: []string{Digest(CallerKey)}, RequestsPerSecond: o.RequestsPerSecond, Burst: int(o.RequestsPerSecond)},
			{Name: "second", KeyHashes: []string{Digest(OtherCallerKey)}},
		},
		Selectors: []fleet.Selector{{Name: "all", Priority: 5}},
	}
	for i := range max(o.DataCentres, 1) {
		cfg.DataCentres = append(cfg.DataCentres, fleet.DataCentre{Name: o.dataCentre(i), Region: "region"})
	}
	for _, e := range m.Endpoints {
		cfg.Hosts = append(cfg.Hosts, fleet.Host{Name: e.Host, DataCentre: e.DataCentre, Class: "small",
			Kind: fleet.HostReclaimable, PricePerHour: 100})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: e.Name, Host: e.Host, Fleet: e.Fleet, Address: e.Address})
	}
	text, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	return text
}

// Digest is the hex SHA-256 of a key, as configurations hold it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
