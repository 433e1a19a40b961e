package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"rattanchute/internal/clock"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/objectstore"
)

const (
	// membersEvery is the time between two looks at the list of hosts; hosts that start
	// make themselves known by their reports.
	membersEvery = 15 * time.Second
	// followerMembersEvery is that of hosts that follow another one.
	followerMembersEvery = time.Minute
)

// keepMembership lists this host in the store and learns of the others.
func (n *Node) keepMembership(ctx context.Context) {
	for {
		wait := membersEvery
		if !n.peers.IsLeader(clock.Now()) {
			wait = followerMembersEvery
		}
		if err := n.joinMembers(ctx); err != nil {
			n.called("members", err)
			wait = time.Second
		}
		if !pause(ctx, jittered(wait)) {
			return
		}
	}
}

// joinMembers reads the others' entries. A host that is not listed yet writes its own entry
// first, so that of two that start together at least one sees the other.
func (n *Node) joinMembers(ctx context.Context) error {
	own, listed, err := n.readMembers(ctx)
	if err != nil || listed {
		return err
	}
	if err := n.writeMember(ctx, own); err != nil {
		return err
	}
	_, _, err = n.readMembers(ctx)
	return err
}

// readMembers takes in the others' entries and returns this host's own, and whether it is
// that of this run.
func (n *Node) readMembers(ctx context.Context) (own objectstore.Object, listed bool, err error) {
	own = objectstore.Object{Kind: objectstore.KindMember, Name: n.Settings.Name}
	objects, _, err := n.Store.List(ctx, objectstore.KindMember)
	if err != nil {
		return own, false, err
	}
	now := clock.Now()
	for _, o := range objects {
		var p heartbeat.Peer
		if err := json.Unmarshal(o.Value, &p); err != nil {
			n.malformed.note(n.Log, o.Name, o.Version, err)
			continue
		}
		if o.Name == n.Settings.Name {
			own.Version = o.Version
			listed = p.Incarnation == n.incarnation
			continue
		}
		n.peers.Add(now, p)
	}
	n.countPeers(now)
	return own, listed, nil
}

func (n *Node) writeMember(ctx context.Context, own objectstore.Object) error {
	value, err := json.Marshal(n.self())
	if err != nil {
		return err
	}
	own.Value = value
	if own.Version == 0 {
		_, err = n.Store.Create(ctx, own.Kind, own.Name, own.Value)
	} else {
		_, err = n.Store.Update(ctx, own)
	}
	if errors.Is(err, objectstore.ErrConflict) {
		// An earlier write of this host took effect late; the next look sees it.
		return nil
	}
	return err
}

// leaveMembership takes this host's entry away, so that the others do not wait for it.
func (n *Node) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	object, err := n.Store.Get(ctx, objectstore.KindMember, n.Settings.Name)
	if err == nil {
		err = n.Store.Delete(ctx, object)
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("member entry not removed")
	}
}
