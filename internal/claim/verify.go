package claim

import "fmt"

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
func verify(before *Shard, a Applied, ops []Op) error {
	for i, op := range ops {
		if err := verifyOp(before, a, op, a.Results[i]); err != nil {
			return err
		}
	}
	if size := a.Shard.size(); a.Changed && size > a.Shard.limit && size > before.size() {
		return &InvariantError{What: fmt.Sprintf("%d bytes are over the limit", size)}
	}
	return nil
}

func verifyOp(before *Shard, a Applied, op Op, result Result) error {
	id := op.Key.ID()
	old, had := before.records[id]
	now, has := a.Shard.records[id]
	switch {
	case result.Kind == Granted && !has:
		return &InvariantError{What: "granted without a record", ID: id}
	case result.Kind == Granted && had && old.State != StateWithdrawn && old.Attempt != op.Attempt:
		return &InvariantError{What: "granted over another attempt's claim", ID: id}
	case result.Kind == Granted && before.hasPrint(id.fingerprint()) && a.Shard.hasPrint(id.fingerprint()):
		return &InvariantError{What: "granted a key that was used", ID: id}
	case had && has && old.State != StateWithdrawn && now.Attempt != old.Attempt:
		return &InvariantError{What: "claim passed to another attempt", ID: id}
	case had && has && old.State == StateCompleted && now.State != StateCompleted:
		return &InvariantError{What: "completed claim changed", ID: id}
	case had && !has && old.State != StateWithdrawn && !a.Shard.hasPrint(id.fingerprint()):
		return &InvariantError{What: "used key forgotten", ID: id}
	}
	return nil
}
