package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"rattanchute/internal/objectstore"
)

// layoutName is the object that fixes the number of shards of a deployment.
const layoutName = "layout"

// maxShards bounds the number of shards in a stored layout.
const maxShards = 1 << 16

// layout is what all members must agree on before they use a shard. If two numbers of shards were
// in use, one key could have two records.
type layout struct {
	Shards int `json:"shards"`
}

// shardName returns the name of a shard's object.
func shardName(shard int) string {
	return fmt.Sprintf("shard-%03d", shard)
}

// loadLayout reads the layout of the deployment. If there is none, it stores the desired one first,
// unless another member does so at the same time.
func loadLayout(ctx context.Context, store objectstore.Store, desired layout) (layout, error) {
	stored, err := readLayout(ctx, store)
	if !errors.Is(err, objectstore.ErrNotFound) {
		return stored, err
	}
	value, err := json.Marshal(desired)
	if err != nil {
		return layout{}, fmt.Errorf("claim layout: %w", err)
	}
	_, err = store.Create(ctx, objectstore.KindClaims, layoutName, value)
	if err != nil && !errors.Is(err, objectstore.ErrConflict) {
		return layout{}, fmt.Errorf("claim layout: %w", err)
	}
	return readLayout(ctx, store)
}

func readLayout(ctx context.Context, store objectstore.Store) (layout, error) {
	object, err := store.Get(ctx, objectstore.KindClaims, layoutName)
	if err != nil {
		return layout{}, fmt.Errorf("claim layout: %w", err)
	}
	var l layout
	if err := json.Unmarshal(object.Value, &l); err != nil {
		return layout{}, fmt.Errorf("claim layout: %w", err)
	}
	if l.Shards < 1 || l.Shards > maxShards {
		return layout{}, fmt.Errorf("claim layout: %d shards", l.Shards)
	}
	return l, nil
}
