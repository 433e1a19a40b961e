package testsite

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
)

// Node is what one daemon of a site is told.
type Node struct {
	Name       string
	DataCentre string
	Callers    string
	Peers      string
	Operators  string
}

// CommonSettings is what all daemons of a site are told alike.
type CommonSettings struct {
	// Platform is "ip:port" of the stand-in's platform.
	Platform      string
	ShutdownGrace string
	// ReadHeaderTimeout bounds the arrival of a request.
	ReadHeaderTimeout string
	// MaxOpenStreams bounds the open streams of a daemon; zero is the usual bound.
	MaxOpenStreams int
	// TLS is the value of the settings' key "tls"; empty leaves it out.
	TLS string
}

func (c CommonSettings) tls() string {
	if c.TLS == "" {
		return "{}"
	}
	return c.TLS
}

// usualStreams is enough for every test but that of the bound.
const usualStreams = 4096

func (c CommonSettings) maxOpenStreams() int {
	if c.MaxOpenStreams == 0 {
		return usualStreams
	}
	return c.MaxOpenStreams
}

func (c CommonSettings) readHeaderTimeout() string {
	if c.ReadHeaderTimeout == "" {
		return "10s"
	}
	return c.ReadHeaderTimeout
}

// NewNodes gives each of the named nodes free ports of the loopback interface.
func NewNodes(count int, dataCentre func(int) string) ([]Node, error) {
	nodes := make([]Node, count)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprintf("node-%d", i), DataCentre: dataCentre(i)}
		for _, p := range []*string{&nodes[i].Callers, &nodes[i].Peers, &nodes[i].Operators} {
			var err error
			if *p, err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	return nodes, nil
}

// Daemons listen below the range from which the system takes ports of outgoing
// connections, so that none of those can take a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 18000
)

// nextPort starts at a place of the process's own.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid() * 64 % portCount)) }

// freeAddress finds a free port of the loopback interface.
func freeAddress() (string, error) {
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("testsite: no free port")
}

// settingsText is a daemon's settings file.
const settingsText = `// Settings of one daemon of a test site.
{
  "node": %q,
  "data_centre": %q,
  "region": "region",
  "listen": {"callers": %q, "peers": %q, "operators": %q},
  "platform": {"url": "http://%s", "token": {"file": %q}},
  "peers": {"seeds": %s, "secret": {"file": %q}},
  "resume_tokens": {"keys": [{"file": %q}]},
  "operators": [{"name": "tester", "key_sha256": %q}],
  "shutdown_grace": %q,
  "limits": {"read_header_timeout": %q, "max_open_streams": %d},
  "tls": %s,
}
`

// NewDaemons writes the settings of all nodes and their secrets to dir and returns the
// daemons, not yet started.
func NewDaemons(dir, binary string, nodes []Node, c CommonSettings) ([]*Daemon, error) {
	if err := writeSecrets(dir); err != nil {
		return nil, err
	}
	seeds := make([]string, 0, len(nodes))
	for _, n := range nodes {
		seeds = append(seeds, n.Peers)
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	daemons := make([]*Daemon, 0, len(nodes))
	for _, n := range nodes {
		text := fmt.Sprintf(settingsText, n.Name, n.DataCentre, n.Callers, n.Peers, n.Operators,
			c.Platform, filepath.Join(dir, "platform"), list, filepath.Join(dir, "peer"),
			filepath.Join(dir, "resume"), Digest(OperatorKey), c.ShutdownGrace, c.readHeaderTimeout(), c.maxOpenStreams(), c.tls())
		file := filepath.Join(dir, n.Name+".jsonc")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		daemons = append(daemons, &Daemon{Name: n.Name, Callers: n.Callers, Peers: n.Peers, Operators: n.Operators, binary: binary, settings: file})
	}
	return daemons, nil
}

// writeSecrets writes the secrets that the settings name.
func writeSecrets(dir string) error {
	secrets := []struct{ file, value string }{
		{"platform", PlatformToken},
		{"peer", peerSecret},
		{"resume", resumeKey},
	}
	for _, s := range secrets {
		if err := os.WriteFile(filepath.Join(dir, s.file), []byte(s.value), 0o600); err != nil {
			return err
		}
	}
	return nil
}
