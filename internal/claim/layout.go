package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"rattanchute/internal/objectstore"
)

// layoutName is the object that fixes the number of shards for a site.
const layoutName = "layout"

// maxShards limits the number of shards that a stored layout may ask for.
const maxShards = 1 << 16

// layout is what all members must agree on before they use a shard: with two numbers of
// shards in use, one key would have two records.
type layout struct {
	Shards int `json:"shards"`
}

// shardName returns the name of a shard's object.
func shardName(shard int) string {
	return fmt.Sprintf("shard-%03d", shard)
}

// loadLayout reads the site's layout, or stores the wanted one if there is none.
func loadLayout(ctx context.Context, store objectstore.Store, wanted layout) (layout, error) {
	stored, err := readLayout(ctx, store)
	if !errors.Is(err, objectstore.ErrNotFound) {
		return stored, err
	}
	value, err := json.Marshal(wanted)
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
