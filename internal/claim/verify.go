package claim

import (
	"fmt"
	"time"
)

// InvariantError reports a violated invariant of a shard. ID is zero if it concerns no single claim.
type InvariantError struct {
	Invariant string
	ID        ID
}

// Error returns the violated invariant and the claim concerned.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("claim: invariant broken: %s (claim %x)", e.Invariant, e.ID)
}

// verify checks the invariants between a shard and its successor.
func verify(before *Shard, a Applied, ops []Op, now time.Time) error {
	withdrawn := withdrawals(ops)
	for i, op := range ops {
		id := op.Key.ID()
		if what := verifyRecord(before, a.Shard, withdrawn, id, now); what != "" {
			return &InvariantError{Invariant: what, ID: id}
		}
		if a.Results[i].Kind != Granted {
			continue
		}
		if what := verifyGrant(before, a.Shard, withdrawn, op, now); what != "" {
			return &InvariantError{Invariant: what, ID: id}
		}
	}
	if size := a.Shard.size(); a.Changed && size > a.Shard.maxBytes && size > before.size() {
		return &InvariantError{Invariant: fmt.Sprintf("%d bytes are over the limit", size)}
	}
	return nil
}

// verifyRecord checks that an unsealed claim stays with its attempt, as a record or a fingerprint,
// until the attempt withdraws it or FingerprintTTL has passed, and that a completed one, while it
// has a record, stays completed.
func verifyRecord(before, after *Shard, withdrawn map[attemptClaim]bool, id ID, at time.Time) string {
	old, had := before.records[id]
	if !had || old.State == StateWithdrawn || withdrawn[attemptClaim{id, old.Attempt}] {
		return ""
	}
	if old.age(at) >= FingerprintTTL {
		return ""
	}
	now, has := after.records[id]
	switch {
	case !has && !after.hasFingerprint(id.fingerprint()):
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

// verifyGrant checks that a granted claim has a record, unless the group also withdraws it, and that
// its key was not used before. A key counts as used if both values say so: what only the earlier one
// contains has just expired, and what only the later one contains was added by this group.
func verifyGrant(before, after *Shard, withdrawn map[attemptClaim]bool, op Op, at time.Time) string {
	id := op.Key.ID()
	r, has := after.records[id]
	holds := has && r.Attempt == op.Attempt
	switch {
	case !holds && !withdrawn[attemptClaim{id, op.Attempt}]:
		return "granted without holding the record"
	case after.used(id, at) && before.used(id, at):
		return "granted a key that was used"
	case hasSealedClaim(before, id, at):
		return "granted a key with a sealed claim"
	}
	return ""
}

// attemptClaim is the claim of one attempt on one key.
type attemptClaim struct {
	id      ID
	attempt string
}

// withdrawals returns the claims that the operations withdraw.
func withdrawals(ops []Op) map[attemptClaim]bool {
	withdrawn := map[attemptClaim]bool{}
	for _, op := range ops {
		if op.Kind == OpWithdraw {
			withdrawn[attemptClaim{op.Key.ID(), op.Attempt}] = true
		}
	}
	return withdrawn
}

// hasSealedClaim reports whether the latest claim on the key is in a segment and is younger than
// FingerprintTTL.
func hasSealedClaim(s *Shard, id ID, now time.Time) bool {
	if _, unsealed := s.records[id]; unsealed {
		return false
	}
	r, found := s.anyRecord(id)
	return found && r.age(now) < FingerprintTTL
}
