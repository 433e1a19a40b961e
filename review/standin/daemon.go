package main

import (
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
	peerPorts              [2]int
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
		Gate: p.Store.Gate(), platform: p, peerPorts: [2]int{min(ports[2], ports[3]), max(ports[2], ports[3])},
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

// settings are those of a machine; the others are the same on all.
type settings struct {
	Name, IP, Front, Ready, Store, Cloud string
	Ports                                [2]int
	First                                bool
}

// Start starts the daemon with the command of the deploy file.
func (m *Machine) Start(firstStart bool) {
	text := render("settings.json", settings{
		Name: m.Name, IP: m.IP, Front: m.Front, Ready: m.Ready, Store: m.Gate.Address, Cloud: m.platform.Cloud.Address,
		Ports: m.peerPorts, First: firstStart,
	})
	must(os.WriteFile(m.file, text, 0o600))
	if m.log == nil {
		file, err := os.Create(filepath.Join(m.platform.Dir, m.Name+".log"))
		must(err)
		m.log = file
	}
	c := exec.Command(m.platform.Daemon, "--platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + m.file}
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
