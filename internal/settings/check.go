package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"rattanchute/internal/findings/jsonc"
	"rattanchute/internal/fleet"
)

// The accepted ranges of settings.
const (
	minPlatformTimeout = 50 * time.Millisecond
	maxPlatformTimeout = time.Minute

	minReloadInterval = time.Second
	maxReloadInterval = 24 * time.Hour

	minReadHeaderTimeout = 100 * time.Millisecond
	maxReadHeaderTimeout = time.Minute

	maxShutdownGrace = time.Hour

	minBodyBytes = 1 << 10
	maxBodyBytes = 64 << 20

	// leastMemoryPerBodyMemory leaves the rest of the process as much memory as its bodies may take.
	leastMemoryPerBodyMemory = 2
	maxMemoryBytes           = 1 << 50

	leastBodiesAtOnce  = 3
	maxBodyMemoryBytes = 1 << 40

	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20

	maxOpenStreams        = 1_000_000
	maxStreamBufferChunks = 65_536
)

var logLevels = []string{"debug", "info", "warn", "error"}

const (
	acceptedName            = `accepted are 1 to 63 of a-z, 0-9, ".", "_" and "-", with a letter or digit at both ends`
	acceptedListenerAddress = `accepted is "ip:port" with a port from 1 to 65535`
	acceptedPeerAddress     = `accepted is "ip:port" that peers can connect to, with a port from 1 to 65535`
)

func (l *loader) checkIdentity(top jsonc.Path) {
	l.checkName(top.Key("node"), l.s.Node)
	l.checkName(top.Key("data_centre"), l.s.DataCentre)
	l.checkName(top.Key("region"), l.s.Region)
}

func (l *loader) checkName(p jsonc.Path, name string) {
	if !fleet.IsName(name) {
		l.doc.Add(p, fmt.Sprintf("%s is %q", p.LastKey(), name), acceptedName)
	}
}

func (l *loader) checkListen(p jsonc.Path) {
	l.checkListenerAddress(p.Key("callers"), l.s.Listen.Callers)
	l.checkPeerAddress(p.Key("peers"), l.s.Listen.Peers)
	l.checkListenerAddress(p.Key("operators"), l.s.Listen.Operators)
	l.checkDistinct(p.Key("peers"), l.s.Listen.Peers, l.s.Listen.Callers)
	l.checkDistinct(p.Key("operators"), l.s.Listen.Operators, l.s.Listen.Callers, l.s.Listen.Peers)
}

func (l *loader) checkListenerAddress(p jsonc.Path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		l.doc.Add(p, fmt.Sprintf("%s is %q", p.LastKey(), address), acceptedListenerAddress)
	}
}

func (l *loader) checkPeerAddress(p jsonc.Path, address string) {
	if !fleet.IsAddress(address) {
		l.doc.Add(p, fmt.Sprintf("%s is %q", p.LastKey(), address), acceptedPeerAddress)
	}
}

func (l *loader) checkDistinct(p jsonc.Path, address string, others ...string) {
	if address != "" && slices.Contains(others, address) {
		l.doc.Add(p, fmt.Sprintf("address %q is used twice", address), "accepted is an address of its own for each listener")
	}
}

func (l *loader) checkURL(p jsonc.Path, text string) {
	parsed, err := url.Parse(text)
	if err != nil {
		l.doc.Add(p, "the URL cannot be parsed", `accepted is such as "http://10.0.0.1:8080"`)
		return
	}
	plain := parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == "" && strings.Trim(parsed.Path, "/") == ""
	known := parsed.Scheme == "http" || parsed.Scheme == "https"
	if !plain || !known || parsed.Hostname() == "" {
		l.doc.Add(p, "not the URL of a server", `accepted is scheme, host and port, such as "http://10.0.0.1:8080"`)
	}
}

func (l *loader) checkDuration(p jsonc.Path, d Duration, least, most time.Duration) {
	if d.Std() < least || d.Std() > most {
		l.doc.Add(p, fmt.Sprintf("%s is %s", p.LastKey(), d), fmt.Sprintf("accepted is %s to %s", least, most))
	}
}

func (l *loader) checkOperators(p jsonc.Path) {
	if len(l.s.Operators) == 0 {
		l.doc.Add(p, "there is no operator", "accepted is at least one operator")
	}
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, o := range l.s.Operators {
		at := p.Item(i)
		l.checkName(at.Key("name"), o.Name)
		if !fleet.IsKeyHash(o.KeyHash) {
			l.doc.Add(at.Key("key_sha256"), "not a key digest", "accepted are 64 lower-case hex digits, the SHA-256 of a key")
		}
		if names[o.Name] || keys[o.KeyHash] {
			l.doc.Add(at, "an operator's name or key stands twice", "accepted is each name and each key once")
		}
		names[o.Name] = true
		keys[o.KeyHash] = true
	}
}

func (l *loader) checkLimits(p jsonc.Path) {
	limits := l.s.Limits
	if limits.MemoryBytes != 0 {
		l.doc.CheckInt(p.Key("memory_bytes"), limits.MemoryBytes, leastMemoryPerBodyMemory*limits.BodyMemory(), maxMemoryBytes)
	}
	l.doc.CheckInt(p.Key("max_body_bytes"), limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	if limits.BodyMemoryBytes != 0 {
		// A body holds up to twice its size while it is received, and large ones have three quarters of the memory.
		l.doc.CheckInt(p.Key("body_memory_bytes"), limits.BodyMemoryBytes, leastBodiesAtOnce*limits.MaxBodyBytes, maxBodyMemoryBytes)
	}
	l.doc.CheckInt(p.Key("max_header_bytes"), limits.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	l.checkDuration(p.Key("read_header_timeout"), limits.ReadHeaderTimeout, minReadHeaderTimeout, maxReadHeaderTimeout)
	l.doc.CheckInt(p.Key("max_open_streams"), int64(limits.MaxOpenStreams), 1, maxOpenStreams)
	l.doc.CheckInt(p.Key("stream_buffer_chunks"), int64(limits.StreamBufferChunks), 1, maxStreamBufferChunks)
}

func (l *loader) checkLoggingAndShutdown(top jsonc.Path) {
	if !slices.Contains(logLevels, l.s.LogLevel) {
		l.doc.Add(top.Key("log_level"), fmt.Sprintf("log_level is %q", l.s.LogLevel), "accepted are "+strings.Join(logLevels, ", "))
	}
	l.checkDuration(top.Key("shutdown_grace"), l.s.ShutdownGrace, 0, maxShutdownGrace)
}
