package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Machine is an entry machine that runs the daemon.
type Machine struct {
	Name, IP, Front, Ready string
	Gate                   *Gate
	platform               *Platform
	portRange              [2]int
	file                   string
	mu                     sync.Mutex
	process                *exec.Cmd
	log                    *os.File
}

// Platform is what the machines share.
type Platform struct {
	Store    *Store
	Cloud    *Cloud
	Record   *Record
	Dir      string
	Daemon   string
	machines []*Machine
}

// NewPlatform returns a platform with an empty store and a temporary folder.
func NewPlatform(record *Record, daemon string) *Platform {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	return &Platform{Store: NewStore(), Cloud: NewCloud(record), Record: record, Dir: dir, Daemon: daemon}
}

// Add adds a machine, which is not started yet.
func (p *Platform) Add(name string) *Machine {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 2+pid%200, 1+pid/200%250, 10+len(p.machines))
	ports := freePorts(ip, 4)
	m := &Machine{
		Name: name, IP: ip, Front: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		Gate: p.Store.Gate(), platform: p, portRange: [2]int{min(ports[2], ports[3]), max(ports[2], ports[3])},
		file: filepath.Join(p.Dir, name+".json"),
	}
	p.machines = append(p.machines, m)
	return m
}

func freePorts(ip string, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		must(err)
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// Start starts the daemon with the command of the deploy file.
func (m *Machine) Start(firstStart bool) {
	settings := map[string]any{
		"nodeName": m.Name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": m.IP,
		"zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen":    map[string]string{"front": m.Front, "ready": m.Ready},
		"portRange": m.portRange, "seeds": []string{}, "firstStart": firstStart, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "failClosed": true,
			"revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 8, "quotaOverrun": 0.1,
			"quotaSlack": 140000, "fencingEnforced": false, "leaseMs": 3000, "thawMs": 300, "windowS": 5, "usageError": 0.05,
			"usageLateS": 10, "recoverS": 12, "eventDelayMs": 120, "reuseWindowS": 10,
		},
		"platform": map[string]any{
			"address": m.Gate.Address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
		"cloud": map[string]any{"address": m.platform.Cloud.Address, "ratePerS": 50.0, "duties": []string{"usage_report"}, "dutyPerS": 50.0},
	}
	text, err := json.Marshal(settings)
	must(err)
	must(os.WriteFile(m.file, text, 0o600))
	if m.log == nil {
		m.log, err = os.Create(filepath.Join(m.platform.Dir, m.Name+".log"))
		must(err)
	}
	c := exec.Command(m.platform.Daemon, "--platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RATTANCHUTE_NODE_FILE=" + m.file}
	c.Stdout, c.Stderr = m.log, m.log
	must(c.Start())
	m.mu.Lock()
	m.process = c
	m.mu.Unlock()
	m.platform.Record.Printf("machine %s: process %d starts, front %s", m.Name, c.Process.Pid, m.Front)
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.platform.Record.Printf("machine %s: signal %v", m.Name, s)
	_ = m.process.Process.Signal(s)
}

// Kill kills the daemon and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	_ = m.process.Wait()
}

// AwaitReady waits until the machine says that it is ready.
func (m *Machine) AwaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + m.Ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == 200 {
			return true
		}
	}
	return false
}

// Close ends all processes. The logs stay in the folder until the case has held.
func (p *Platform) Close(keep bool) {
	for _, m := range p.machines {
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			_ = m.process.Wait()
		}
	}
	if !keep {
		_ = os.RemoveAll(p.Dir)
	}
}
