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

// Node holds the settings that differ between the daemons of a site: name, data centre
// and listener addresses.
type Node struct {
	Name       string
	DataCentre string
	Callers    string
	Peers      string
	Operators  string
}

// CommonSettings holds the settings that all daemons of a site share.
type CommonSettings struct {
	// Platform is "ip:port" of the stand-in's platform.
	Platform      string
	ShutdownGrace string
	// ReadHeaderTimeout limits the time in which a request must arrive; empty means 10 s.
	ReadHeaderTimeout string
	// MaxOpenStreams limits the open streams of a daemon; zero means defaultMaxOpenStreams.
	MaxOpenStreams int
	// MaxBodyBytes limits the body of a request; zero means defaultMaxBodyBytes.
	MaxBodyBytes int
	// MemoryBytes is the memory of a daemon's machine; zero means that of this machine.
	MemoryBytes int
	// Descriptors limits the file descriptors of a daemon; zero means the limit of this process.
	Descriptors int
	// TLS is the value of the settings key "tls"; empty means none.
	TLS string
}

func (c CommonSettings) tls() string {
	if c.TLS == "" {
		return "{}"
	}
	return c.TLS
}

// defaultMaxOpenStreams is enough for all tests except the one of the limit itself.
const defaultMaxOpenStreams = 4096

func (c CommonSettings) maxOpenStreams() int {
	if c.MaxOpenStreams == 0 {
		return defaultMaxOpenStreams
	}
	return c.MaxOpenStreams
}

// defaultMaxBodyBytes is the daemons' own default.
const defaultMaxBodyBytes = 4 << 20

func (c CommonSettings) maxBodyBytes() int {
	if c.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return c.MaxBodyBytes
}

func (c CommonSettings) readHeaderTimeout() string {
	if c.ReadHeaderTimeout == "" {
		return "10s"
	}
	return c.ReadHeaderTimeout
}

// NewNodes returns count nodes with free ports on the loopback interface. dataCentre returns
// the data centre of a node by its index.
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

// Daemons listen on ports below Linux's default range of ephemeral ports, so that no
// outgoing connection can take a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 18000
)

// nextPort, modulo portCount, is the offset of the port tried last. Its start depends on the process
// id, so that concurrent test processes are unlikely to choose the same ports.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid() * 64 % portCount)) }

// freeAddress returns a loopback address with a free port.
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

// settingsTemplate is the format of a daemon's settings file.
const settingsTemplate = `// Settings of one daemon of a test site.
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
  "limits": {"read_header_timeout": %q, "max_open_streams": %d, "max_body_bytes": %d, "memory_bytes": %d},
  "tls": %s,
}
`

// NewDaemons writes the settings files and the secrets of all nodes to dir. It returns the
// daemons, which are not started yet.
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
		text := fmt.Sprintf(settingsTemplate, n.Name, n.DataCentre, n.Callers, n.Peers, n.Operators,
			c.Platform, filepath.Join(dir, "platform"), list, filepath.Join(dir, "peer"),
			filepath.Join(dir, "resume"), Digest(OperatorKey), c.ShutdownGrace, c.readHeaderTimeout(), c.maxOpenStreams(), c.maxBodyBytes(), c.MemoryBytes, c.tls())
		file := filepath.Join(dir, n.Name+".jsonc")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		daemons = append(daemons, &Daemon{Name: n.Name, Callers: n.Callers, Peers: n.Peers, Operators: n.Operators, binary: binary, settings: file, descriptors: c.Descriptors})
	}
	return daemons, nil
}

// writeSecrets writes the secret files that the settings refer to.
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
