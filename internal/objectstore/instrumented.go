package objectstore

import (
	"context"
	"encoding/json"
)

// Instrumented is a Store that reports each call to a callback, so that the calls can be counted:
// the platform charges for each one.
type Instrumented struct {
	Store
	// OnCall is called after each call with the kind, the verb and the error, which is nil after a
	// success. It must be set.
	OnCall func(kind Kind, verb string, err error)
}

// Get implements Store.
func (c Instrumented) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	o, err := c.Store.Get(ctx, kind, name)
	c.OnCall(kind, "get", err)
	return o, err
}

// List implements Store.
func (c Instrumented) List(ctx context.Context, kind Kind) ([]Object, Version, error) {
	list, version, err := c.Store.List(ctx, kind)
	c.OnCall(kind, "list", err)
	return list, version, err
}

// Create implements Store.
func (c Instrumented) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error) {
	o, err := c.Store.Create(ctx, kind, name, value)
	c.OnCall(kind, "create", err)
	return o, err
}

// Update implements Store.
func (c Instrumented) Update(ctx context.Context, o Object) (Object, error) {
	stored, err := c.Store.Update(ctx, o)
	c.OnCall(o.Kind, "update", err)
	return stored, err
}

// UpdateStatus implements Store.
func (c Instrumented) UpdateStatus(ctx context.Context, o Object) (Object, error) {
	stored, err := c.Store.UpdateStatus(ctx, o)
	c.OnCall(o.Kind, "update_status", err)
	return stored, err
}

// Delete implements Store.
func (c Instrumented) Delete(ctx context.Context, o Object) error {
	err := c.Store.Delete(ctx, o)
	c.OnCall(o.Kind, "delete", err)
	return err
}

// Watch implements Store.
func (c Instrumented) Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	events, version, err := c.Store.Watch(ctx, kind, after)
	c.OnCall(kind, "watch", err)
	return events, version, err
}
