package claim

import (
	"fmt"
	"time"
)

// InvariantError is a broken invariant of a shard.
type InvariantError struct {
	What string
	ID   ID
}

// Error tells which invariant is broken, and for which claim.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("claim: invariant broken: %s (claim %x)", e.What, e.ID)
}

// verify checks what must hold between a shard and its successor.
func verify(before *Shard, a Applied, ops []Op, now time.Time) error {
	for i, op := range ops {
		id := op.Key.ID()
		if what := verifyRecord(before, a.Shard, ops, id, now); what != "" {
			return &InvariantError{What: what, ID: id}
		}
		if a.Results[i].Kind != Granted {
			continue
		}
		if what := verifyGrant(before, a.Shard, ops, op); what != "" {
			return &InvariantError{What: what, ID: id}
		}
	}
	if size := a.Shard.size(); a.Changed && size > a.Shard.limit && size > before.size() {
		return &InvariantError{What: fmt.Sprintf("%d bytes are over the limit", size)}
	}
	return nil
}

// verifyRecord checks that a claim stays with its attempt until that is withdrawn or the
// key may be forgotten.
func verifyRecord(before, after *Shard, ops []Op, id ID, at time.Time) string {
	old, had := before.records[id]
	if !had || isWithdrawn(old, ops) || old.age(at) >= FingerprintWindow {
		return ""
	}
	now, has := after.records[id]
	switch {
	case !has && !after.hasPrint(id.fingerprint()):
		return "used key forgotten"
	case has && now.Attempt != old.Attempt:
		return "claim passed to another attempt"
	case has && now.State == StateWithdrawn:
		return "claim withdrawn by another attempt"
	case has && old.State == StateCompleted && now.State != StateCompleted:
		return "completed claim changed"
	}
	return ""
}

// verifyGrant checks that a grant is backed by a record, and not given for a used key.
func verifyGrant(before, after *Shard, ops []Op, op Op) string {
	id := op.Key.ID()
	r, has := after.records[id]
	switch {
	case !has && !withdraws(ops, id, op.Attempt):
		return "granted without a record"
	case has && r.Attempt != op.Attempt && !withdraws(ops, id, op.Attempt):
		return "granted without holding the record"
	case after.hasPrint(id.fingerprint()) && before.hasPrint(id.fingerprint()):
		return "granted a key that was used"
	}
	return ""
}

// isWithdrawn reports whether a claim was withdrawn before or by the operations.
func isWithdrawn(r Record, ops []Op) bool {
	return r.State == StateWithdrawn || withdraws(ops, r.ID, r.Attempt)
}

// withdraws reports whether an attempt withdraws its claim among the operations.
func withdraws(ops []Op, id ID, attempt string) bool {
	for _, op := range ops {
		if op.Kind == OpWithdraw && op.Attempt == attempt && op.Key.ID() == id {
			return true
		}
	}
	return false
}
