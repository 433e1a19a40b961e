package balancer

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Load is what a host has at one endpoint. As text it is the fields in their order, as hundreds
// of them go into one message.
type Load struct {
	Fleet    string
	Endpoint string
	// InFlight counts requests, Pending tokens of prompts not yet read, and Memory tokens
	// that the requests will take.
	InFlight      int
	PendingTokens int
	MemoryTokens  int
}

// MarshalText implements encoding.TextMarshaler.
func (l Load) MarshalText() ([]byte, error) {
	text := make([]byte, 0, rowBytes)
	text = appendNames(text, l.Fleet, l.Endpoint)
	for _, n := range []int{l.InFlight, l.PendingTokens, l.MemoryTokens} {
		text = strconv.AppendInt(append(text, ' '), int64(n), 10)
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Load) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) != 5 {
		return fmt.Errorf("load of a peer: %d fields", len(fields))
	}
	errs := make([]error, 5)
	l.Fleet, errs[0] = url.QueryUnescape(fields[0])
	l.Endpoint, errs[1] = url.QueryUnescape(fields[1])
	l.InFlight, errs[2] = strconv.Atoi(fields[2])
	l.PendingTokens, errs[3] = strconv.Atoi(fields[3])
	l.MemoryTokens, errs[4] = strconv.Atoi(fields[4])
	return errors.Join(errs...)
}

// rowBytes is room for most rows.
const rowBytes = 96

// appendNames adds names so that they can be told apart again.
func appendNames(text []byte, fleetName, endpoint string) []byte {
	text = append(text, url.QueryEscape(fleetName)...)
	text = append(text, ' ')
	return append(text, url.QueryEscape(endpoint)...)
}

// Scope says whose load is meant.
type Scope int

// The scopes.
const (
	// ScopeGroup is this host and its followers.
	ScopeGroup Scope = iota
	// ScopeAll is all hosts, as far as is known.
	ScopeAll
)

// Loads lists the endpoints where the hosts of the scope have requests.
func (t *Table) Loads(now time.Time, scope Scope) []Load {
	var out []Load
	for name, g := range t.all() {
		g.mu.Lock()
		for _, e := range g.ordered {
			if l := e.load(now, scope); l.inFlight > 0 {
				out = append(out, Load{name, e.known.ID, l.inFlight, l.pending, l.memory})
			}
		}
		g.mu.Unlock()
	}
	return out
}

// SubtractLoads takes what a host said of itself off what is said of all hosts.
func SubtractLoads(all, own []Load) []Load {
	type place struct{ fleet, endpoint string }
	mine := make(map[place]Load, len(own))
	for _, l := range own {
		mine[place{l.Fleet, l.Endpoint}] = l
	}
	out := make([]Load, 0, len(all))
	for _, l := range all {
		m := mine[place{l.Fleet, l.Endpoint}]
		l.InFlight -= m.InFlight
		l.PendingTokens = max(l.PendingTokens-m.PendingTokens, 0)
		l.MemoryTokens = max(l.MemoryTokens-m.MemoryTokens, 0)
		if l.InFlight > 0 {
			out = append(out, l)
		}
	}
	return out
}

func (t *Table) all() map[string]*group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]*group, len(t.groups))
	for name, g := range t.groups {
		out[name] = g
	}
	return out
}

// SetPeerLoads replaces what a peer says of its load, or of that of its group.
func (t *Table) SetPeerLoads(now time.Time, peer string, follower bool, loads []Load) {
	byFleet := map[string]map[string]Load{}
	for _, l := range loads {
		if byFleet[l.Fleet] == nil {
			byFleet[l.Fleet] = map[string]Load{}
		}
		byFleet[l.Fleet][l.Endpoint] = l
	}
	for name, g := range t.all() {
		g.mu.Lock()
		for _, e := range g.ordered {
			l, ok := byFleet[name][e.known.ID]
			if !ok {
				delete(e.remote, peer)
				continue
			}
			e.remote[peer] = remoteLoad{inFlight: l.InFlight, pending: l.PendingTokens, memory: l.MemoryTokens, at: now, follower: follower}
		}
		g.mu.Unlock()
	}
}

// ForgetPeerLoads drops what all peers said of their loads.
func (t *Table) ForgetPeerLoads() {
	for _, g := range t.all() {
		g.mu.Lock()
		for _, e := range g.ordered {
			clear(e.remote)
		}
		g.mu.Unlock()
	}
}

// Prefill is a prompt that a host has had read at an endpoint. As text it is fleet, endpoint, and
// then keys and tokens of the prefixes.
type Prefill struct {
	Fleet    string
	Endpoint string
	Prefixes []Prefix
}

// MarshalText implements encoding.TextMarshaler.
func (r Prefill) MarshalText() ([]byte, error) {
	text := appendNames(make([]byte, 0, rowBytes), r.Fleet, r.Endpoint)
	for _, p := range r.Prefixes {
		text = strconv.AppendUint(append(text, ' '), p.Key, keyBase)
		text = strconv.AppendInt(append(text, ' '), int64(p.Tokens), 10)
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Prefill) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) < 2 || len(fields)%2 != 0 {
		return fmt.Errorf("prompt read at a peer: %d fields", len(fields))
	}
	errs := make([]error, 2, len(fields))
	r.Fleet, errs[0] = url.QueryUnescape(fields[0])
	r.Endpoint, errs[1] = url.QueryUnescape(fields[1])
	for i := 2; i < len(fields); i += 2 {
		key, keyErr := strconv.ParseUint(fields[i], keyBase, 64)
		tokens, tokensErr := strconv.Atoi(fields[i+1])
		errs = append(errs, keyErr, tokensErr)
		r.Prefixes = append(r.Prefixes, Prefix{Key: key, Tokens: tokens})
	}
	return errors.Join(errs...)
}

// keyBase is the base of the digits of keys in messages.
const keyBase = 36

// ObservePrefill takes in that a peer has had a prompt read at an endpoint.
func (t *Table) ObservePrefill(now time.Time, r Prefill) {
	g := t.group(r.Fleet)
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.endpoints[r.Endpoint]; e != nil && e.model {
		e.cache.use(now, r.Prefixes)
	}
}
