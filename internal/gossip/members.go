package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/membership"
	"rattanchute/internal/objectstore"
)

const (
	// DutyMembers is the singleton duty of listing the platform's member objects and deleting
	// stale ones.
	DutyMembers membership.Duty = "members"
	// memberListInterval is how often the owner of DutyMembers lists the objects.
	memberListInterval = time.Minute
	// memberObjectGrace is how long ago a dead member must have become suspect, or a departed one
	// must have left, before its object is deleted.
	memberObjectGrace = 30 * time.Minute
)

// memberLoop writes this node's member object and reads the others', retrying each until it
// succeeds. After that it lists the objects every memberListInterval, but only while this node
// owns DutyMembers.
func (r *Runner) memberLoop() {
	wait := backoff.Backoff{Min: minBackoff, Max: maxBackoff}
	for r.ctx.Err() == nil && r.writeMember() != nil {
		r.sleep(wait.Next())
	}
	wait.Reset()
	for r.ctx.Err() == nil && r.listMembers() != nil {
		r.sleep(wait.Next())
	}
	for r.ctx.Err() == nil {
		r.sleep(memberListInterval)
		if r.Owns(DutyMembers) {
			_ = r.listMembers()
		}
	}
}

// writeMember stores this node's record. It may be repeated: if the response to a write is lost,
// the next attempt finds the object and overwrites it.
func (r *Runner) writeMember() error {
	self := r.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	_, err = r.settings.Store.Create(ctx, objectstore.KindMember, self.Name, value)
	r.countCall(objectstore.KindMember, err)
	if !errors.Is(err, objectstore.ErrConflict) {
		return err
	}
	o, err := r.settings.Store.Get(ctx, objectstore.KindMember, self.Name)
	r.countCall(objectstore.KindMember, err)
	if err != nil {
		return err
	}
	o.Value = value
	_, err = r.settings.Store.Update(ctx, o)
	r.countCall(objectstore.KindMember, err)
	return err
}

func (r *Runner) removeMember(ctx context.Context) error {
	name := r.settings.Machine.Self.Name
	o, err := r.settings.Store.Get(ctx, objectstore.KindMember, name)
	r.countCall(objectstore.KindMember, err)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	err = r.settings.Store.Delete(ctx, o)
	r.countCall(objectstore.KindMember, err)
	return err
}

// listMembers lists the member objects. It merges the members that they describe, except those that
// isLongDead reports: it deletes their objects.
func (r *Runner) listMembers() error {
	_, err := r.list(objectstore.KindMember, func(e objectstore.Event) {
		var m membership.Member
		if json.Unmarshal(e.Object.Value, &m) != nil {
			return
		}
		if r.isLongDead(m.Name) {
			r.deleteMemberObject(e.Object)
			return
		}
		r.runStep(func(now time.Time) Output { return r.machine.ObserveMember(now, r.rnd, m) })
	})
	return err
}

// isLongDead reports whether a member is dead or departed, and became suspect or left more than
// memberObjectGrace ago.
func (r *Runner) isLongDead(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, live, known := r.machine.Member(name)
	since := time.UnixMilli(m.SinceMillis)
	return known && !live && r.settings.Now().Sub(since) > memberObjectGrace
}

func (r *Runner) deleteMemberObject(o objectstore.Object) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	err := r.settings.Store.Delete(ctx, o)
	r.countCall(objectstore.KindMember, err)
}
