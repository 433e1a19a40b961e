package balancer

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Load is the load that a host or a group of hosts has at one endpoint. Its text form is
// compact, just the fields in their order separated by spaces, because a message may contain
// hundreds of loads.
type Load struct {
	Fleet    string
	Endpoint string
	// InFlight counts requests, PendingTokens the uncached prompt tokens of requests whose first
	// event has not arrived, and MemoryTokens the KV memory that the requests will need, in tokens.
	InFlight      int
	PendingTokens int
	MemoryTokens  int
}

// MarshalText implements encoding.TextMarshaler.
func (l Load) MarshalText() ([]byte, error) {
	text := make([]byte, 0, textBytes)
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
		return fmt.Errorf("peer load has %d fields, want 5", len(fields))
	}
	errs := make([]error, 5)
	l.Fleet, errs[0] = url.QueryUnescape(fields[0])
	l.Endpoint, errs[1] = url.QueryUnescape(fields[1])
	l.InFlight, errs[2] = strconv.Atoi(fields[2])
	l.PendingTokens, errs[3] = strconv.Atoi(fields[3])
	l.MemoryTokens, errs[4] = strconv.Atoi(fields[4])
	return errors.Join(errs...)
}

// textBytes is the initial capacity for a text form; most fit into it.
const textBytes = 96

// appendNames appends the names, escaped so that they contain no space.
func appendNames(text []byte, fleetName, endpoint string) []byte {
	text = append(text, url.QueryEscape(fleetName)...)
	text = append(text, ' ')
	return append(text, url.QueryEscape(endpoint)...)
}

// Scope selects the hosts whose load is summed. A peer's load counts only while its last report is
// at most peerLoadMaxAge old.
type Scope int

// The scopes.
const (
	// ScopeGroup is this host and its followers.
	ScopeGroup Scope = iota
	// ScopeAll is this host and all peers.
	ScopeAll
)

// Loads lists the load of the hosts in the scope at each endpoint where they have requests.
func (t *Table) Loads(now time.Time, scope Scope) []Load {
	var out []Load
	for name, p := range t.all() {
		p.mu.Lock()
		for _, e := range p.ordered {
			if l := e.load(now, scope); l.inFlight > 0 {
				out = append(out, Load{name, e.known.ID, l.inFlight, l.pendingTokens, l.memoryTokens})
			}
		}
		p.mu.Unlock()
	}
	return out
}

// SubtractLoads subtracts a host's own loads from the loads of all hosts. It leaves out
// endpoints at which no other host has requests.
func SubtractLoads(all, own []Load) []Load {
	type endpointKey struct{ fleet, endpoint string }
	ownLoads := make(map[endpointKey]Load, len(own))
	for _, l := range own {
		ownLoads[endpointKey{l.Fleet, l.Endpoint}] = l
	}
	out := make([]Load, 0, len(all))
	for _, l := range all {
		ownLoad := ownLoads[endpointKey{l.Fleet, l.Endpoint}]
		l.InFlight -= ownLoad.InFlight
		l.PendingTokens = max(l.PendingTokens-ownLoad.PendingTokens, 0)
		l.MemoryTokens = max(l.MemoryTokens-ownLoad.MemoryTokens, 0)
		if l.InFlight > 0 {
			out = append(out, l)
		}
	}
	return out
}

func (t *Table) all() map[string]*pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]*pool, len(t.pools))
	for name, p := range t.pools {
		out[name] = p
	}
	return out
}

// SetPeerLoads replaces the loads that a peer reports for itself or for its group; follower
// tells whether the peer follows this host.
func (t *Table) SetPeerLoads(now time.Time, peer string, follower bool, loads []Load) {
	byFleet := map[string]map[string]Load{}
	for _, l := range loads {
		if byFleet[l.Fleet] == nil {
			byFleet[l.Fleet] = map[string]Load{}
		}
		byFleet[l.Fleet][l.Endpoint] = l
	}
	for name, p := range t.all() {
		p.mu.Lock()
		for _, e := range p.ordered {
			l, ok := byFleet[name][e.known.ID]
			if !ok {
				delete(e.peerLoads, peer)
				continue
			}
			e.peerLoads[peer] = endpointLoad{
				inFlight: l.InFlight, pendingTokens: l.PendingTokens, memoryTokens: l.MemoryTokens,
				at: now, follower: follower,
			}
		}
		p.mu.Unlock()
	}
}

// ForgetPeerLoads drops the loads reported by all peers.
func (t *Table) ForgetPeerLoads() {
	for _, p := range t.all() {
		p.mu.Lock()
		for _, e := range p.ordered {
			clear(e.peerLoads)
		}
		p.mu.Unlock()
	}
}

// Prefill says that a host has sent a prompt to an endpoint, which is then assumed to have the
// prefixes cached. Its text form is the fleet, the endpoint, and then the key and the tokens of
// each prefix.
type Prefill struct {
	Fleet    string
	Endpoint string
	Prefixes []Prefix
}

// MarshalText implements encoding.TextMarshaler.
func (p Prefill) MarshalText() ([]byte, error) {
	text := appendNames(make([]byte, 0, textBytes), p.Fleet, p.Endpoint)
	for _, prefix := range p.Prefixes {
		text = strconv.AppendUint(append(text, ' '), prefix.Key, keyBase)
		text = strconv.AppendInt(append(text, ' '), int64(prefix.Tokens), 10)
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Prefill) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) < 2 || len(fields)%2 != 0 {
		return fmt.Errorf("peer prefill has %d fields, want an even number of at least 2", len(fields))
	}
	errs := make([]error, 2, len(fields))
	p.Fleet, errs[0] = url.QueryUnescape(fields[0])
	p.Endpoint, errs[1] = url.QueryUnescape(fields[1])
	for i := 2; i < len(fields); i += 2 {
		key, keyErr := strconv.ParseUint(fields[i], keyBase, 64)
		tokens, tokensErr := strconv.Atoi(fields[i+1])
		errs = append(errs, keyErr, tokensErr)
		p.Prefixes = append(p.Prefixes, Prefix{Key: key, Tokens: tokens})
	}
	return errors.Join(errs...)
}

// keyBase is the numeric base of prefix keys in the text form.
const keyBase = 36

// ObservePrefill records that a peer has sent a prompt to an endpoint.
func (t *Table) ObservePrefill(prefill Prefill) {
	p := t.pool(prefill.Fleet)
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[prefill.Endpoint]; e != nil && e.model {
		e.cache.touch(prefill.Prefixes)
	}
}
