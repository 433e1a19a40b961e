package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/membership"
	"rattanchute/internal/objectstore"
)

const (
	// DutyMembers is the duty of reading and clearing the platform's member objects.
	DutyMembers membership.Duty = "members"
	// memberListInterval is how often its owner does so.
	memberListInterval = time.Minute
	// memberClearAfter is how long a member must have been dead for its object to go.
	memberClearAfter = 30 * time.Minute
)

// memberLoop writes this node's object once, reads the others', and lists them again
// at a slow rate while it owns the duty.
func (r *Runner) memberLoop() {
	wait := backoff{}
	for r.ctx.Err() == nil && r.writeMember() != nil {
		r.sleep(wait.next())
	}
	wait.reset()
	for r.ctx.Err() == nil && r.readMembers() != nil {
		r.sleep(wait.next())
	}
	for r.ctx.Err() == nil {
		r.sleep(memberListInterval)
		if r.Owns(DutyMembers) {
			_ = r.readMembers()
		}
	}
}

// writeMember stores this node's record. A lost answer does no harm: the next try
// finds the object and writes the same value.
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

func (r *Runner) readMembers() error {
	_, err := r.list(objectstore.KindMember, func(e objectstore.Event) {
		var m membership.Member
		if json.Unmarshal(e.Object.Value, &m) != nil {
			return
		}
		if r.longDead(m.Name) {
			r.clearMember(e.Object)
			return
		}
		r.with(func(now time.Time) Output { return r.machine.ObserveMember(now, r.rnd, m) })
	})
	return err
}

// longDead says whether a member has been dead long enough to clear its object.
func (r *Runner) longDead(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, live, known := r.machine.Member(name)
	since := time.UnixMilli(m.SinceMillis)
	return known && !live && r.settings.Now().Sub(since) > memberClearAfter
}

func (r *Runner) clearMember(o objectstore.Object) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	err := r.settings.Store.Delete(ctx, o)
	r.countCall(objectstore.KindMember, err)
}
