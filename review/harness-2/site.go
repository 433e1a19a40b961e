package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments.
const (
	revokeMs  = 5000
	windowS   = 5
	leaseMs   = 3000
	drainMs   = 2000
	graceS    = 8
	heartbeat = 1200 * time.Millisecond
)

var zones = []string{"z1", "z2", "z3", "z4"}

// site is a small deployment.
type site struct {
	record  *record
	folder  string
	trouble bool
	broken  bool
	store   *store
	cloud   *cloud
	hosts   []*host
	runners []*runner
	ips     int
}

func newSite(folder string) *site {
	r := &record{began: time.Now()}
	return &site{record: r, folder: folder, store: newStore(), cloud: &cloud{record: r}}
}

// breaks records that the rule is broken.
func (s *site) breaks(format string, values ...any) {
	s.broken = true
	s.record.add("BROKEN: "+format, values...)
}

// nextIP returns a loopback address that no other process of this site uses.
func (s *site) nextIP() string {
	s.ips++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 70+pid%150, pid/150%250, 9+s.ips)
}

func (s *site) close() {
	for _, h := range s.hosts {
		h.kill()
	}
}

// host is an entry host, whose daemon is a process.
type host struct {
	site         *site
	name, ip     string
	front, ready string
	ports        []int
	zone         string
	door         *door
	cloudAddress string
	settings     string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (s *site) newHost(i int) *host {
	h := &host{site: s, name: fmt.Sprintf("edge-%d", i+1), ip: s.nextIP(), zone: zones[i%len(zones)]}
	var listeners []net.Listener
	for range 4 {
		l, err := net.Listen("tcp", h.ip+":0")
		check(err)
		listeners = append(listeners, l)
		h.ports = append(h.ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	h.front, h.ready = fmt.Sprint(h.ip, ":", h.ports[0]), fmt.Sprint(h.ip, ":", h.ports[1])
	h.door = s.store.newDoor("127.0.0.1")
	h.cloudAddress = s.cloud.newDoor(h.name)
	h.settings = filepath.Join(s.folder, h.name+".json")
	s.hosts = append(s.hosts, h)
	return h
}

func (h *host) writeSettings(firstStart bool) {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "r"
	}
	text, err := json.Marshal(map[string]any{
		wire("node"): h.name, "role": "entry", wire("class"): "edge", "serves": []string{"edge"}, "ip": h.ip, "zone": h.zone, "region": "r",
		"zones":       regions,
		"listen":      map[string]any{"front": h.front, "ready": h.ready},
		wire("ports"): []int{min(h.ports[2], h.ports[3]), max(h.ports[2], h.ports[3])}, "firstStart": firstStart,
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery":   "platform",
		"entry":       "vip",
		"heartbeatMs": heartbeat.Milliseconds(),
		"contracts":   []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": drainMs, "graceS": graceS, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "failClosed": true, "revokeMs": revokeMs, "retryRatio": 0.2,
			"retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 8, "quotaOverrun": 0.1, "quotaSlack": 140000, "fencingEnforced": false,
			"leaseMs": leaseMs, "thawMs": 300, "windowS": windowS, "usageError": 0.05, "usageLateS": 10, "recoverS": 12, "eventDelayMs": 120,
		},
		"platform": map[string]any{"address": h.door.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		"cloud":    map[string]any{"address": h.cloudAddress, "ratePerS": 50.0, "duties": []string{"usage_report", "autoscale"}, "dutyPerS": 50.0},
	})
	check(err)
	check(os.WriteFile(h.settings, text, 0o600))
}

// start starts the daemon with the command of the deploy file.
func (h *host) start(firstStart bool) {
	h.writeSettings(firstStart)
	log, err := os.OpenFile(filepath.Join(h.site.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer func() { _ = log.Close() }()
	c := exec.Command("target/rattanchuted", "--platform")
	c.Dir = os.Getenv("REPOSITORY")
	c.Path = filepath.Join(c.Dir, "target/rattanchuted")
	c.Env = []string{wire("settings") + "=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.ended = c, ended
	h.site.record.add("%s started, first start of the system: %v", h.name, firstStart)
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig)
	}
}

// kill kills the daemon and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	p, ended := h.process, h.ended
	h.process = nil
	h.mu.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		<-ended
	}
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon says that it is ready.
func (h *host) awaitReady(most time.Duration) {
	for end := time.Now().Add(most); !h.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(h.name + " is not ready")
		}
	}
	h.site.record.add("%s is ready", h.name)
}

// cloud is the platform's API for duties.
type cloud struct {
	record *record
	mu     sync.Mutex
	calls  []dutyCall
}

// dutyCall is a call that the platform has accepted.
type dutyCall struct {
	at           time.Time
	host, path   string
	holder, body string
	token        string
	window       int64
	counts       string
	subject      string
}

func (c *cloud) newDoor(host string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		d := dutyCall{
			at: time.Now(), host: host, path: r.URL.Path, holder: r.Header.Get(wire("holder")),
			token: r.Header.Get(wire("fencingToken")), body: string(body),
		}
		var report struct {
			WindowID int64           `json:"windowId"`
			Counts   json.RawMessage `json:"counts"`
			Service  string          `json:"service"`
			Zone     string          `json:"zone"`
		}
		_ = json.Unmarshal(body, &report)
		d.window, d.counts, d.subject = report.WindowID, string(report.Counts), report.Service+"/"+report.Zone
		c.mu.Lock()
		c.calls = append(c.calls, d)
		c.mu.Unlock()
		if d.path == "/usage" {
			c.record.add("platform accepts %s from %s: holder %s, token %s, %s", d.path, host, d.holder, d.token, body)
		}
		w.WriteHeader(http.StatusOK)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// usage returns the accepted usage reports.
func (c *cloud) usage() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []dutyCall
	for _, d := range c.calls {
		if d.path == "/usage" {
			out = append(out, d)
		}
	}
	return out
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	resumable                   bool
	attempts                    int
}

const siteHost = "site.example"

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, keys map[string][]string) map[string]any {
	var rs, ss, ts []map[string]any
	seen := map[string]bool{}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": siteHost, wire("prefix"): r.prefix, wire("kind"): r.kind, "timeoutMs": 15000, "goalMs": 1200, "priority": 1,
			"service": r.service, "maxAttempts": r.attempts, "public": len(keys) == 0, "sticky": false, "resumable": r.resumable, wire("gapTarget"): 800,
		})
		if !seen[r.service] {
			seen[r.service] = true
			service := map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false}
			if r.kind == "streaming" {
				service["engine"] = map[string]any{"slots": 64, "kvCapacity": 551534, "kvTokenBytes": 18432, "linkMbps": 130000.0, "stride": 6}
			}
			ss = append(ss, service)
		}
	}
	for name, list := range keys {
		ts = append(ts, map[string]any{"name": name, wire("keys"): list, "priority": 1, "unit": "tokens", "rawTokens": 200, "ratePerS": 183478, "burst": 183478})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss, "tenants": ts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
