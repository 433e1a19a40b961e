package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"rattanchute/internal/fleet"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// site is a running example site.
type site struct {
	example        example
	dir            string
	ctlBinary      string
	standinProcess *exec.Cmd
	addresses      standin.ListenMap
	daemons        []*testsite.Daemon
	configuration  string
}

// The settings of the stand-in's engines, cloud and services.
const (
	tokenMillis            = 15
	prefillTokensPerSecond = 20000
	cacheTokens            = 100000
	keepMillis             = 2000
	listLagMillis          = 5000
	serviceDelayMillis     = 5
)

// startSite starts the stand-in and the daemons of an example site.
func startSite(e example, binaries, examples string) (*site, error) {
	dir, err := os.MkdirTemp("", "rattanchute-demo")
	if err != nil {
		return nil, err
	}
	s := &site{example: e, dir: dir, ctlBinary: filepath.Join(binaries, "rattanchutectl")}
	if err := s.start(binaries, filepath.Join(examples, e.name, "configuration.jsonc")); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(binaries, exampleFile string) error {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		return err
	}
	cfg, findings := fleet.ParseConfiguration(exampleFile, text)
	if len(findings) > 0 {
		return findings
	}
	if err := s.startStandin(filepath.Join(binaries, "rattanchute-standin"), cfg); err != nil {
		return err
	}
	s.configuration = s.writeConfiguration(string(text), cfg)
	return s.startDaemons(filepath.Join(binaries, "rattanchuted"))
}

// startStandin starts a stand-in with the example's hosts and endpoints on free ports.
func (s *site) startStandin(binary string, cfg *fleet.Configuration) error {
	file := filepath.Join(s.dir, "standin.json")
	data, err := json.Marshal(standinConfig(cfg))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	s.standinProcess = exec.Command(binary, "--settings", file)
	s.standinProcess.Stderr = os.Stderr
	out, err := s.standinProcess.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.standinProcess.Start(); err != nil {
		return err
	}
	return json.NewDecoder(bufio.NewReader(out)).Decode(&s.addresses)
}

func standinConfig(cfg *fleet.Configuration) standin.SiteConfig {
	c := standin.SiteConfig{Cloud: standin.CloudConfig{ListLagMillis: listLagMillis}}
	c.Platform.Token = testsite.PlatformToken
	dataCentres := make(map[string]string)
	for _, h := range cfg.Hosts {
		dataCentres[h.Name] = h.DataCentre
		c.Hosts = append(c.Hosts, standin.HostSpec{Name: h.Name, DataCentre: h.DataCentre,
			Class: h.Class, Kind: h.Kind, PricePerHour: h.PricePerHour})
	}
	fleets := make(map[string]fleet.Fleet)
	for _, f := range cfg.Fleets {
		fleets[f.Name] = f
	}
	for _, e := range cfg.Endpoints {
		f := fleets[e.Fleet]
		ec := standin.EndpointConfig{Kind: f.Kind, Fleet: e.Fleet, Host: e.Host,
			DataCentre: dataCentres[e.Host], DelayMillis: serviceDelayMillis}
		ec.EngineConfig = standin.EngineConfig{Name: e.Name, Models: f.Models, Slots: f.SlotsPerEndpoint,
			TokenMillis: tokenMillis, PrefillTokensPerSecond: prefillTokensPerSecond, CacheTokens: cacheTokens,
			BlockTokens: 16, KeepMillis: keepMillis, ChecksFencing: e.ChecksFencing}
		c.Endpoints = append(c.Endpoints, ec)
	}
	return c
}

// writeConfiguration writes the example's configuration with the stand-in's actual
// addresses to a file and returns its name.
func (s *site) writeConfiguration(text string, cfg *fleet.Configuration) string {
	actual := make(map[string]string)
	for _, e := range s.addresses.Endpoints {
		actual[e.Name] = e.Address
	}
	var pairs []string
	for _, e := range cfg.Endpoints {
		pairs = append(pairs, `"`+e.Address+`"`, `"`+actual[e.Name]+`"`)
	}
	file := filepath.Join(s.dir, "configuration.jsonc")
	_ = os.WriteFile(file, []byte(strings.NewReplacer(pairs...).Replace(text)), 0o600)
	return file
}

func (s *site) startDaemons(binary string) error {
	nodes, err := testsite.NewNodes(len(s.example.dataCentres), func(i int) string { return s.example.dataCentres[i] })
	if err != nil {
		return err
	}
	s.daemons, err = testsite.NewDaemons(s.dir, binary, nodes, testsite.CommonSettings{
		Platform:      s.addresses.Platform,
		ShutdownGrace: "30s",
	})
	if err != nil {
		return err
	}
	for _, d := range s.daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// ctl runs the operators' tool and returns its output.
func (s *site) ctl(args ...string) (string, error) {
	var servers []string
	for _, d := range s.daemons {
		servers = append(servers, d.Operators)
	}
	command := exec.Command(s.ctlBinary, args...)
	command.Env = append(os.Environ(),
		"RATTANCHUTE_SERVER="+strings.Join(servers, ","),
		"RATTANCHUTE_OPERATOR_KEY="+testsite.OperatorKey)
	var out bytes.Buffer
	command.Stdout = &out
	command.Stderr = &out
	if err := command.Run(); err != nil {
		return "", fmt.Errorf("rattanchutectl %s: %w: %s", strings.Join(args, " "), err, out.String())
	}
	return strings.TrimSpace(out.String()), nil
}

// close ends all processes and removes the temporary directory.
func (s *site) close() {
	for _, d := range s.daemons {
		d.Close()
	}
	if s.standinProcess != nil && s.standinProcess.Process != nil {
		_ = s.standinProcess.Process.Signal(syscall.SIGTERM)
		_ = s.standinProcess.Wait()
	}
	_ = os.RemoveAll(s.dir)
}
