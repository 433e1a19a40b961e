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
	user          user
	dir           string
	tool          string
	outside       *exec.Cmd
	listen        standin.ListenMap
	daemons       []*testsite.Daemon
	configuration string
}

// The pace of the demo's engines.
const (
	tokenMillis  = 15
	prefillRate  = 20000
	cacheTokens  = 100000
	keepMillis   = 2000
	listLag      = 5000
	servicePause = 5
)

// startSite starts the stand-in and three daemons and puts the example in force.
func startSite(u user, binaries, examples string) (*site, error) {
	dir, err := os.MkdirTemp("", "rattanchute-demo")
	if err != nil {
		return nil, err
	}
	s := &site{user: u, dir: dir, tool: filepath.Join(binaries, "rattanchutectl")}
	if err := s.start(binaries, filepath.Join(examples, u.name, "configuration.jsonc")); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(binaries, example string) error {
	text, err := os.ReadFile(example)
	if err != nil {
		return err
	}
	cfg, findings := fleet.ParseConfiguration(example, text)
	if len(findings) > 0 {
		return findings
	}
	if err := s.startOutside(filepath.Join(binaries, "rattanchute-standin"), cfg); err != nil {
		return err
	}
	s.configuration = s.writeConfiguration(string(text), cfg)
	return s.startDaemons(filepath.Join(binaries, "rattanchuted"))
}

// startOutside runs a stand-in with the example's hosts and endpoints on free ports.
func (s *site) startOutside(binary string, cfg *fleet.Configuration) error {
	file := filepath.Join(s.dir, "standin.json")
	data, err := json.Marshal(standinConfig(cfg))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	s.outside = exec.Command(binary, "--settings", file)
	s.outside.Stderr = os.Stderr
	out, err := s.outside.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.outside.Start(); err != nil {
		return err
	}
	return json.NewDecoder(bufio.NewReader(out)).Decode(&s.listen)
}

func standinConfig(cfg *fleet.Configuration) standin.SiteConfig {
	c := standin.SiteConfig{Cloud: standin.CloudConfig{ListLagMillis: listLag}}
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
			DataCentre: dataCentres[e.Host], DelayMillis: servicePause}
		ec.EngineConfig = standin.EngineConfig{Name: e.Name, Models: f.Models, Slots: f.SlotsPerEndpoint,
			TokenMillis: tokenMillis, PrefillTokensPerSecond: prefillRate, CacheTokens: cacheTokens,
			BlockTokens: 16, KeepMillis: keepMillis, ChecksFencing: e.ChecksFencing}
		c.Endpoints = append(c.Endpoints, ec)
	}
	return c
}

// writeConfiguration puts the stand-in's real addresses into the example's text.
func (s *site) writeConfiguration(text string, cfg *fleet.Configuration) string {
	actual := make(map[string]string)
	for _, e := range s.listen.Endpoints {
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
	nodes, err := testsite.NewNodes(len(s.user.dataCentres), func(i int) string { return s.user.dataCentres[i] })
	if err != nil {
		return err
	}
	s.daemons, err = testsite.NewDaemons(s.dir, binary, nodes, testsite.CommonSettings{
		Platform:      s.listen.Platform,
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

// ctl runs the operators' tool and returns what it printed.
func (s *site) ctl(args ...string) (string, error) {
	var servers []string
	for _, d := range s.daemons {
		servers = append(servers, d.Operators)
	}
	command := exec.Command(s.tool, args...)
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

// close ends all processes and removes the files.
func (s *site) close() {
	for _, d := range s.daemons {
		d.Close()
	}
	if s.outside != nil && s.outside.Process != nil {
		_ = s.outside.Process.Signal(syscall.SIGTERM)
		_ = s.outside.Wait()
	}
	_ = os.RemoveAll(s.dir)
}
