package servebench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"rattanchute/internal/adapter/platformhttp"
	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// fleetPlan describes a fleet. It has two separate sets of engines: one for the daemon and one for
// the direct load.
type fleetPlan struct {
	model   string
	engines int
	config  standin.EngineConfig
}

var steadyFleet = fleetPlan{"steady", steadyEngines, standin.EngineConfig{
	Slots:       steadySlots,
	TokenMillis: milliseconds(plannedTokenInterval),
	KeepMillis:  int(streamRetention.Milliseconds()),
}}

var smallFleet = fleetPlan{"small", smallEngines, standin.EngineConfig{
	Slots:                  smallSlots,
	TokenMillis:            milliseconds(smallTokenInterval),
	PrefillTokensPerSecond: smallPrefillTokensPerSecond,
	KeepMillis:             int(streamRetention.Milliseconds()),
}}

var fleetPlans = []fleetPlan{steadyFleet, smallFleet}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// The two sets of engines of each fleet.
const (
	daemonSet = "daemon"
	directSet = "direct"
)

// site consists of the processes of the stand-in and of the daemon.
type site struct {
	standIn   *exec.Cmd
	listeners standin.ListenMap
	daemon    *testsite.Daemon
}

// startTimeout bounds the time until the daemon serves requests.
const startTimeout = 20 * time.Second

func startSite(dir string) (*site, error) {
	s := &site{}
	for _, step := range []func(string) error{s.startStandIn, s.storeConfiguration, s.startDaemon} {
		if err := step(dir); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *site) startStandIn(dir string) error {
	binary, err := testsite.Build(dir, "rattanchute-standin")
	if err != nil {
		return err
	}
	text, err := json.Marshal(standInConfig())
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "standin.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	command := exec.Command(binary, "--settings", file)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	s.standIn = command
	return json.NewDecoder(bufio.NewReader(out)).Decode(&s.listeners)
}

func standInConfig() standin.SiteConfig {
	var c standin.SiteConfig
	c.Platform.Token = testsite.PlatformToken
	for _, f := range fleetPlans {
		for _, set := range []string{daemonSet, directSet} {
			for i := range f.engines {
				e := standin.EndpointConfig{EngineConfig: f.config, Kind: fleet.FleetModel, Fleet: f.model}
				e.Name = fmt.Sprintf("%s-%s-%d", f.model, set, i)
				e.Host = "host-" + e.Name
				e.DataCentre = "dc"
				c.Endpoints = append(c.Endpoints, e)
			}
		}
	}
	return c
}

// addresses returns the addresses of one set of engines of a fleet.
func (s *site) addresses(f fleetPlan, set string) []string {
	var list []string
	for _, e := range s.listeners.Endpoints {
		if strings.HasPrefix(e.Name, f.model+"-"+set+"-") {
			list = append(list, e.Address)
		}
	}
	return list
}

func (s *site) storeConfiguration(string) error {
	text, err := json.Marshal(s.configuration())
	if err != nil {
		return err
	}
	value, err := json.Marshal(gossip.StoredConfiguration{Generation: 1, Text: string(text)})
	if err != nil {
		return err
	}
	store := platformhttp.New(platformhttp.Options{Address: s.listeners.Platform, Token: testsite.PlatformToken})
	_, err = store.Create(context.Background(), objectstore.KindConfiguration, "current", value)
	return err
}

// configuration declares the engines behind the daemon.
func (s *site) configuration() fleet.Configuration {
	c := fleet.Configuration{
		DataCentres:   []fleet.DataCentre{{Name: "dc", Region: "region"}},
		Organisations: []fleet.Organisation{{Name: "first", KeyHashes: []string{testsite.Digest(testsite.CallerKey)}}},
		Selectors:     []fleet.Selector{{Name: "all", Priority: 5}},
	}
	for _, f := range fleetPlans {
		c.Fleets = append(c.Fleets, fleet.Fleet{Name: f.model, Kind: fleet.FleetModel,
			Models: []string{f.model}, SlotsPerEndpoint: f.config.Slots})
	}
	for _, e := range s.listeners.Endpoints {
		if !strings.Contains(e.Name, "-"+daemonSet+"-") {
			continue
		}
		c.Hosts = append(c.Hosts, fleet.Host{Name: e.Host, DataCentre: e.DataCentre, Class: "small", Kind: fleet.HostReclaimable})
		c.Endpoints = append(c.Endpoints, fleet.Endpoint{Name: e.Name, Host: e.Host, Fleet: e.Fleet, Address: e.Address})
	}
	return c
}

func (s *site) startDaemon(dir string) error {
	binary, err := testsite.Build(dir, "rattanchuted")
	if err != nil {
		return err
	}
	nodes, err := testsite.NewNodes(1, func(int) string { return "dc" })
	if err != nil {
		return err
	}
	daemons, err := testsite.NewDaemons(dir, binary, nodes, testsite.CommonSettings{Platform: s.listeners.Platform, ShutdownGrace: "1s"})
	if err != nil {
		return err
	}
	s.daemon = daemons[0]
	if err := s.daemon.Start(); err != nil {
		return err
	}
	caller := testsite.NewCaller(testsite.CallerKey, s.daemon.Callers)
	return s.daemon.WaitServing(caller, steadyFleet.model, startTimeout)
}

// close terminates both processes.
func (s *site) close() {
	if s.daemon != nil {
		s.daemon.Close()
	}
	if s.standIn != nil {
		_ = s.standIn.Process.Signal(syscall.SIGTERM)
		_ = s.standIn.Wait()
	}
}
