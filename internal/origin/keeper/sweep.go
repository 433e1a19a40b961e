package keeper

import (
	"context"
	"errors"
	"time"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
)

const (
	// sweepInterval is the time between two looks for what hosts have left that are gone.
	sweepInterval = time.Minute
	// maxSwept bounds the deletions of one sweep, which leaves the store's rate to others.
	maxSwept = 100
)

// deleteExpired deletes the own parts that are expired, one at a time.
func (k *Keeper) deleteExpired(ctx context.Context) error {
	for len(k.parts) > 0 {
		p := k.parts[0]
		age := k.Now().Sub(p.newestAt)
		if !p.batch.Expired(p.batch.Newest.Add(age)) {
			return nil
		}
		o := objectstore.Object{Kind: objectstore.KindOrigins, Name: k.name(p.index), Version: p.version}
		if p.version != 0 {
			if err := k.delete(ctx, o); err != nil {
				return err
			}
		}
		k.parts = k.parts[1:]
	}
	return nil
}

// sweep deletes the expired parts of all hosts, if that is this host's part. What it fails to delete is found
// again by the next sweep.
func (k *Keeper) sweep(ctx context.Context) {
	if !k.Sweeps() {
		return
	}
	objects, err := k.list(ctx)
	if err != nil {
		return
	}
	now := k.ClusterTime(k.Now())
	swept := 0
	for _, o := range objects {
		b, err := origin.DecodeBatch(o.Value)
		if o.Name == onlyName || err == nil && !b.Expired(now) {
			continue
		}
		if swept == maxSwept || k.delete(ctx, o) != nil {
			break
		}
		swept++
	}
	if swept > 0 {
		k.Log.Info().Int("parts", len(objects)).Int("deleted", swept).Msg("expired origins deleted")
	}
}

// delete deletes a part. That it is gone or has changed is no error.
func (k *Keeper) delete(ctx context.Context, o objectstore.Object) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.Store.Delete(call, o)
	k.observe(ctx, err)
	if errors.Is(err, objectstore.ErrNotFound) || errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}
