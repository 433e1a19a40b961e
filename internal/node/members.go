package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/objectstore"
)

const (
	// membersInterval is the interval between two reads of the list of hosts by a leader. Hosts
	// that start in between are learned from their reports.
	membersInterval = 15 * time.Second
	// followerMembersInterval is the same for hosts that follow a leader.
	followerMembersInterval = time.Minute
)

// maintainMembership registers this host in the store and reads the entries of the others.
func (n *Node) maintainMembership(ctx context.Context) {
	for {
		wait := membersInterval
		if !n.peers.IsLeader(clock.Now()) {
			wait = followerMembersInterval
		}
		if err := n.registerMember(ctx); err != nil {
			n.recordStoreCall("members", err)
			wait = time.Second
		}
		if !n.waitForMembersRead(ctx, jittered(wait)) {
			return
		}
	}
}

// waitForMembersRead waits for the given time, or for a random part of membersSettleTime after a restore
// of the store. It returns false if the context ends.
func (n *Node) waitForMembersRead(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	case <-n.membersStale:
		return backoff.Pause(ctx, rand.N(membersSettleTime))
	}
}

// registerMember creates this host's entry unless it did so before, and reads the others. As it writes
// first, at least one of two hosts that start at the same time sees the other. An entry of an earlier run
// is replaced afterwards: it has the same address.
func (n *Node) registerMember(ctx context.Context) error {
	if !n.registered {
		if err := n.createMember(ctx); err != nil {
			return err
		}
		n.registered = true
	}
	own, listed, err := n.readMembers(ctx)
	if err != nil || listed {
		return err
	}
	if own.Version == 0 {
		// Lost in a restore of the store.
		return n.createMember(ctx)
	}
	return n.updateMember(ctx, own)
}

// readMembers reads the other hosts' entries. It returns this host's own entry, without its value
// and with version zero if there is none, and whether that entry is from this run.
func (n *Node) readMembers(ctx context.Context) (own objectstore.Object, listed bool, err error) {
	own = objectstore.Object{Kind: objectstore.KindMember, Name: n.Settings.Name}
	objects, _, err := n.Store.List(ctx, objectstore.KindMember)
	if err != nil {
		return own, false, err
	}
	now := clock.Now()
	for _, o := range objects {
		if o.Name == n.Settings.Name {
			// An entry of this name that cannot be read is written anew.
			own.Version = o.Version
		}
		var p heartbeat.Peer
		if err := json.Unmarshal(o.Value, &p); err != nil {
			n.malformed.logOnce(n.Log, o.Name, o.Version, err)
			continue
		}
		if o.Name == n.Settings.Name {
			listed = p.Incarnation == n.incarnation
			continue
		}
		n.peers.Add(now, p)
	}
	n.membersRead.Store(true)
	n.updatePeerState(now)
	return own, listed, nil
}

// createMember creates this host's entry unless there is one, of this run or an earlier one.
func (n *Node) createMember(ctx context.Context) error {
	value, err := json.Marshal(n.self())
	if err != nil {
		return err
	}
	_, err = n.Store.Create(ctx, objectstore.KindMember, n.Settings.Name, value)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}

func (n *Node) updateMember(ctx context.Context, own objectstore.Object) error {
	value, err := json.Marshal(n.self())
	if err != nil {
		return err
	}
	own.Value = value
	_, err = n.Store.Update(ctx, own)
	if errors.Is(err, objectstore.ErrConflict) {
		// An earlier write of this host took effect late; the next read will see it.
		return nil
	}
	return err
}

// removeMember deletes this host's entry, so that the others do not wait for it.
func (n *Node) removeMember(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	object, err := n.Store.Get(ctx, objectstore.KindMember, n.Settings.Name)
	if err == nil {
		err = n.Store.Delete(ctx, object)
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("cannot delete member entry")
	}
}
