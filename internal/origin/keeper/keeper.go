// Package keeper stores where streams began in the object service, and reads it from there. Hosts that all start
// at the same time have no other memory of that.
//
// A host stores streams in parts: objects that it rewrites while they are small and young. Where a stream began
// never changes, so parts of any age and of any host are right, and one that is missing makes its streams
// unknown.
package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/backoff"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
	"rattanchute/internal/registry"
	"rattanchute/internal/route"
)

const (
	// writeInterval is the pause between two writes.
	writeInterval = 150 * time.Millisecond
	// minRetry and maxRetry bound the wait before a failed call is repeated.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
	// callTimeout bounds a call.
	callTimeout = 2 * time.Second
)

// Config is what a Keeper works with.
type Config struct {
	// Writer is unique among the runs of all hosts. It is part of the names of objects.
	Writer string
	Table  *origin.Table
	Store  objectstore.Store
	// Now returns the time of the table's clock, and ClusterTime the cluster's time that corresponds to it.
	Now         func() time.Time
	ClusterTime func(time.Time) time.Time
	// Writes reports whether this host stores the streams of its group.
	Writes func() bool
	// Sweeps reports whether this host stores which fleets have had one version, and deletes what hosts have left
	// that are gone. At least one must.
	Sweeps func() bool
	// Endpoints returns the list of endpoints, and the store's version that it is as new as, at least; zero if
	// there is no list that is confirmed.
	Endpoints func() (objectstore.Version, []registry.Endpoint)
	// DecodeEndpoint reads an entry of that list; false if it names no endpoint.
	DecodeEndpoint func(objectstore.Object) (registry.Endpoint, bool)
	// DecodeDestinations reads where a configuration's routes of streams lead; false if the object is none in use. It may be nil.
	DecodeDestinations func(objectstore.Object) ([]route.Destination, bool)
	// OnCall is told the result of each call of the store.
	OnCall func(error)
	Log    *log.Logger
}

// Keeper keeps the origins that one host stores.
type Keeper struct {
	Config
	loaded atomic.Bool
	// parts are those that this run has written or is to write, the oldest first. Only store uses them.
	parts    []*part
	lastPart int
}

// New returns a Keeper that does nothing until Run.
func New(c Config) *Keeper { return &Keeper{Config: c} }

// Loaded reports whether the stored origins have been read.
func (k *Keeper) Loaded() bool { return k.loaded.Load() }

// Run stores new streams until the context ends, and meanwhile reads what is stored.
func (k *Keeper) Run(ctx context.Context) {
	// Reads and deletions may take long, and must not delay writes.
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() {
		if k.load(ctx) {
			k.maintain(ctx)
		}
	})
	retry := backoff.Backoff{Min: minRetry, Max: maxRetry}
	for wait := writeInterval; backoff.Pause(ctx, wait); {
		wait = writeInterval
		if err := k.store(ctx); err != nil {
			wait = max(writeInterval, retry.Next())
			continue
		}
		retry.Reset()
	}
}

// maintain deletes what hosts have left that are gone, and stores which fleets have had one version, until the
// context ends.
func (k *Keeper) maintain(ctx context.Context) {
	nextOnly, nextSweep := k.Now().Add(onlyInterval), k.Now().Add(sweepInterval)
	for backoff.Pause(ctx, writeInterval) {
		if now := k.Now(); !now.Before(nextSweep) {
			k.sweep(ctx)
			nextSweep = now.Add(sweepInterval)
		}
		if now := k.Now(); !now.Before(nextOnly) && k.writeOnly(ctx) == nil {
			nextOnly = now.Add(onlyInterval)
		}
	}
}

// load reads the stored streams, and repeats that until it succeeds. It returns false if the context ends.
func (k *Keeper) load(ctx context.Context) bool {
	retry := backoff.Backoff{Min: minRetry, Max: maxRetry}
	for {
		objects, err := k.list(ctx)
		if err == nil {
			only := k.apply(objects)
			if len(only) > 0 {
				k.loadOnly(ctx, only)
			}
			k.loaded.Store(true)
			return true
		}
		if !backoff.Pause(ctx, retry.Next()) {
			return false
		}
	}
}

// list returns all stored parts.
func (k *Keeper) list(ctx context.Context) ([]objectstore.Object, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := k.Store.List(call, objectstore.KindOrigins)
	k.observe(ctx, err)
	return objects, err
}

// apply records the streams of stored parts, and returns the value that says which fleets have had one version.
// A part that cannot be read is logged and ignored.
func (k *Keeper) apply(objects []objectstore.Object) (only json.RawMessage) {
	var batches []origin.Batch
	for _, o := range objects {
		if o.Name == onlyName {
			only = o.Value
			continue
		}
		b, err := origin.DecodeBatch(o.Value)
		if err != nil {
			k.Log.Warn().Str("object", o.Name).Err(err).Msg("stored origins cannot be read")
			continue
		}
		batches = append(batches, b)
	}
	// The table forgets what it learned first if there are too many.
	slices.SortFunc(batches, func(a, b origin.Batch) int { return a.Newest.Compare(b.Newest) })
	streams := 0
	for _, b := range batches {
		k.Table.AddStored(k.Now(), b.Streams)
		streams += len(b.Streams)
	}
	k.Log.Info().Int("parts", len(objects)).Int("streams", streams).Msg("stored origins read")
	return only
}

// store writes the new streams, and deletes the own parts that are expired. It returns the first error.
func (k *Keeper) store(ctx context.Context) error {
	k.take()
	for _, p := range k.parts {
		if !p.dirty {
			continue
		}
		if err := k.write(ctx, p); err != nil {
			return err
		}
	}
	return k.deleteExpired(ctx)
}

// take assigns the new streams to parts.
func (k *Keeper) take() {
	if !k.Writes() {
		return
	}
	now := k.Now()
	for {
		p := k.openPart(now)
		streams := k.Table.TakeUnstored(now, origin.MaxBatchStreams-len(p.batch.Streams))
		if len(streams) == 0 {
			return
		}
		if p.index == 0 {
			k.lastPart++
			p.index = k.lastPart
			k.parts = append(k.parts, p)
			k.parts = k.parts[max(len(k.parts)-maxParts, 0):]
		}
		p.batch.Streams = append(p.batch.Streams, streams...)
		p.batch.Newest = k.ClusterTime(now)
		p.newestAt = now
		p.dirty = true
	}
}

// name returns the name of the object of a part.
func (k *Keeper) name(index int) string { return fmt.Sprintf("%s.%d", k.Writer, index) }

// write stores a part.
func (k *Keeper) write(ctx context.Context, p *part) error {
	value, err := p.batch.Encode()
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var stored objectstore.Object
	if p.version == 0 {
		stored, err = k.Store.Create(call, objectstore.KindOrigins, k.name(p.index), value)
	} else {
		stored, err = k.Store.Update(call, objectstore.Object{
			Kind: objectstore.KindOrigins, Name: k.name(p.index), Version: p.version, Value: value,
		})
	}
	k.observe(ctx, err)
	if err == nil {
		p.version = stored.Version
		p.dirty = false
		return nil
	}
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrNotFound) {
		// An earlier write took effect without an answer, or the store was restored. Another object does no harm.
		k.lastPart++
		p.index, p.version = k.lastPart, 0
	}
	return err
}

// observe tells the result of a call of the store. A condition that does not hold is an answer.
func (k *Keeper) observe(ctx context.Context, err error) {
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrNotFound) {
		err = nil
	}
	if ctx.Err() == nil {
		k.OnCall(err)
	}
}
