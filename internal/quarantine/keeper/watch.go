package keeper

import (
	"context"
	"encoding/json"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/objectstore"
)

// watchPause is the time between two looks at whether this host is to watch the store.
const watchPause = time.Second

// watch applies what other hosts store until the context ends. A host that hears no peer learns it only from
// there. Hosts that store no changes hear of them from one that does.
func (k *Keeper) watch(ctx context.Context) {
	retry := backoff.Backoff{Min: minRetry, Max: maxRetry}
	for {
		if !k.Writes() {
			if !backoff.Pause(ctx, watchPause) {
				return
			}
			continue
		}
		if responded := k.listAndWatch(ctx); responded {
			retry.Reset()
		}
		if !backoff.Pause(ctx, retry.Next()) {
			return
		}
	}
}

// listAndWatch watches until a call fails or this host is no longer to watch, and reports whether a call has
// succeeded.
func (k *Keeper) listAndWatch(ctx context.Context) (responded bool) {
	objects, version, err := k.Store.List(ctx, objectstore.KindQuarantine)
	if err != nil {
		k.observeCall(ctx, err)
		return false
	}
	for _, o := range objects {
		k.apply(o)
	}
	for k.Writes() {
		events, next, err := k.Store.Watch(ctx, objectstore.KindQuarantine, version)
		k.observeCall(ctx, err)
		if err != nil {
			return true
		}
		for _, e := range events {
			k.apply(e.Object)
		}
		version = max(version, next)
		if ctx.Err() != nil {
			return true
		}
	}
	return true
}

// observeCall tells the result of a call of the store.
func (k *Keeper) observeCall(ctx context.Context, err error) {
	if k.OnCall != nil && ctx.Err() == nil {
		k.OnCall(err)
	}
}

// apply merges the quarantines of a stored object with those of this host. One that cannot be read is logged
// and ignored.
func (k *Keeper) apply(o objectstore.Object) stored {
	var known stored
	if o.Name != objectName || len(o.Value) == 0 {
		return known
	}
	if err := json.Unmarshal(o.Value, &known); err != nil {
		k.Log.Warn().Str("object", o.Name).Err(err).Msg("stored quarantines cannot be read")
	}
	now := k.Now()
	k.Table.Apply(now, storeSource, known.report(k.WallClock(now)))
	return known
}
