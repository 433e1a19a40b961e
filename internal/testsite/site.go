// Package testsite starts a small deployment, called a site, for tests and the demo: the
// stand-in with its fakes of platform, cloud, engines and services, and several daemons
// that use them.
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

// The secrets of a site.
const (
	CallerKey      = "caller-key"
	OtherCallerKey = "other-caller-key"
	OperatorKey    = "operator-key"
	PlatformToken  = "platform-token"
	peerSecret     = "peer-secret-0123456789"
	resumeKey      = "resume-key-0123456789-0123456789-0123"
)

// Model is the model that the engines serve.
const Model = "test-model"

// Options define a site.
type Options struct {
	Daemons  int
	Engines  int
	Services int
	// DataCentres is the number of data centres; zero means one. Hosts and daemons are
	// distributed over them in turn.
	DataCentres int
	Engine      standin.EngineConfig
	Cloud       standin.CloudConfig
	// ServiceDelayMillis is the duration of a service call, in milliseconds.
	ServiceDelayMillis int
	// RequestsPerSecond is the rate limit of the first organisation; zero means none.
	RequestsPerSecond float64
	// ShutdownGrace is the grace period of a stopping daemon; empty means 30 s.
	ShutdownGrace string
	// ReadHeaderTimeout limits the time in which a request must arrive; empty means 10 s.
	ReadHeaderTimeout string
	// MaxOpenStreams limits the open streams of a daemon; zero means defaultMaxOpenStreams.
	MaxOpenStreams int
	// MaxBodyBytes limits the body of a request; zero means the daemons' default.
	MaxBodyBytes int
	// MemoryBytes is the memory of a daemon's machine; zero means that of this machine.
	MemoryBytes int
	// Descriptors limits the file descriptors of a daemon; zero means the limit of this process.
	Descriptors int
	// TLS is the value of the daemons' settings key "tls"; empty means none.
	TLS string
	// EngineVersions are the software versions of the engines, in turn; empty means none.
	EngineVersions []string
	// CallerTLS is the TLS configuration of callers; nil means plain HTTP.
	CallerTLS *tls.Config
}

func (o Options) shutdownGrace() string {
	if o.ShutdownGrace == "" {
		return "30s"
	}
	return o.ShutdownGrace
}

// standin returns the settings of the stand-in.
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

// configurationText returns the configuration of the daemons, with the endpoints that
// listen at the addresses in m.
func (o Options) configurationText(m standin.ListenMap) []byte {
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
	for i, e := range m.Endpoints {
		version := ""
		if n := len(o.EngineVersions); n > 0 {
			version = o.EngineVersions[i%n]
		}
		cfg.Hosts = append(cfg.Hosts, fleet.Host{Name: e.Host, DataCentre: e.DataCentre, Class: "small",
			Kind: fleet.HostReclaimable, PricePerHour: 100})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: e.Name, Host: e.Host, Fleet: e.Fleet, Address: e.Address, Version: version})
	}
	text, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	return text
}

// Digest returns the hex SHA-256 digest of a key, the form in which configurations hold
// keys.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
