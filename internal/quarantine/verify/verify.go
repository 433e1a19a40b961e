// Package verify finds out whether an endpoint that closed a connection has crashed: one that accepts a new
// connection immediately afterwards has not.
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
)

// Verifier tells a table which endpoints have not crashed, and asks it whether requests may be sent.
type Verifier struct {
	Table *quarantine.Table
	// Accepts reports whether an address accepts a connection before the context ends.
	Accepts func(ctx context.Context, address string) bool
	// Now returns the time of the table's clock.
	Now func() time.Time
}

// Start checks an endpoint in the background: a run of it, by the name that the table knows, and its address.
func (v *Verifier) Start(instance, address string) {
	go func() {
		time.Sleep(delay)
		v.check(instance, address)
	}()
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

func (v *Verifier) check(instance, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := v.Now()
	if v.Accepts(ctx, address) {
		v.Table.Responded(v.Now(), instance, began)
	}
}
