// Package verify finds out whether an endpoint that closed a connection, be it at the end of a response, has crashed: one that accepts a new
// connection immediately afterwards, of this host or of a peer, has not. A host that has lost its links sees all
// endpoints close their connections, and is no witness.
package verify

import (
	"context"
	"time"

	"rattanchute/internal/quarantine"
)

const (
	// delay is how long an endpoint that ends may still accept connections after it has closed others.
	delay = 30 * time.Millisecond
	// timeout bounds the attempt to connect. An endpoint that has crashed is not back by then.
	timeout = 200 * time.Millisecond
	// verdictDelay is how long a refusal because of a crash that was seen just now waits for what the check of
	// its endpoint finds.
	verdictDelay = 80 * time.Millisecond
	// settle is how long the connections of an endpoint that ends may close one after the other.
	settle = 10 * time.Millisecond
)

// Verifier tells a table which endpoints have not crashed, and asks it whether requests may be sent.
type Verifier struct {
	Table *quarantine.Table
	// Accepts reports whether an address accepts a connection before the context ends.
	Accepts func(ctx context.Context, address string) bool
	// Listens reports whether a process listens at an address; an error if that is not known. A process that ends
	// may close its listener up to settle later.
	Listens func(ctx context.Context, address string, settle time.Duration) (bool, error)
	// PeerReaches reports whether a peer reaches an endpoint, by its ID; nil if there are no peers.
	PeerReaches func(ctx context.Context, id string) bool
	// OnSurvived is called when an endpoint has not crashed; nil for nothing.
	OnSurvived func()
	// Now returns the time of the table's clock.
	Now func() time.Time
}

// Endpoint is an endpoint to check.
type Endpoint struct {
	// Instance names the run of the endpoint, as the table does.
	Instance string
	ID       string
	Address  string
}

// Start checks an endpoint in the background.
func (v *Verifier) Start(e Endpoint) {
	go func() {
		time.Sleep(delay)
		v.check(e)
	}()
}

// Presence is whether an endpoint is there.
type Presence int

// The presences. Unknown means that its address neither accepts nor refuses a connection in time.
const (
	Unknown Presence = iota
	Present
	Gone
)

// String returns the name in logs and metrics.
func (p Presence) String() string {
	switch p {
	case Present:
		return "present"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// DoubtsEnd reports whether a response that ended with its connection counts as cut off. An endpoint that leaves may
// have finished it as its last one; to doubt that costs the caller of a request that may not be repeated its response.
func DoubtsEnd(presence Presence, leaving, repeatable bool) bool {
	return presence == Gone && (repeatable || !leaving)
}

// Presence finds out whether an endpoint is there whose response has just ended with its connection, and so whether
// that end may be the one of its process. The operating system closes the connections of a process that is killed in
// order, as the process does at the end of a response.
func (v *Verifier) Presence(ctx context.Context, address string) Presence {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listens, err := v.Listens(ctx, address, settle)
	switch {
	case err != nil:
		return Unknown
	case listens:
		return Present
	}
	return Gone
}

// Verdict says whether a request may be sent, as the table does. If it would be refused because of a crash that
// may turn out to be none, it waits until that is known.
func (v *Verifier) Verdict(r quarantine.Request, mayProbe func() bool) quarantine.Verdict {
	verdict := v.Table.Check(v.Now(), r, mayProbe)
	if verdict.Allowed || v.Now().Sub(verdict.Entry.LastCrash) >= verdictDelay {
		return verdict
	}
	time.Sleep(verdictDelay)
	return v.Table.Check(v.Now(), r, mayProbe)
}

func (v *Verifier) check(e Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := v.Now()
	if !v.isReached(ctx, e) {
		// A response that ended with its connection may have been cut off.
		v.Table.Unreachable(v.Now(), e.Instance)
		return
	}
	v.Table.Responded(v.Now(), e.Instance, began)
	if v.OnSurvived != nil {
		v.OnSurvived()
	}
}

// isReached reports whether this host or a peer reaches an endpoint. Both are asked at the same time, because a
// lost link may let a connection hang.
func (v *Verifier) isReached(ctx context.Context, e Endpoint) bool {
	if v.PeerReaches == nil {
		return v.Accepts(ctx, e.Address)
	}
	questions := []func() bool{
		func() bool { return v.Accepts(ctx, e.Address) },
		func() bool { return v.PeerReaches(ctx, e.ID) },
	}
	answers := make(chan bool, len(questions))
	for _, ask := range questions {
		go func() { answers <- ask() }()
	}
	for range questions {
		if <-answers {
			return true
		}
	}
	return false
}
