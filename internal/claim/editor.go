package claim

import "slices"

// editor applies operations to a private copy of a shard.
type editor struct {
	shard   *Shard
	env     Env
	size    int
	changed bool
}

func (e *editor) apply(op Op) Result {
	switch op.Kind {
	case OpAcquire:
		return e.acquire(op)
	case OpComplete:
		return e.complete(op)
	default:
		return e.withdraw(op)
	}
}

// acquire claims the key for an attempt, or returns what is known of the existing claim.
func (e *editor) acquire(op Op) Result {
	id := op.Key.ID()
	if op.Key.isTooOld(e.env.Now) || e.shard.used(id, e.env.Now) {
		return Result{Kind: Expired}
	}
	r, found := e.shard.find(id, e.env.Now)
	switch {
	case found && r.Attempt == op.Attempt && r.State == StatePending:
		// The operation is applied again, for example because the first answer was lost.
		return Result{Kind: Granted}
	case found && r.Attempt == op.Attempt && r.State == StateWithdrawn:
		return refused(InProgressRetryAfter, false)
	case found && r.State != StateWithdrawn:
		return r.answer(e.env)
	}
	if !e.storeWithRoom(e.newRecord(op, StatePending)) {
		return refused(ShardFullRetryAfter, false)
	}
	return Result{Kind: Granted}
}

// complete records the response of the attempt that holds the claim. The report of any other attempt
// is ignored.
func (e *editor) complete(op Op) Result {
	r, found := e.shard.find(op.Key.ID(), e.env.Now)
	if !found || r.Attempt != op.Attempt || r.State == StateWithdrawn {
		return Result{Kind: Ignored}
	}
	if r.State == StateCompleted {
		return Result{Kind: Recorded}
	}
	r.State = StateCompleted
	r.Status = op.Status
	if !op.BodyOmitted {
		r = e.withBody(r, op.Body)
	}
	e.store(r)
	return Result{Kind: Recorded}
}

// withBody adds the body of a response if it is small enough and the shard has room for it.
func (e *editor) withBody(r Record, body []byte) Record {
	if len(body) > MaxBodyBytes {
		return r
	}
	if e.size+encodedLen(len(body)) > e.shard.maxBytes {
		return r
	}
	r.HasBody = true
	r.Body = slices.Clone(body)
	return r
}

// withdraw frees the key of an attempt that was not executed. If no claim is found and the key does
// not count as used, a withdrawn claim is written nevertheless: it changes the shard's version, so
// that a delayed write of the attempt's claim can no longer take effect.
func (e *editor) withdraw(op Op) Result {
	id := op.Key.ID()
	r, found := e.shard.find(id, e.env.Now)
	switch {
	case found && r.Attempt != op.Attempt:
		return Result{Kind: Recorded}
	case found && r.State == StateWithdrawn:
		return Result{Kind: Recorded}
	case found && r.State == StateCompleted:
		return Result{Kind: Ignored}
	case found:
		r.State = StateWithdrawn
		e.store(r)
		return Result{Kind: Recorded}
	case e.shard.used(id, e.env.Now):
		return Result{Kind: Ignored}
	}
	if !e.storeWithRoom(e.newRecord(op, StateWithdrawn)) {
		return refused(ShardFullRetryAfter, false)
	}
	return Result{Kind: Recorded}
}

func (e *editor) newRecord(op Op, state State) Record {
	return Record{
		ID:            op.Key.ID(),
		Attempt:       op.Attempt,
		Writer:        op.Writer,
		State:         state,
		CreatedMillis: e.env.Now.UnixMilli(),
	}
}

// storeWithRoom stores a record after making room for it, and returns whether there was room.
func (e *editor) storeWithRoom(r Record) bool {
	if !e.makeRoom(r.size()) {
		return false
	}
	e.store(r)
	return true
}

// store adds or replaces a record.
func (e *editor) store(r Record) {
	if old, found := e.shard.records[r.ID]; found {
		e.size -= old.size()
	}
	e.shard.records[r.ID] = r
	e.size += r.size()
	e.changed = true
}
